"""Latency estimates and ejection of failing targets."""

from .cold_start import JUMP_FACTOR, enter_cold

LATENCY_WEIGHT = 0.3
N_FAILURES_TO_EJECT = 3
EJECTION_MIN_MS = 500.0
EJECTION_MAX_MS = 10_000.0


def note_latency(state, latency_ms, now_ms):
    """Fold a completion into the moving average; tell whether it jumped."""
    previous_ms = state.latency_ms
    state.sampled_at_ms = now_ms
    if previous_ms is None:
        state.latency_ms = latency_ms
        return False
    state.latency_ms = previous_ms + LATENCY_WEIGHT * (latency_ms - previous_ms)
    return latency_ms > JUMP_FACTOR * previous_ms


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
