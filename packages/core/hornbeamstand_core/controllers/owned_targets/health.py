"""Latency estimates of targets and ejection of failing ones.

``state`` is a TargetState and ``rules`` the ColdStartSpec of its service.
"""

from .cold_start import enter_cold

# Weight of the newest completion in a target's moving average of the latency.
LATENCY_WEIGHT = 0.3
# Ratio to the target's average latency above which a completion counts as a jump.
LATENCY_JUMP_FACTOR = 8.0
# Number of jumps in a row that count as an unannounced restart of the target. A single
# one is within the normal variation.
N_JUMPS_FOR_RESTART = 2
# Number of failures in a row after which a target is ejected.
N_FAILURES_TO_EJECT = 3
# Duration of the first ejection, and the maximum to which repeated ones double.
EJECTION_MIN_MS = 500.0
EJECTION_MAX_MS = 10_000.0


def note_latency(state, latency_ms, now_ms):
    """Add a completion to the moving average.

    Return whether the latency indicates that the target has restarted.
    """
    previous_ms = state.latency_ms
    state.sampled_at_ms = now_ms
    if previous_ms is None:
        state.latency_ms = latency_ms
        return False
    if latency_ms > LATENCY_JUMP_FACTOR * previous_ms:
        # The average leaves out a jump: the next completion shows whether it was a
        # restart.
        state.n_jumps_in_row += 1
        return state.n_jumps_in_row >= N_JUMPS_FOR_RESTART
    state.n_jumps_in_row = 0
    state.latency_ms = previous_ms + LATENCY_WEIGHT * (latency_ms - previous_ms)
    return False


def note_success(state):
    """Reset the count of failures in a row and the ejection time."""
    state.n_failures_in_row = 0
    state.ejection_ms = 0.0


def note_failure(state, now_ms, rules):
    """Count a failure, and eject the target after several in a row.

    After an ejection each further failure ejects the target again, for twice as long,
    until a request succeeds. A target comes back from an ejection in cold start.
    Return whether the target was ejected.
    """
    state.n_failures_in_row += 1
    if state.n_failures_in_row < N_FAILURES_TO_EJECT:
        return False
    doubled_ms = max(EJECTION_MIN_MS, state.ejection_ms * 2)
    state.ejection_ms = min(EJECTION_MAX_MS, doubled_ms)
    state.ejected_until_ms = now_ms + state.ejection_ms
    state.n_failures_in_row = N_FAILURES_TO_EJECT - 1
    enter_cold(state, rules)
    return True
