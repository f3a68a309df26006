"""A service's fast latency: one that few of its requests fall below."""

# Share of the requests that are faster than the estimate.
FAST_QUANTILE = 0.05
# Step by which the estimate moves, as a share of the latency that moves it up or of
# itself.
STEP_SHARE = 0.1
# Age of the last latency from which the estimate no longer counts.
AGE_MAX_MS = 5_000.0
# Maximum share of a request's latency objective that is left when it counts as late.
# With more, the request may be of a kind that is faster than the others.
LEFT_SHARE_MAX = 0.5


class FastLatency:
    """A moving estimate of a low quantile of the latencies of successful sends.

    It starts at 0 and rises slowly, so that it counts only after many latencies.
    """

    __slots__ = ("_quantile_ms", "_noted_at_ms")

    def __init__(self):
        self._quantile_ms = 0.0
        self._noted_at_ms = float("-inf")

    def note(self, latency_ms, now_ms):
        """Update the estimate with one latency."""
        self._noted_at_ms = now_ms
        if latency_ms < self._quantile_ms:
            self._quantile_ms *= 1.0 - STEP_SHARE * (1.0 - FAST_QUANTILE)
        else:
            rise_ms = STEP_SHARE * FAST_QUANTILE * latency_ms
            self._quantile_ms = min(latency_ms, self._quantile_ms + rise_ms)

    def value_ms(self, now_ms):
        """Return the estimate, or 0 without a recent latency."""
        if now_ms - self._noted_at_ms > AGE_MAX_MS:
            return 0.0
        return self._quantile_ms

    def is_too_late(self, left_ms, objective_ms, now_ms):
        """Return whether a request has too little of its time left to be answered."""
        if left_ms >= LEFT_SHARE_MAX * objective_ms:
            return False
        return left_ms < self.value_ms(now_ms)


def late_reason(message, fast_latency, now_ms):
    """Return why a request comes too late to be sent, or an empty string.

    ``message`` is its AcquireSlot, and ``fast_latency`` that of its service.
    """
    left_ms = message.deadline_at_ms - now_ms
    if left_ms <= 0.0:
        return "deadline passed"
    if fast_latency.is_too_late(left_ms, message.objective_ms, now_ms):
        return "too little time left"
    return ""
