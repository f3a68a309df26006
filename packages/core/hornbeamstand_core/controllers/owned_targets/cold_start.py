"""Cold start of a target, during which its limit grows from a low value.

A cold start follows from a change of configuration or owner, from the target's own
report, from an ejection, or from latency that indicates a restart. ``state`` is a
TargetState, ``rules`` the ColdStartSpec of its service and ``report`` a TargetReport.
"""

from .target_state import COLD, READY


def enter_cold(state, rules):
    """Begin a cold start: lower the limit at once and discard the average latency."""
    state.phase = COLD
    state.limit = float(min(rules.limit, state.ceiling))
    state.n_good_in_step = 0
    state.latency_ms = None
    state.n_jumps_in_row = 0


def count_good_completion(state, rules):
    """Count a good completion in a cold start.

    After every ``n_completions_per_step`` of them the limit grows by one. The cold
    start ends when the limit reaches the ceiling.
    """
    state.n_good_in_step += 1
    if state.n_good_in_step < rules.n_completions_per_step:
        return
    state.n_good_in_step = 0
    state.limit = min(state.limit + 1.0, float(state.ceiling))
    if state.limit >= state.ceiling:
        state.phase = READY


def has_restarted(state, report):
    """Return whether a report's start id differs from the last known one."""
    if not report.start_id or not state.start_id:
        return False
    return report.start_id != state.start_id


def note_start(state, report, rules):
    """Record a report's start id.

    Begin a cold start if the target has restarted or reports that it is cold.
    """
    if has_restarted(state, report) or (report.state == COLD and state.phase == READY):
        enter_cold(state, rules)
    if report.start_id:
        state.start_id = report.start_id
