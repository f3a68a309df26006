"""How many tokens a second are in demand."""

from math import exp

MS_PER_S = 1000.0
# Time constant of the average.
AVERAGE_MS = 1000.0


class Demand:
    """The exponentially weighted average of the tokens asked for."""

    __slots__ = ("_n_recent", "_noted_at_ms")

    def __init__(self):
        self._n_recent = 0.0
        self._noted_at_ms = 0.0

    def note(self, n_tokens, now_ms):
        """Record that tokens are asked for."""
        self._n_recent = self._decayed(now_ms) + n_tokens
        self._noted_at_ms = now_ms

    def rate_per_s(self, now_ms):
        """Return the tokens a second that are in demand now."""
        return self._decayed(now_ms) * MS_PER_S / AVERAGE_MS

    def _decayed(self, now_ms):
        if self._n_recent == 0.0:
            return 0.0
        since_ms = max(0.0, now_ms - self._noted_at_ms)
        return self._n_recent * exp(-since_ms / AVERAGE_MS)
