"""Messages of requests that are routed by host to targets from service discovery.

Names that end in ``_at_ms`` are times on the local clock; durations end in ``_ms``
alone.
"""

from .key_messages import CallerKey
from .records import Record

# Values of ``AcquireSlot.kind``.
FIRST = "first"
RETRY = "retry"
HEDGE = "hedge"
# Minimum time between the end of a call and its deadline, and the maximum share of the
# time that the request has.
ANSWER_MARGIN_MS = 5.0
ANSWER_MARGIN_SHARE = 0.25


class EdgeRequest(Record):
    """One request as the front end received it.

    ``deadline_ms`` is the time that the caller had left when it sent the request, or
    None. The request was read at ``arrived_at_ms``, after it had waited unread for
    ``waited_ms``. Its call ends ``answer_margin_ms`` before the deadline, so that a
    refusal or a late answer still reaches the caller in time. ``key`` is its CallerKey.
    """

    __slots__ = (
        "request_id",
        "host",
        "path",
        "method",
        "deadline_ms",
        "arrived_at_ms",
        "waited_ms",
        "answer_margin_ms",
        "key",
    )

    def __init__(
        self,
        request_id,
        host,
        path,
        method,
        deadline_ms,
        arrived_at_ms,
        waited_ms=0.0,
        answer_margin_ms=ANSWER_MARGIN_MS,
        key=None,
    ):
        self.request_id = request_id
        self.host = host
        self.path = path
        self.method = method
        self.deadline_ms = deadline_ms
        self.arrived_at_ms = arrived_at_ms
        self.waited_ms = waited_ms
        self.answer_margin_ms = answer_margin_ms
        self.key = key or CallerKey()


class RequestPolicy(Record):
    """The rules of one request: those of its route, and the service selected for it.

    A VM that relays the request sends its policy along, so that only the first
    VM's configuration applies. ``objective_ms`` and ``timeout_ms`` count from
    the request's arrival at the VM that applies them. ``organisation`` is the name of
    the one that the caller belongs to, or "". ``config_version`` is the version of the
    configuration that the policy is from, and ``key_digest`` that of the caller's key,
    or "": a VM that knows a newer version checks the key again. ``hides_key`` is set if
    that configuration has organisations: then targets are shown neither the caller's
    key nor what the caller says of its organisation.
    """

    __slots__ = (
        "service_name",
        "is_idempotent",
        "timeout_ms",
        "objective_ms",
        "priority",
        "n_attempts_max",
        "organisation",
        "config_version",
        "key_digest",
        "hides_key",
    )

    def __init__(
        self,
        service_name,
        is_idempotent,
        timeout_ms,
        objective_ms,
        priority,
        n_attempts_max,
        organisation="",
        config_version=0,
        key_digest="",
        hides_key=False,
    ):
        self.service_name = service_name
        self.is_idempotent = is_idempotent
        self.timeout_ms = timeout_ms
        self.objective_ms = objective_ms
        self.priority = priority
        self.n_attempts_max = n_attempts_max
        self.organisation = organisation
        self.config_version = config_version
        self.key_digest = key_digest
        self.hides_key = hides_key


class EdgeCall(Record):
    """The state of one request as it passes through the filter chain.

    The caller must have its answer within ``limit_ms``, at ``limit_at_ms``, and the
    call ends at ``deadline_at_ms``. ``objective_ms`` is its latency objective, at most
    the whole time that its caller gave it. ``is_relayed`` is set if a peer relayed the
    request, and its policy, to this VM. ``n_sent`` counts this VM's sends to targets.
    ``n_may_have_run`` counts the sends that may have run, including those of a peer
    that the request was relayed to. ``relay_to`` is the peer that the request was last
    relayed to, or is to be, or None. ``first_kind`` is the kind of the first send:
    RETRY if a peer that failed may have sent the request.
    """

    __slots__ = (
        "request",
        "policy",
        "limit_ms",
        "limit_at_ms",
        "deadline_at_ms",
        "objective_ms",
        "objective_at_ms",
        "relay_to",
        "is_relayed",
        "first_kind",
        "n_sent",
        "n_may_have_run",
        "tried_target_ids",
    )

    def __init__(self, request, policy=None):
        self.request = request
        self.policy = policy
        self.limit_ms = 0.0
        self.limit_at_ms = 0.0
        self.deadline_at_ms = 0.0
        self.objective_ms = 0.0
        self.objective_at_ms = 0.0
        self.relay_to = None
        self.is_relayed = policy is not None
        self.first_kind = FIRST
        self.n_sent = 0
        self.n_may_have_run = 0
        self.tried_target_ids = ()

    @property
    def may_have_run(self):
        """Whether a target may have run the request."""
        return self.n_may_have_run > 0 or self.relay_to is not None


