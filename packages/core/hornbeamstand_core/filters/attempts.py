"""Sends a request to targets, retries after a failure and hedges a slow send."""

from result import Err, Ok

from ..controllers.load.placing import FAST, SLOW
from ..edge_messages import (
    HEDGE,
    RETRY,
    Abort,
    AcquireSlot,
    StartSend,
)
from ..event_messages import (
    AnswerMarginGrown,
    AwaitEvent,
    CallerDisconnected,
    StopReached,
    WaitTimedOut,
)
from ..load_probe_messages import ProbeLoads, ProbesNeeded
from ..messages import (
    CANCELLED,
    LACKS_OF_VM,
    NOT_RUN,
    OUTCOME_UNKNOWN,
    STATUS_ERROR,
    STOPPING,
    TIMED_OUT,
    Answer,
    Refusal,
    Release,
    SendFailure,
)
from ..relay_messages import AnnounceSends
from .margins import keep_margin
from .quota import note_first_send
from .refusals import weaken_if_may_have_run

# Share of the latency objective after which a hedge is sent to a second target.
HEDGE_DELAY_SHARE = 0.35
# The same share if the first target was known to be fast when the send started,
# and if it was known to be slow.
FAST_HEDGE_DELAY_SHARE = 0.5
SLOW_HEDGE_DELAY_SHARE = 0.1
# Minimum share of the latency objective that must be left to send a hedge; with
# less, the second target would respond too late.
HEDGE_LEFT_SHARE_MIN = 0.3
# Interval after which a hedge that got no slot is tried again.
HEDGE_RETRY_INTERVAL_MS = 40.0
# Maximum number of sends of a call beyond the attempts that its policy allows. A send
# that its target did not run does not use up an attempt.
N_EXTRA_SENDS_MAX = 2
# Time after which a caller may retry a request that every target refused.
SHED_RETRY_AFTER_MS = 20.0


class AttemptState:
    """The sends of one call that are in flight, and its failure so far.

    ``permits`` are those of the sends in flight. ``failure`` is the outcome to return
    if no send succeeds, or None. An error response of a target takes precedence over a
    send without a response. ``hedge_at_ms`` is the time of the next hedge, or infinity.
    ``n_dispatch_ids`` counts the slots requested, also those that were refused, so that
    each gets its own dispatch id.
    """

    __slots__ = ("permits", "failure", "hedge_at_ms", "n_dispatch_ids")

    def __init__(self, hedge_at_ms):
        self.permits = []
        self.failure = None
        self.hedge_at_ms = hedge_at_ms
        self.n_dispatch_ids = 0


def attempts(call):
    """Send until one send succeeds or no attempt is left.

    The call also ends if its deadline passes or its caller disconnects. An exception
    releases the slots of the sends in flight.
    """
    state = AttemptState(default_hedge_at_ms(call))
    try:
        return (yield from send_until_success(call, state))
    except Exception:
        yield from abort_all(state)
        raise


def send_until_success(call, state):
    """Send until one send succeeds or no attempt is left; see ``attempts``."""
    reply = yield from acquire(call, state, call.first_kind)
    if isinstance(reply, Refusal):
        return Err(weaken_if_may_have_run(call, reply))
    state.hedge_at_ms = hedge_at_ms(call, reply)
    yield from start_send(call, state, reply)
    while True:
        event = yield AwaitEvent(min(state.hedge_at_ms, call.deadline_at_ms))
        if isinstance(event, AnswerMarginGrown):
            keep_margin(call, event.margin_ms)
            continue
        if isinstance(event, CallerDisconnected):
            return (yield from end_without_caller(call, state))
        if isinstance(event, StopReached):
            return (yield from give_up(call, state, STOPPING, 502))
        if isinstance(event, WaitTimedOut):
            if event.now_ms >= call.deadline_at_ms:
                return (yield from give_up(call, state, TIMED_OUT, 504))
            yield from hedge(call, state, event.now_ms)
            continue
        outcome = yield from handle_result(call, state, event)
        if outcome is not None:
            return outcome


