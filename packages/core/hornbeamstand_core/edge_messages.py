"""Messages of requests that are routed by host and served by found targets.

Times that end in ``_at_ms`` are readings of the local clock; durations end in
``_ms`` alone.
"""

from .records import Record

FIRST = "first"
RETRY = "retry"
HEDGE = "hedge"


class EdgeRequest(Record):
    """One request as the front end received it; ``deadline_ms`` is the time left."""

    __slots__ = ("request_id", "host", "path", "method", "deadline_ms", "arrived_at_ms")

    def __init__(self, request_id, host, path, method, deadline_ms, arrived_at_ms):
        self.request_id = request_id
        self.host = host
        self.path = path
        self.method = method
        self.deadline_ms = deadline_ms
        self.arrived_at_ms = arrived_at_ms


class RequestPolicy(Record):
    """The rules of one request: its route's, with the service drawn.

    A VM that hands the request over sends them along, so that only the first
    VM's configuration decides. ``objective_ms`` and ``timeout_ms`` count from
    the request's arrival at the VM that reads them.
    """

    __slots__ = (
        "service_name",
        "is_idempotent",
        "timeout_ms",
        "objective_ms",
        "priority",
        "n_attempts_max",
    )

    def __init__(
        self,
        service_name,
        is_idempotent,
        timeout_ms,
        objective_ms,
        priority,
        n_attempts_max,
    ):
        self.service_name = service_name
        self.is_idempotent = is_idempotent
        self.timeout_ms = timeout_ms
        self.objective_ms = objective_ms
        self.priority = priority
        self.n_attempts_max = n_attempts_max


class EdgeCall(Record):
    """What the filters have decided about one request so far.

    ``n_sent`` counts the sends to targets and ``n_may_have_run`` those of them that
    may have run; ``relay_to`` is the peer to hand over to, or None.
    """

    __slots__ = (
        "request",
        "policy",
        "deadline_at_ms",
        "objective_at_ms",
        "relay_to",
        "n_sent",
        "n_may_have_run",
        "tried_target_ids",
    )

    def __init__(self, request, policy=None):
        self.request = request
        self.policy = policy
        self.deadline_at_ms = 0.0
        self.objective_at_ms = 0.0
        self.relay_to = None
        self.n_sent = 0
        self.n_may_have_run = 0
        self.tried_target_ids = ()


# Effects of the filters.


class FindRoute(Record):
    """Ask for a request's terms; replies Routed or Refusal."""

    __slots__ = ("request_id", "host", "path")

    def __init__(self, request_id, host, path):
        self.request_id = request_id
        self.host = host
        self.path = path


class Routed(Record):
    """A request's terms, and the peer that counts its service's requests."""

    __slots__ = ("policy", "relay_to")

    def __init__(self, policy, relay_to):
        self.policy = policy
        self.relay_to = relay_to


class AcquireSlot(Record):
    """Ask for a slot; replies Permit, ProbesNeeded or Refusal.

    Only a ``FIRST`` may wait. ``excluded_ids`` are the targets tried before;
    ``n_probe_rounds`` counts how often targets were asked for their load for it.
    """

    __slots__ = (
        "service_name",
        "request_id",
        "dispatch_id",
        "kind",
        "is_idempotent",
        "priority",
        "deadline_at_ms",
        "objective_at_ms",
        "excluded_ids",
        "n_probe_rounds",
    )

    def __init__(
        self,
        service_name,
        request_id,
        dispatch_id,
        kind,
        is_idempotent,
        priority,
        deadline_at_ms,
        objective_at_ms,
        excluded_ids=(),
        n_probe_rounds=0,
    ):
        self.service_name = service_name
        self.request_id = request_id
        self.dispatch_id = dispatch_id
        self.kind = kind
        self.is_idempotent = is_idempotent
        self.priority = priority
        self.deadline_at_ms = deadline_at_ms
        self.objective_at_ms = objective_at_ms
        self.excluded_ids = excluded_ids
        self.n_probe_rounds = n_probe_rounds


class ProbesNeeded(Record):
    """Ask these targets for their load before the slot is asked for again.

    ``targets`` are pairs of target id and address.
    """

    __slots__ = ("service_name", "path", "targets")

    def __init__(self, service_name, path, targets):
        self.service_name = service_name
        self.path = path
        self.targets = targets


class ProbeLoads(Record):
    """Carry out a ProbesNeeded; replies True when enough is known."""

    __slots__ = ("needed",)

    def __init__(self, needed):
        self.needed = needed


class LoadProbeResult(Record):
    """The end of a look at a target.

    ``report`` is None if no load figures came; ``is_answered`` tells a target
    that answers without them from one that does not answer.
    """

    __slots__ = ("service_name", "target_id", "report", "is_answered")

    def __init__(self, service_name, target_id, report, is_answered=True):
        self.service_name = service_name
        self.target_id = target_id
        self.report = report
        self.is_answered = is_answered


class StartSend(Record):
    """Start to send to the permit's target; no reply."""

    __slots__ = ("permit", "deadline_at_ms", "is_idempotent")

    def __init__(self, permit, deadline_at_ms, is_idempotent):
        self.permit = permit
        self.deadline_at_ms = deadline_at_ms
        self.is_idempotent = is_idempotent


class Relay(Record):
    """Start to hand the request to a peer; no reply."""

    __slots__ = ("peer_id", "policy", "deadline_at_ms")

    def __init__(self, peer_id, policy, deadline_at_ms):
        self.peer_id = peer_id
        self.policy = policy
        self.deadline_at_ms = deadline_at_ms


class Abort(Record):
    """Break an exchange off; ``key`` is its permit or Relay; no reply."""

    __slots__ = ("key",)

    def __init__(self, key):
        self.key = key


class AwaitEvent(Record):
    """Wait for the next event of this request; replies one of those below."""

    __slots__ = ("until_ms",)

    def __init__(self, until_ms):
        self.until_ms = until_ms


class CheckPeerAlive(Record):
    """Ask whether a peer was heard lately; replies True or False."""

    __slots__ = ("peer_id",)

    def __init__(self, peer_id):
        self.peer_id = peer_id


# Events of Await.


class ExchangeEnded(Record):
    """An exchange ended with a UpstreamResponse or a SendFailure."""

    __slots__ = ("key", "result", "now_ms")

    def __init__(self, key, result, now_ms):
        self.key = key
        self.result = result
        self.now_ms = now_ms


class WaitTimedOut(Record):
    """Nothing happened until the given time."""

    __slots__ = ("now_ms",)

    def __init__(self, now_ms):
        self.now_ms = now_ms


class CallerDisconnected(Record):
    """The caller closed its connection."""

    __slots__ = ("now_ms",)

    def __init__(self, now_ms):
        self.now_ms = now_ms


class LoadReport(Record):
    """A target's own load figures; ``slowdown`` is its work time now over usual."""

    __slots__ = ("n_running", "n_waiting", "n_slots", "slowdown")

    def __init__(self, n_running, n_waiting, n_slots, slowdown=None):
        self.n_running = n_running
        self.n_waiting = n_waiting
        self.n_slots = n_slots
        self.slowdown = slowdown


class StateChange(Record):
    """A change of what this VM believes, for the log."""

    __slots__ = ("component", "event", "subject", "detail")

    def __init__(self, component, event, subject, detail=""):
        self.component = component
        self.event = event
        self.subject = subject
        self.detail = detail
