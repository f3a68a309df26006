"""Relays a request to the VM that owns its service.

The owner counts the requests to the service's targets.
"""

from result import Err, Ok

from ..edge_messages import RETRY, Abort
from ..event_messages import (
    AnswerMarginGrown,
    AwaitEvent,
    CallerDisconnected,
    StopReached,
    WaitTimedOut,
)
from ..messages import (
    BROKEN_RESPONSE,
    CANCELLED,
    CONNECT_FAILED,
    NOT_RUN,
    OUTCOME_UNKNOWN,
    STOPPING,
    TIMED_OUT,
    Answer,
    Refusal,
    SendFailure,
)
from ..relay_messages import (
    CheckPeerAlive,
    EndSending,
    FindOwner,
    Relay,
    RelayEnded,
    SendsAnnounced,
)
from .attempts import SHED_RETRY_AFTER_MS
from .margins import keep_margin
from .refusals import weaken_if_may_have_run

# Maximum interval at which a VM checks, while a relayed request is pending, whether the
# peer is still alive, also as a share of the time left when the relay began.
PEER_CHECK_INTERVAL_MS = 250.0
PEER_CHECK_SHARE = 0.1
# Kinds of SendFailure that come from the path to a peer or from the peer's end.
PEER_FAILURES = frozenset([CONNECT_FAILED, BROKEN_RESPONSE])


class RelayState:
    """The peers that failed to serve one call, and the current relay.

    ``since_ms`` is when the relay began. ``n_announced`` is the number of sends that
    the peer may have made. ``is_silent`` is set if its heartbeats have ceased.
    """

    __slots__ = ("failed_ids", "since_ms", "n_announced", "is_silent")

    def __init__(self, since_ms):
        self.failed_ids = ()
        self.since_ms = since_ms
        self.n_announced = 1
        self.is_silent = False

    def begin_next(self, failed_id, now_ms):
        """Note that a peer failed, and begin the relay to the next one."""
        self.failed_ids += (failed_id,)
        self.since_ms = now_ms
        self.n_announced = 1
        self.is_silent = False


def relay(next_handler):
    """Relay the call if another VM owns its service; else run the next handler.

    If the peer cannot be reached, or if it stops responding while it holds an
    idempotent request, the call goes to the VM that takes its place, which may be this
    one. It doesn't for a caller that has left.
    """

    def handle(call):
        state = RelayState(call.request.arrived_at_ms)
        peer_id = call.relay_to
        while peer_id is not None:
            call.relay_to = peer_id
            outcome = yield from relay_to_peer(call, state)
            if outcome is not None:
                return outcome
            peer_id = yield FindOwner(call.policy.service_name, state.failed_ids)
        return (yield from next_handler(call))

    return handle


def relayed_policy(call):
    """Return the policy for the peer, with the objective that its caller leaves."""
    policy = call.policy
    if policy.objective_ms <= call.objective_ms:
        return policy
    return policy.replace(objective_ms=call.objective_ms)


