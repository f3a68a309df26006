"""Whether this VM's processor keeps up with its work.

A VM that is slowed down, or gets more requests than it can carry, handles every message
late. Its heartbeats still arrive, so its peers learn of the state from them.
"""

from math import exp

# Time constant of the mean delay of the controllers' ticks.
MEAN_DECAY_MS = 500.0
# Maximum delay, and maximum time since the last tick, that count in the mean. A single
# long pause, such as that of a suspended machine, says nothing about the load.
DELAY_MAX_MS = 100.0
SINCE_MAX_MS = 200.0
# Mean delay from which a VM counts as overloaded.
OVERLOADED_DELAY_MS = 35.0
# Time below that mean after which a VM no longer counts as overloaded. Its load is back
# at once then, so a short time would let it alternate between the two states.
CALM_MS = 8000.0
# Uptime from which delays count. The work of a start makes ticks late too.
UPTIME_MIN_MS = 5000.0


class OverloadDetector:
    """Detects overload from the delays of the controllers' ticks.

    ``is_overloaded`` is the current state, and ``mean_delay_ms`` the moving average of
    the delays.

    Parameters
    ----------
    started_at_ms : float
        Start of this VM's process.
    """

    __slots__ = (
        "is_overloaded",
        "mean_delay_ms",
        "_started_at_ms",
        "_noted_at_ms",
        "_late_at_ms",
    )

    def __init__(self, started_at_ms):
        self._started_at_ms = started_at_ms
        self.is_overloaded = False
        self.mean_delay_ms = 0.0
        self._noted_at_ms = float("-inf")
        self._late_at_ms = float("-inf")

    def note_tick(self, delay_ms, now_ms):
        """Record a tick and its delay; return whether the state changed."""
        if now_ms - self._started_at_ms < UPTIME_MIN_MS:
            return False
        since_ms = min(SINCE_MAX_MS, now_ms - self._noted_at_ms)
        weight = 1.0 - exp(-since_ms / MEAN_DECAY_MS)
        self.mean_delay_ms += weight * (
            min(DELAY_MAX_MS, delay_ms) - self.mean_delay_ms
        )
        self._noted_at_ms = now_ms
        if self.mean_delay_ms >= OVERLOADED_DELAY_MS:
            self._late_at_ms = now_ms
        was_overloaded = self.is_overloaded
        self.is_overloaded = now_ms - self._late_at_ms < CALM_MS
        return self.is_overloaded != was_overloaded