def default_hedge_at_ms(call):
    """Return when to hedge a call, without regard to the speed class of its target.

    The delay counts from the arrival of the request. The result is infinity if the call
    is never hedged.
    """
    policy = call.policy
    if not policy.is_idempotent or policy.n_attempts_max < 2:
        return float("inf")
    return call.request.arrived_at_ms + HEDGE_DELAY_SHARE * call.objective_ms


def hedge_at_ms(call, permit):
    """Return when to hedge the send under a permit, or infinity if never."""
    share = {FAST: FAST_HEDGE_DELAY_SHARE, SLOW: SLOW_HEDGE_DELAY_SHARE}.get(
        permit.speed_class, HEDGE_DELAY_SHARE
    )
    if default_hedge_at_ms(call) == float("inf"):
        return float("inf")
    return permit.granted_at_ms + share * call.objective_ms


def acquire(call, state, kind):
    """Request one more slot, after load probes if the controllers need them."""
    state.n_dispatch_ids += 1
    n_probe_rounds = 0
    while True:
        reply = yield slot_request(call, state, kind, n_probe_rounds)
        if not isinstance(reply, ProbesNeeded):
            return reply
        n_probe_rounds += 1
        yield ProbeLoads(reply)


def slot_request(call, state, kind, n_probe_rounds):
    """Return the effect that requests a slot."""
    request = call.request
    return AcquireSlot(
        call.policy.service_name,
        request.request_id,
        f"{request.request_id}#{state.n_dispatch_ids}",
        kind,
        call.policy.is_idempotent,
        call.policy.priority,
        call.deadline_at_ms,
        call.objective_at_ms,
        call.tried_target_ids,
        n_probe_rounds,
        call.objective_ms,
        call.policy.organisation,
        request.host,
        request.path,
    )


def start_send(call, state, permit):
    """Start a send under a permit.

    A VM that has relayed a request which may be repeated learns of each further send
    before it starts, so that it knows how many attempts are left if this VM fails.
    """
    state.permits.append(permit)
    call.n_sent += 1
    yield from note_first_send(call)
    call.n_may_have_run += 1
    call.tried_target_ids += (permit.target_id,)
    if call.is_relayed and call.policy.is_idempotent and call.n_may_have_run > 1:
        yield AnnounceSends(call.n_may_have_run)
    policy = call.policy
    yield StartSend(
        permit,
        call.deadline_at_ms,
        policy.is_idempotent,
        policy.organisation,
        policy.hides_key,
    )


def hedge(call, state, now_ms):
    """Send to a second target too, if an attempt and enough time are left."""
    left_ms = call.objective_at_ms - now_ms
    if call.n_may_have_run >= call.policy.n_attempts_max:
        state.hedge_at_ms = float("inf")
        return
    if left_ms < HEDGE_LEFT_SHARE_MIN * call.objective_ms:
        state.hedge_at_ms = float("inf")
        return
    reply = yield from acquire(call, state, HEDGE)
    if isinstance(reply, Refusal):
        state.hedge_at_ms = now_ms + HEDGE_RETRY_INTERVAL_MS
        return
    state.hedge_at_ms = float("inf")
    yield from start_send(call, state, reply)


def handle_result(call, state, event):
    """Handle the end of one send; return the call's outcome, or None to wait on."""
    permit, result = event.key, event.result
    yield Release(permit, result)
    state.permits.remove(permit)
    if is_success(result):
        yield from abort_all(state)
        return Ok(make_answer(permit, result))
    note_failure(call, state, result, permit)
    if state.permits:
        return None
    if event.now_ms < call.deadline_at_ms and may_retry(call, result):
        reply = yield from acquire(call, state, RETRY)
        if not isinstance(reply, Refusal):
            yield from start_send(call, state, reply)
            return None
        if state.failure is None:
            return Err(weaken_if_may_have_run(call, reply))
    return final_failure(call, state)


def is_success(result):
    """Return whether a result is a response to pass on at once."""
    if isinstance(result, SendFailure) or result.did_not_run:
        return False
    return result.status < STATUS_ERROR


