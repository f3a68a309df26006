"""The delays of a moment, without the longest one.

A single pause, such as that of a suspended machine, is one long delay. A processor that
can't keep up makes several.
"""

from collections import deque

# Time for which a delay is kept.
KEPT_MS = 2000.0


class RecentDelays:
    """Delays of the last two seconds, each with the time at which it was noted.

    Parameters
    ----------
    delay_min_ms : float
        Minimum of the delays that are kept. A VM that is in time keeps none.
    """

    __slots__ = ("_delay_min_ms", "_delays")

    def __init__(self, delay_min_ms):
        self._delay_min_ms = delay_min_ms
        self._delays = deque()

    def note(self, delay_ms, now_ms):
        """Note a delay."""
        if delay_ms >= self._delay_min_ms:
            self._delays.append((now_ms, delay_ms))
        while self._delays and now_ms - self._delays[0][0] > KEPT_MS:
            self._delays.popleft()

    def repeated_ms(self):
        """Return the delay that has been reached twice or more, or 0."""
        delays = sorted(delay_ms for _, delay_ms in self._delays)
        return delays[-2] if len(delays) > 1 else 0.0
