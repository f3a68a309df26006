"""Messages between a request's filter chain, the controllers and the tasks.

Names that end in ``_at_ms`` are times on the local clock; durations end in ``_ms``
alone. A message never holds a socket or encoded bytes: ``payload`` is opaque to the
core.
"""

from .records import Record


class Request(Record):
    """One request as the front end received it.

    ``deadline_ms`` is the time that the caller has left, or None; ``n_hops`` counts
    the entry VMs that forwarded the request. ``is_recorded`` is set if the order's
    primary has recorded it; ``is_first_attempt`` if the caller states that it never
    sent this idempotency key before. The call ends ``answer_margin_ms`` before its
    deadline. The request waited unread for ``waited_ms`` before it arrived.
    """

    __slots__ = (
        "request_id",
        "service_name",
        "method",
        "path",
        "idempotency_key",
        "deadline_ms",
        "arrived_at_ms",
        "n_hops",
        "is_recorded",
        "is_first_attempt",
        "answer_margin_ms",
        "waited_ms",
    )

    def __init__(
        self,
        request_id,
        service_name,
        method="GET",
        path="/",
        idempotency_key=None,
        deadline_ms=None,
        arrived_at_ms=0.0,
        n_hops=0,
        is_recorded=False,
        is_first_attempt=False,
        answer_margin_ms=0.0,
        waited_ms=0.0,
    ):
        self.request_id = request_id
        self.service_name = service_name
        self.method = method
        self.path = path
        self.idempotency_key = idempotency_key
        self.deadline_ms = deadline_ms
        self.arrived_at_ms = arrived_at_ms
        self.n_hops = n_hops
        self.is_recorded = is_recorded
        self.is_first_attempt = is_first_attempt
        self.answer_margin_ms = answer_margin_ms
        self.waited_ms = waited_ms


class Call(Record):
    """The state of one request as it passes through the filter chain.

    ``service`` is the ServiceSpec of the request's service, or None before the filter
    that finds it. It has ``limit_ms``, until ``limit_at_ms``, to be answered, and ends
    at ``deadline_at_ms``.
    """

    __slots__ = (
        "request",
        "service",
        "limit_ms",
        "limit_at_ms",
        "deadline_at_ms",
        "is_idempotent",
        "n_dispatches",
        "n_forwards",
        "tried_target_ids",
        "permit",
    )

    def __init__(self, request):
        self.request = request
        self.service = None
        self.limit_ms = None
        self.limit_at_ms = None
        self.deadline_at_ms = None
        self.is_idempotent = False
        self.n_dispatches = 0
        self.n_forwards = 0
        self.tried_target_ids = ()
        self.permit = None

    @property
    def may_have_run(self):
        """Whether a target may have run the request."""
        return self.n_dispatches + self.n_forwards > 0


# Outcomes of a call.


class Answer(Record):
    """A complete response of a target; only the front end reads ``payload``.

    ``started_wall_ms`` is the start of a discovered target, or 0 if it is unknown.
    """

    __slots__ = ("status", "payload", "target_id", "started_wall_ms")

    def __init__(self, status, payload=None, target_id="", started_wall_ms=0):
        self.status = status
        self.payload = payload
        self.target_id = target_id
        self.started_wall_ms = started_wall_ms


# Lowest HTTP status that is a server error.
STATUS_ERROR = 500

# Values of ``Refusal.certainty``.
NOT_RUN = "not-run"
OUTCOME_UNKNOWN = "outcome-unknown"

# Value of ``Refusal.reason`` of a VM that would end before the request does.
STOPPING = "VM is stopping"


class Refusal(Record):
    """An error response that the load balancer generates itself.

    ``certainty`` is ``NOT_RUN`` only if no byte of the request can have reached a
    target, or the target reported that it did not run it. Otherwise it is
    ``OUTCOME_UNKNOWN``. ``status`` is the HTTP status, ``step`` the step that failed,
    and ``peer`` what the step was applied to: a VM, target, service, host or key.
    ``retry_after_ms`` is the time after which the caller may retry, or None.
    """

    __slots__ = ("reason", "certainty", "status", "step", "peer", "retry_after_ms")

    def __init__(
        self,
        reason,
        certainty=NOT_RUN,
        status=503,
        step="",
        peer="",
        retry_after_ms=None,
    ):
        self.reason = reason
        self.certainty = certainty
        self.status = status
        self.step = step
        self.peer = peer
        self.retry_after_ms = retry_after_ms


# Effects: a filter yields one, the driver performs it and sends the reply into the
# filter's generator.


class Acquire(Record):
    """Request a slot on a target; the reply is a Permit, ForwardTo or Refusal.

    A target of ``avoided_ids`` is taken only if no other one has a free slot.
    """

    __slots__ = (
        "service_name",
        "request_id",
        "deadline_at_ms",
        "avoided_ids",
        "may_forward",
        "is_retry",
    )

    def __init__(
        self,
        service_name,
        request_id,
        deadline_at_ms,
        avoided_ids=(),
        may_forward=True,
        is_retry=False,
    ):
        self.service_name = service_name
        self.request_id = request_id
        self.deadline_at_ms = deadline_at_ms
        self.avoided_ids = avoided_ids
        self.may_forward = may_forward
        self.is_retry = is_retry


