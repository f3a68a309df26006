"""Policies for the concurrency limit of a target, as closures over their parameters.

Each ``make_*`` function returns ``adjust(state, latency_ms, baseline, is_overload)``,
which sets ``state.limit`` after a request ends. ``baseline`` is the service's
BaselineLatency. ``is_overload`` is set if the target reported that it did not run the
request, or timed out. No limit exceeds the declared slots.
"""

from math import sqrt

# Maximum number of slots to which a decrease applies its share. Without this maximum,
# one slow request in a hundred would keep the limit of a large target low.
DECREASED_SLOTS_MAX = 8.0


def make_fixed():
    """Return a policy that keeps the limit at the ceiling."""

    def adjust(state, latency_ms, baseline, is_overload):
        state.limit = float(state.ceiling)

    return adjust


def make_aimd(decrease=0.3, increase=2.0, increase_share=0.15):
    """Return a policy of additive increase and multiplicative decrease.

    Over as many good completions as the limit allows in flight, the limit grows by
    ``increase`` slots, or by ``increase_share`` of the ceiling if that is more. Each
    sign of overload lowers it by the share ``decrease`` of at most DECREASED_SLOTS_MAX
    slots. A completion that is slow against the baseline is such a sign too.
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
    """Return a policy that follows the ratio of baseline to current latency.

    The gradient is ``tolerance`` times this ratio, but at least 0.5 and at most 1, and
    0.5 in overload. The limit times the gradient, plus the square root of the limit, is
    averaged with the limit; ``smoothing`` is the weight of this new value.
    """

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
