"""When a caller that is over its quota may come back."""

from math import inf

MS_PER_S = 1000.0
# Limits of the time after which a refused caller is told to retry.
RETRY_AFTER_MIN_MS = 30.0
RETRY_AFTER_MAX_MS = 5000.0


class ReturnTimes:
    """The times at which refused callers were told to come back.

    Each one gets a later time, at which a token comes that the callers before it leave
    over, so that no more of them come back than can be served.
    """

    __slots__ = ("_last_at_ms",)

    def __init__(self):
        self._last_at_ms = -inf

    def next_ms(self, rate_per_s, now_ms):
        """Return the time after which one more caller may come back."""
        at_ms = max(now_ms, self._last_at_ms) + MS_PER_S / rate_per_s
        self._last_at_ms = min(at_ms, now_ms + RETRY_AFTER_MAX_MS)
        return max(RETRY_AFTER_MIN_MS, self._last_at_ms - now_ms)