class Permit(Record):
    """The permission to send one request to one target, once.

    ``request_id`` identifies the send: for a discovered target it is the
    ``dispatch_id`` of the AcquireSlot. ``speed_class`` is the target's speed class at
    ``granted_at_ms``: FAST, SLOW or UNKNOWN of ``controllers.placing``.
    ``started_wall_ms`` is the start of a discovered target, as in its TargetEntry, or 0
    if it is unknown. ``objective_ms`` is the latency objective of the AcquireSlot.
    """

    __slots__ = (
        "service_name",
        "target_id",
        "address",
        "request_id",
        "granted_at_ms",
        "speed_class",
        "started_wall_ms",
        "objective_ms",
    )

    def __init__(
        self,
        service_name,
        target_id,
        address,
        request_id,
        granted_at_ms,
        speed_class="unknown",
        started_wall_ms=0,
        objective_ms=0.0,
    ):
        self.service_name = service_name
        self.target_id = target_id
        self.address = address
        self.request_id = request_id
        self.granted_at_ms = granted_at_ms
        self.speed_class = speed_class
        self.started_wall_ms = started_wall_ms
        self.objective_ms = objective_ms


class ForwardTo(Record):
    """Tells the filter to forward the request to another entry VM."""

    __slots__ = ("peer_id",)

    def __init__(self, peer_id):
        self.peer_id = peer_id


class Send(Record):
    """Send the request to the permit's target.

    The reply is an UpstreamResponse or a SendFailure.
    """

    __slots__ = ("permit", "deadline_at_ms", "is_idempotent")

    def __init__(self, permit, deadline_at_ms, is_idempotent):
        self.permit = permit
        self.deadline_at_ms = deadline_at_ms
        self.is_idempotent = is_idempotent


class Forward(Record):
    """Forward the request to a peer.

    The reply is an UpstreamResponse or a SendFailure.
    """

    __slots__ = ("peer_id", "deadline_at_ms", "is_idempotent", "is_recorded")

    def __init__(self, peer_id, deadline_at_ms, is_idempotent, is_recorded=False):
        self.peer_id = peer_id
        self.deadline_at_ms = deadline_at_ms
        self.is_idempotent = is_idempotent
        self.is_recorded = is_recorded


class UpstreamResponse(Record):
    """A complete response of a target or a peer.

    A target's response may carry its ``report``, a TargetReport or LoadReport;
    ``did_not_run`` is set if the target states that it did not run the request. A
    peer's response carries its ``refusal``, or the ``target_id`` of the target that ran
    the request. ``notice`` is the TargetNotice of a target, or None. ``n_bytes`` is the
    size of the bodies of the request and the response, or 0 if it is not known.
    """

    __slots__ = (
        "status",
        "payload",
        "report",
        "did_not_run",
        "refusal",
        "target_id",
        "notice",
        "n_bytes",
    )

    def __init__(
        self,
        status,
        payload=None,
        report=None,
        did_not_run=False,
        refusal=None,
        target_id="",
        notice=None,
        n_bytes=0,
    ):
        self.status = status
        self.payload = payload
        self.report = report
        self.did_not_run = did_not_run
        self.refusal = refusal
        self.target_id = target_id
        self.notice = notice
        self.n_bytes = n_bytes


class TargetReport(Record):
    """The state that a target reports of itself; it may be stale or wrong."""

    __slots__ = ("start_id", "state", "n_in_flight")

    def __init__(self, start_id="", state="ready", n_in_flight=0):
        self.start_id = start_id
        self.state = state
        self.n_in_flight = n_in_flight


# Values of ``SendFailure.kind``. A send is cancelled if its caller has disconnected or
# another send of the same request has succeeded.
CONNECT_FAILED = "connect-failed"
NO_DESCRIPTOR = "no-descriptor"
NO_MEMORY = "no-memory"
TIMED_OUT = "timed-out"
BROKEN_RESPONSE = "broken-answer"
CANCELLED = "caller-gone"
# Those that say what this VM lacks, and nothing about the target or peer.
LACKS_OF_VM = frozenset([NO_DESCRIPTOR, NO_MEMORY])


class SendFailure(Record):
    """No complete response came; ``may_have_run`` is set if any byte was sent.

    ``peer`` is the id or address of the target or VM that the request was sent to, and
    ``n_read_bytes`` what was read of its response when the send was cancelled, if that
    stated no length.
    """

    __slots__ = ("kind", "may_have_run", "peer", "n_read_bytes")

    def __init__(self, kind, may_have_run, peer="", n_read_bytes=0):
        self.kind = kind
        self.may_have_run = may_have_run
        self.peer = peer
        self.n_read_bytes = n_read_bytes


class Release(Record):
    """Return a permit with the result of its send; no reply."""

    __slots__ = ("permit", "result")

    def __init__(self, permit, result):
        self.permit = permit
        self.result = result


class SpendRetry(Record):
    """Take one retry from the service's budget; the reply is whether one was left."""

    __slots__ = ("service_name",)

    def __init__(self, service_name):
        self.service_name = service_name


class Withdraw(Record):
    """Remove a queued request whose caller has disconnected."""

    __slots__ = ("service_name", "request_id")

    def __init__(self, service_name, request_id):
        self.service_name = service_name
        self.request_id = request_id


class Account(Record):
    """Account for one finished call; no reply."""

    __slots__ = ("call", "outcome")

    def __init__(self, call, outcome):
        self.call = call
        self.outcome = outcome


class ReportError(Record):
    """Report an exception that no filter expects."""

    __slots__ = ("error",)

    def __init__(self, error):
        self.error = error