# Effects that the filters yield.


class FindRoute(Record):
    """Look up a request's policy; the reply is a Routed or a Refusal.

    ``key`` is the CallerKey of the request.
    """

    __slots__ = ("request_id", "host", "path", "key")

    def __init__(self, request_id, host, path, key=None):
        self.request_id = request_id
        self.host = host
        self.path = path
        self.key = key or CallerKey()


class CheckStop(Record):
    """Ask whether a call may end before a planned stop of this VM does.

    The reply is a bool; it is True while no stop is planned.
    """

    __slots__ = ("call",)

    def __init__(self, call):
        self.call = call


class Routed(Record):
    """A request's policy, and the peer that owns its service.

    ``relay_to`` is None if this VM is the owner or no owner is known. The policy was
    found at ``found_at_ms``.
    """

    __slots__ = ("policy", "relay_to", "found_at_ms")

    def __init__(self, policy, relay_to, found_at_ms):
        self.policy = policy
        self.relay_to = relay_to
        self.found_at_ms = found_at_ms


class AcquireSlot(Record):
    """Request a slot on a target; the reply is a Permit, ProbesNeeded or Refusal.

    ``dispatch_id`` distinguishes the sends of one request, and ``kind`` is FIRST,
    RETRY or HEDGE. Only the FIRST attempt may wait in the queue. ``excluded_ids`` are
    the targets that were tried before; ``n_probe_rounds`` counts the rounds of load
    probes sent for this attempt so far. ``objective_ms`` is the latency objective.
    ``organisation`` is the name of the caller's organisation, or "". ``host`` and
    ``path`` are those of the request, which tell its route.
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
        "objective_ms",
        "organisation",
        "host",
        "path",
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
        objective_ms=0.0,
        organisation="",
        host="",
        path="",
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
        self.objective_ms = objective_ms
        self.organisation = organisation
        self.host = host
        self.path = path


class TargetNotice(Record):
    """What a target says of itself in an answer, beside its load.

    ``is_leaving`` is set if it wants no new requests. It wants none from this VM for
    ``pause_ms``, and stays in cold start for ``cold_ms``; both may be 0. ``ignored``
    describes a value that could not be used, for the log.
    """

    __slots__ = ("is_leaving", "pause_ms", "cold_ms", "ignored")

    def __init__(self, is_leaving=False, pause_ms=0.0, cold_ms=0.0, ignored=""):
        self.is_leaving = is_leaving
        self.pause_ms = pause_ms
        self.cold_ms = cold_ms
        self.ignored = ignored


class NoticeRelayed(Record):
    """A target's notice, in an answer or a datagram of a peer.

    ``started_wall_ms`` is the start of the target that the notice is of, as in its
    TargetEntry, or None if the peer did not state it.
    """

    __slots__ = ("service_name", "target_id", "notice", "started_wall_ms")

    def __init__(self, service_name, target_id, notice, started_wall_ms=None):
        self.service_name = service_name
        self.target_id = target_id
        self.notice = notice
        self.started_wall_ms = started_wall_ms


class StartSend(Record):
    """Start sending the request to the permit's target; no reply.

    ``organisation`` and ``hides_key`` are those of the request's policy.
    """

    __slots__ = (
        "permit",
        "deadline_at_ms",
        "is_idempotent",
        "organisation",
        "hides_key",
    )

    def __init__(
        self, permit, deadline_at_ms, is_idempotent, organisation="", hides_key=False
    ):
        self.permit = permit
        self.deadline_at_ms = deadline_at_ms
        self.is_idempotent = is_idempotent
        self.organisation = organisation
        self.hides_key = hides_key


class Abort(Record):
    """Cancel an exchange, that is a started send or relay.

    The reply is the number of bytes that were read of its response if that states no
    length, or else 0. ``key`` is the Permit of the send, or the Relay.
    """

    __slots__ = ("key",)

    def __init__(self, key):
        self.key = key


# Load reports and log messages.


class LoadReport(Record):
    """The load that a target reports.

    ``slowdown`` is its current work time divided by its usual one, so that 2.0 means
    twice as slow, or None if the target reports none.
    """

    __slots__ = ("n_running", "n_waiting", "n_slots", "slowdown")

    def __init__(self, n_running, n_waiting, n_slots, slowdown=None):
        self.n_running = n_running
        self.n_waiting = n_waiting
        self.n_slots = n_slots
        self.slowdown = slowdown


class StateChange(Record):
    """A change of state that this VM has noticed, for the log.

    It is logged as the event ``component: event``; ``subject`` is the target, peer,
    key or failure domain that has changed.
    """

    __slots__ = ("component", "event", "subject", "detail")

    def __init__(self, component, event, subject, detail=""):
        self.component = component
        self.event = event
        self.subject = subject
        self.detail = detail
