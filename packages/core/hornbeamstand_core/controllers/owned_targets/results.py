"""Updates of a target's state from the result of a request or the target's own report.

``service`` is the ServiceController of the target and ``state`` its TargetState.
"""

from ...messages import CANCELLED, LACKS_OF_VM, STATUS_ERROR, TIMED_OUT, SendFailure
from .cold_start import (
    count_good_completion,
    enter_cold,
    has_restarted,
    note_start,
)
from .health import note_failure, note_latency, note_success
from .target_state import COLD, DRAINING, READY

# Minimum time that a timed-out request must have run to count as a failure of its
# target, as a multiple of the baseline latency. With less, its deadline may have been
# too short.
TARGET_TIMEOUT_FACTOR = 3.0


def may_still_run(result):
    """Return whether the target may still work on a request with this result."""
    return isinstance(result, SendFailure) and result.may_have_run


def learn_result(service, state, result, latency_ms, now_ms):
    """Update the target and the baseline latency from the result of a request."""
    rules = service.spec.cold_start
    if isinstance(result, SendFailure):
        learn_failure(service, state, result, latency_ms, now_ms)
        return
    if result.report is not None:
        note_report(state, result.report, rules, now_ms - latency_ms, now_ms)
    if result.did_not_run:
        service.adjust_limit(state, latency_ms, service.baseline, True)
        return
    if result.status >= STATUS_ERROR:
        note_failure(state, now_ms, rules)
        return
    note_success(state)
    if note_latency(state, latency_ms, now_ms) and state.phase == READY:
        enter_cold(state, rules)
        return
    service.baseline.note(latency_ms)
    if state.phase == COLD:
        count_good_completion(state, rules)
    else:
        service.adjust_limit(state, latency_ms, service.baseline, False)


def learn_failure(service, state, failure, latency_ms, now_ms):
    """Update the target from a request without a complete response."""
    if failure.kind == CANCELLED or failure.kind in LACKS_OF_VM:
        return
    if failure.kind == TIMED_OUT:
        if not failure.may_have_run:
            # The time ended on this VM, before the request was sent.
            return
        if latency_ms < TARGET_TIMEOUT_FACTOR * service.baseline.mean_or_zero_ms():
            return
        note_latency(state, latency_ms, now_ms)
        service.adjust_limit(state, latency_ms, service.baseline, True)
    note_failure(state, now_ms, service.spec.cold_start)


def note_report(state, report, rules, sent_at_ms, now_ms):
    """Update a target's phase from the state and start id that it reports.

    A report is left out if it contradicts one that came after its request was sent: it
    may be the older one.
    """
    is_contradiction = contradicts(state, report)
    if is_contradiction and sent_at_ms < state.reported_at_ms:
        return
    begins_to_drain = report.state == DRAINING and state.phase != DRAINING
    if is_contradiction or begins_to_drain:
        state.reported_at_ms = now_ms
    if report.state == DRAINING:
        state.phase = DRAINING
        return
    if state.phase == DRAINING:
        enter_cold(state, rules)
    note_start(state, report, rules)


def contradicts(state, report):
    """Return whether a report takes back that its target drains, or its start."""
    is_open_again = state.phase == DRAINING and report.state != DRAINING
    return is_open_again or has_restarted(state, report)