def relay_to_peer(call, state):
    """Return the peer's outcome, or None if the call may continue elsewhere."""
    n_attempts_left = call.policy.n_attempts_max - call.n_may_have_run
    exchange = Relay(
        call.relay_to,
        relayed_policy(call),
        call.deadline_at_ms,
        n_attempts_left,
        call.first_kind,
    )
    yield exchange
    until_ms = state.since_ms
    interval_ms = check_interval_ms(call.deadline_at_ms - state.since_ms)
    has_caller_left = False
    while True:
        if not state.is_silent:
            until_ms = min(until_ms + interval_ms, call.deadline_at_ms)
        event = yield AwaitEvent(until_ms)
        if isinstance(event, SendsAnnounced):
            state.n_announced = max(state.n_announced, event.n_sends)
            continue
        if isinstance(event, AnswerMarginGrown):
            keep_margin(call, event.margin_ms)
            until_ms = min(until_ms, call.deadline_at_ms)
            continue
        if isinstance(event, CallerDisconnected):
            if not call.policy.is_idempotent:
                # The peer withdraws the request if no target has it yet, and otherwise
                # returns the response, which the caller may still read.
                has_caller_left = True
                yield EndSending(exchange)
                continue
            yield Abort(exchange)
            return Err(Refusal(CANCELLED, OUTCOME_UNKNOWN, 499, "relay", call.relay_to))
        if isinstance(event, StopReached):
            yield Abort(exchange)
            return Err(Refusal(STOPPING, OUTCOME_UNKNOWN, 502, "relay", call.relay_to))
        if isinstance(event, WaitTimedOut):
            is_late = event.now_ms >= call.deadline_at_ms
            if not is_late and not state.is_silent:
                yield from check_peer(call, state)
                continue
            yield Abort(exchange)
            if not is_late:
                return continue_elsewhere(call, state, "peer is silent", event.now_ms)
            return Err(Refusal(TIMED_OUT, OUTCOME_UNKNOWN, 504, "relay", call.relay_to))
        yield from report_end(call.relay_to, event.result)
        outcome = relay_outcome(call, state, event.result, event.now_ms)
        if outcome is None and has_caller_left:
            return Err(withdrawn_refusal(call))
        return outcome


def check_interval_ms(left_ms):
    """Return the interval of the checks of a peer, for a call with this time left."""
    return min(PEER_CHECK_INTERVAL_MS, PEER_CHECK_SHARE * max(0.0, left_ms))


def report_end(peer_id, result):
    """Report whether the peer of a relay that ended has responded or failed."""
    if not isinstance(result, SendFailure):
        yield RelayEnded(peer_id, True)
    elif result.kind in PEER_FAILURES:
        yield RelayEnded(peer_id, False)


def check_peer(call, state):
    """Note whether the peer that holds an idempotent request is silent.

    What has come from it is handled before it is given up. A send after it counts as a
    retry unless the peer was silent before it got the request.
    """
    status = yield CheckPeerAlive(call.relay_to)
    if status.is_alive or not call.policy.is_idempotent:
        return
    state.is_silent = True
    if state.since_ms <= status.ran_until_ms:
        call.first_kind = RETRY


def withdrawn_refusal(call):
    """Return the refusal of an order that did not run before its caller left.

    The status is that of an order which is withdrawn while it waits for a slot: a
    caller that has closed only its sending side learns that it may send again.
    """
    return Refusal(CANCELLED, NOT_RUN, 503, "relay", call.relay_to, SHED_RETRY_AFTER_MS)


def continue_elsewhere(call, state, reason, now_ms):
    """Count the peer's sends as attempts; return None if another attempt is left.

    The result is otherwise an Err with the call's refusal. The peer has announced each
    send beyond its first one.
    """
    call.n_may_have_run += state.n_announced
    state.begin_next(call.relay_to, now_ms)
    if call.n_may_have_run < call.policy.n_attempts_max:
        return None
    return Err(Refusal(reason, OUTCOME_UNKNOWN, 502, "relay", call.relay_to))


def relay_outcome(call, state, result, now_ms):
    """Return the outcome of a relayed call, or None to continue elsewhere.

    The call continues if the peer certainly has not sent it: it can't be reached or is
    about to stop.
    """
    if isinstance(result, SendFailure):
        if not result.may_have_run:
            state.begin_next(call.relay_to, now_ms)
            return None
        if call.policy.is_idempotent:
            call.first_kind = RETRY
            return continue_elsewhere(call, state, result.kind, now_ms)
        return Err(Refusal(result.kind, OUTCOME_UNKNOWN, 502, "relay", call.relay_to))
    refusal = result.refusal
    if refusal is not None:
        if refusal.reason == STOPPING and refusal.certainty == NOT_RUN:
            state.begin_next(call.relay_to, now_ms)
            return None
        if refusal.reason == STOPPING and call.policy.is_idempotent:
            # The peer has ended while it held the request.
            call.first_kind = RETRY
            return continue_elsewhere(call, state, STOPPING, now_ms)
        return Err(weaken_if_may_have_run(call, refusal))
    return Ok(Answer(result.status, result.payload, result.target_id))
