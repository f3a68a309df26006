"""Cold start of a target: declared, reported or noticed."""

from .target_state import COLD, READY


def enter_cold(state, rules):
    """Drop the limit to the cold start limit at once."""
    state.phase = COLD
    state.limit = float(min(rules.limit, state.ceiling))
    state.n_good_in_step = 0
    state.latency_ms = None
    state.n_jumps_in_row = 0


def count_good_completion(state, rules):
    """Grow the limit by one after enough completions; leave at the ceiling."""
    state.n_good_in_step += 1
    if state.n_good_in_step < rules.n_completions_per_step:
        return
    state.n_good_in_step = 0
    state.limit = min(state.limit + 1.0, float(state.ceiling))
    if state.limit >= state.ceiling:
        state.phase = READY


def has_restarted(state, report):
    """Tell whether a report shows another start than the last one."""
    if not report.start_id or not state.start_id:
        return False
    return report.start_id != state.start_id


def note_report(state, report, rules):
    """Take a report's start id and state; enter cold start if they say so."""
    if has_restarted(state, report) or (report.state == COLD and state.phase == READY):
        enter_cold(state, rules)
    if report.start_id:
        state.start_id = report.start_id