def note_failure(call, state, result, permit):
    """Record what a failed send means for the call.

    A send that did not run frees its attempt; any other one becomes a candidate
    for the call's outcome.
    """
    if did_not_run(result):
        call.n_may_have_run -= 1
        return
    if isinstance(result, SendFailure):
        status = 504 if result.kind == TIMED_OUT else 502
        refusal = Refusal(
            result.kind, OUTCOME_UNKNOWN, status, "send", permit.target_id
        )
        state.failure = state.failure or Err(refusal)
        return
    answer = make_answer(permit, result)
    state.failure = Ok(answer)


def did_not_run(result):
    """Return whether a failed send certainly did not run."""
    if isinstance(result, SendFailure):
        return not result.may_have_run
    return result.did_not_run


def may_retry(call, result):
    """Return whether the request may be sent once more after a failed send."""
    policy = call.policy
    if isinstance(result, SendFailure) and result.kind in LACKS_OF_VM:
        # Another send would lack it too.
        return False
    if not did_not_run(result) and not policy.is_idempotent:
        return False
    if call.n_may_have_run >= policy.n_attempts_max:
        return False
    return call.n_sent < policy.n_attempts_max + N_EXTRA_SENDS_MAX


def final_failure(call, state):
    """Return the outcome of a call whose sends all failed."""
    if state.failure is not None:
        return state.failure
    refusal = Refusal(
        "no target took it", NOT_RUN, 503, "send", "", SHED_RETRY_AFTER_MS
    )
    return Err(weaken_if_may_have_run(call, refusal))


def give_up(call, state, reason, status):
    """End a call while sends are in flight: its deadline passed, or this VM stops.

    The outcome is the error response of an earlier send, or else a refusal.
    """
    yield from abort_all(state, TIMED_OUT if reason == TIMED_OUT else CANCELLED)
    if state.failure is not None and state.failure.is_ok():
        return state.failure
    service_name = call.policy.service_name
    return Err(Refusal(reason, OUTCOME_UNKNOWN, status, "send", service_name))


def make_answer(permit, response):
    """Return the Answer of the target that a permit is for."""
    return Answer(
        response.status, response.payload, permit.target_id, permit.started_wall_ms
    )


def end_without_caller(call, state):
    """End a call whose caller has disconnected, or sends nothing more.

    A send that may run only once is not aborted, since the target may have started it.
    Its response is the outcome: a caller that has closed only its sending side still
    reads it.
    """
    if not call.policy.is_idempotent:
        return (yield from finish_sends(call, state))
    yield from abort_all(state, has_caller=False)
    return Err(
        Refusal(CANCELLED, OUTCOME_UNKNOWN, 499, "send", call.policy.service_name)
    )


def finish_sends(call, state):
    """Wait for the sends in flight, without another one; return the call's outcome."""
    while state.permits:
        event = yield AwaitEvent(call.deadline_at_ms)
        if isinstance(event, WaitTimedOut):
            return (yield from give_up(call, state, TIMED_OUT, 504))
        if isinstance(event, StopReached):
            return (yield from give_up(call, state, STOPPING, 502))
        if isinstance(event, AnswerMarginGrown):
            keep_margin(call, event.margin_ms)
            continue
        if isinstance(event, CallerDisconnected):
            continue
        permit, result = event.key, event.result
        yield Release(permit, result)
        state.permits.remove(permit)
        if is_success(result):
            return Ok(make_answer(permit, result))
        note_failure(call, state, result, permit)
    return final_failure(call, state)


def abort_all(state, kind=CANCELLED, has_caller=True):
    """Abort every send in flight and release its slot.

    A caller may leave long responses of any target: what was read of them then says
    nothing about the target.
    """
    for permit in state.permits:
        n_read_bytes = yield Abort(permit)
        if not has_caller:
            n_read_bytes = 0
        failure = SendFailure(kind, True, permit.target_id, n_read_bytes or 0)
        yield Release(permit, failure)
    state.permits.clear()
