"""Concurrency limits of a target: closures over their parameters.

Each maker returns ``adjust(state, latency_ms, baseline, is_overload)``, which sets
``state.limit`` after one completion. ``baseline`` is the service's BaselineLatency.
Declared slots are the ceiling of every limit.
"""

from math import sqrt

# A decrease takes away a share of at most this many slots, so that one slow
# request in a hundred does not hold a large target down.
DECREASED_SLOTS_MAX = 8.0


def make_fixed():
    """Return a limit that stays at the ceiling."""

    def adjust(state, latency_ms, baseline, is_overload):
        state.limit = float(state.ceiling)

    return adjust


def make_aimd(decrease=0.3, increase=2.0, increase_share=0.15):
    """Return additive increase, multiplicative decrease.

    The limit grows per full window of good completions by ``increase`` slots, or
    by ``increase_share`` of the ceiling if that is more. Each sign of overload, a
    slow completion among them, takes the share ``decrease`` away.
    """

    def adjust(state, latency_ms, baseline, is_overload):
        if is_overload or baseline.is_slow(latency_ms):
            lost = decrease * min(state.limit, DECREASED_SLOTS_MAX)
            state.limit = max(1.0, state.limit - lost)
            return
        step = max(increase, increase_share * state.ceiling)
        state.limit = min(float(state.ceiling), state.limit + step / state.limit)

    return adjust


def make_gradient(tolerance=2.0, smoothing=0.2):
    """Return a limit that follows the ratio of usual to present latency."""

    def adjust(state, latency_ms, baseline, is_overload):
        if baseline.mean_ms is None or latency_ms <= 0.0:
            return
        gradient = max(0.5, min(1.0, tolerance * baseline.mean_ms / latency_ms))
        if is_overload:
            gradient = 0.5
        wanted = state.limit * gradient + sqrt(state.limit)
        limit = (1.0 - smoothing) * state.limit + smoothing * wanted
        state.limit = max(1.0, min(float(state.ceiling), limit))

    return adjust
