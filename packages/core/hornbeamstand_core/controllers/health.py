"""Latency estimates and ejection of failing targets."""

from .cold_start import enter_cold

LATENCY_WEIGHT = 0.3
# Completions over this multiple of the target's own estimate, so many in a row,
# count as an unannounced restart. One alone is within the usual variation.
LATENCY_JUMP_FACTOR = 8.0
N_JUMPS_FOR_RESTART = 2
N_FAILURES_TO_EJECT = 3
EJECTION_MIN_MS = 500.0
EJECTION_MAX_MS = 10_000.0


def note_latency(state, latency_ms, now_ms):
    """Fold a completion into the moving average; tell whether it restarted."""
    previous_ms = state.latency_ms
    state.sampled_at_ms = now_ms
    if previous_ms is None:
        state.latency_ms = latency_ms
        return False
    if latency_ms > LATENCY_JUMP_FACTOR * previous_ms:
        # Kept out of the average until the next one tells what it was.
        state.n_jumps_in_row += 1
        return state.n_jumps_in_row >= N_JUMPS_FOR_RESTART
    state.n_jumps_in_row = 0
    state.latency_ms = previous_ms + LATENCY_WEIGHT * (latency_ms - previous_ms)
    return False


def note_good(state):
    """End a run of failures."""
    state.n_failures_in_row = 0
    state.ejection_ms = 0.0


def note_failure(state, now_ms, rules):
    """Count a failure; eject after several in a row, for longer each time.

    A target comes back from ejection in cold start.
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
