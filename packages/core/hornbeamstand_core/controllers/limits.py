"""Concurrency limits of a target: closures over their parameters.

Each maker returns ``adjust(state, latency_ms, base_ms, is_overload)``, which
sets ``state.limit`` after one completion. ``base_ms`` is the service's usual
latency. Declared slots are the ceiling of every limit.
"""

from math import sqrt

# A completion slower than this multiple of the usual latency counts as overload.
SLOW_FACTOR = 6.0


def make_fixed():
    """Return a limit that stays at the ceiling."""

    def adjust(state, latency_ms, base_ms, is_overload):
        state.limit = float(state.ceiling)

    return adjust


def make_aimd(decrease=0.7, increase=1.0, slow_factor=SLOW_FACTOR):
    """Return additive increase, multiplicative decrease.

    The limit grows by ``increase`` per full window of good completions and
    shrinks by ``decrease`` on each sign of overload.
    """

    def adjust(state, latency_ms, base_ms, is_overload):
        is_slow = base_ms is not None and latency_ms > slow_factor * base_ms
        if is_overload or is_slow:
            state.limit = max(1.0, state.limit * decrease)
            return
        state.limit = min(float(state.ceiling), state.limit + increase / state.limit)

    return adjust


def make_gradient(tolerance=2.0, smoothing=0.2):
    """Return a limit that follows the ratio of usual to present latency."""

    def adjust(state, latency_ms, base_ms, is_overload):
        if base_ms is None or latency_ms <= 0.0:
            return
        gradient = max(0.5, min(1.0, tolerance * base_ms / latency_ms))
        if is_overload:
            gradient = 0.5
        wanted = state.limit * gradient + sqrt(state.limit)
        limit = (1.0 - smoothing) * state.limit + smoothing * wanted
        state.limit = max(1.0, min(float(state.ceiling), limit))

    return adjust
