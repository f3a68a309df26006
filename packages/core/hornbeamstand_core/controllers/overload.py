"""Whether this VM's processor keeps up with its work.

A VM that is slowed down, or gets more requests than it can carry, handles every message
late. Its heartbeats still arrive, so its peers learn of the state from them.
"""

from collections import deque

# Minimum delay of a tick that counts as late.
LATE_TICK_MS = 40.0
# Number of late ticks within the window at which a VM counts as overloaded. A single
# pause, such as a garbage collection or a suspended machine, makes one tick late.
N_LATE_TICKS = 4
LATE_WINDOW_MS = 1200.0
# Time without a late tick after which a VM no longer counts as overloaded. Its load is
# back at once then, so a short time would let it alternate between the two states.
CALM_MS = 8000.0


class OverloadDetector:
    """Detects overload from the delays of the controllers' ticks.

    ``is_overloaded`` is the current state.
    """

    __slots__ = ("is_overloaded", "_late_at_ms")

    def __init__(self):
        self.is_overloaded = False
        self._late_at_ms = deque(maxlen=N_LATE_TICKS)

    def note_tick(self, delay_ms, now_ms):
        """Record a tick and its delay; return whether the state changed."""
        if delay_ms >= LATE_TICK_MS:
            self._late_at_ms.append(now_ms)
        was_overloaded = self.is_overloaded
        if was_overloaded:
            self.is_overloaded = now_ms - self._late_at_ms[-1] < CALM_MS
        elif len(self._late_at_ms) == N_LATE_TICKS:
            self.is_overloaded = now_ms - self._late_at_ms[0] <= LATE_WINDOW_MS
        return self.is_overloaded != was_overloaded
