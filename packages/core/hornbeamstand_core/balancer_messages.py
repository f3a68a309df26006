"""Messages between the controllers of services, the tasks around them and peers."""

from .records import Record


class DeferredReply(Record):
    """A controller's reply to a message of a request's filter chain.

    The reply may come some time after the message. ``request_id`` identifies the
    request.
    """

    __slots__ = ("request_id", "reply")

    def __init__(self, request_id, reply):
        self.request_id = request_id
        self.reply = reply


class Decision(Record):
    """One decision about a request or a target, for the decision log.

    ``to`` is the target or peer of the decision, if any. ``request_id`` is empty if the
    decision is about a target.
    """

    __slots__ = ("service_name", "request_id", "action", "to", "detail")

    def __init__(self, service_name, request_id, action, to, detail=""):
        self.service_name = service_name
        self.request_id = request_id
        self.action = action
        self.to = to
        self.detail = detail


class OwnershipChange(Record):
    """A target that this VM gained or lost, for the decision log.

    ``action`` is ``own`` or ``release``; ``detail`` is the reason.
    """

    __slots__ = ("service_name", "target_id", "action", "detail")

    def __init__(self, service_name, target_id, action, detail):
        self.service_name = service_name
        self.target_id = target_id
        self.action = action
        self.detail = detail


class SendProbe(Record):
    """Send a probe to a target's health endpoint.

    ``started_wall_ms`` is the start of the target that is probed, or None if it is
    unknown.
    """

    __slots__ = ("service_name", "target_id", "address", "path", "started_wall_ms")

    def __init__(self, service_name, target_id, address, path, started_wall_ms=None):
        self.service_name = service_name
        self.target_id = target_id
        self.address = address
        self.path = path
        self.started_wall_ms = started_wall_ms


class ProbeResult(Record):
    """The result of a probe; ``report`` is a TargetReport, or None if it failed."""

    __slots__ = ("service_name", "target_id", "report", "latency_ms")

    def __init__(self, service_name, target_id, report, latency_ms):
        self.service_name = service_name
        self.target_id = target_id
        self.report = report
        self.latency_ms = latency_ms


class CapacityReport(Record):
    """One VM's free capacity for one service.

    ``n_free`` is the number of free slots, ``n_waiting`` that of queued requests and
    ``wait_ms`` the expected wait of a request that is queued now.
    """

    __slots__ = ("service_name", "member_id", "n_free", "n_waiting", "wait_ms")

    def __init__(self, service_name, member_id, n_free, n_waiting, wait_ms):
        self.service_name = service_name
        self.member_id = member_id
        self.n_free = n_free
        self.n_waiting = n_waiting
        self.wait_ms = wait_ms
