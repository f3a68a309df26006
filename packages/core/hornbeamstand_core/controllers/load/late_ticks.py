"""Whether late ticks show that this VM's processor is not its own for long enough.

A pause makes one tick late. Pauses that come again are no reason to refuse while this
VM is in time for longer between them: it then catches up with what waited.
"""

# Delay from which a tick is late.
LATE_TICK_MS = 50.0
# Minimum time without late ticks or turns that makes up for delays. In less of it a VM
# on a busy host has run by chance.
IN_TIME_MIN_MS = 300.0
# Maximum sum of the delays, without the longest one, that is remembered, and the time
# without late ticks or turns after which nothing is.
REMEMBERED_MS = 2000.0


class LateTicks:
    """The delays of late ticks, less the time in which ticks and turns were in time."""

    __slots__ = (
        "_late_ms",
        "_longest_ms",
        "_noted_at_ms",
        "_in_time_ms",
        "_uncounted_ms",
    )

    def __init__(self):
        self._late_ms = 0.0
        # The longest delay, as far as the time in time hasn't made up for it too.
        self._longest_ms = 0.0
        self._noted_at_ms = 0.0
        # Time since the first of the latest ticks that were all in time, or None.
        self._in_time_ms = None
        # The part of that time that has not been taken from the delays.
        self._uncounted_ms = 0.0

    def note(self, delay_ms, is_turn_late, now_ms):
        """Note a tick, how late it is, and whether the last turn was late."""
        since_ms = now_ms - self._noted_at_ms
        self._noted_at_ms = now_ms
        if delay_ms >= LATE_TICK_MS:
            self._longest_ms = max(self._longest_ms, delay_ms)
            late_max_ms = self._longest_ms + REMEMBERED_MS
            self._late_ms = min(late_max_ms, self._late_ms + delay_ms)
        if delay_ms >= LATE_TICK_MS or is_turn_late:
            self._in_time_ms = None
        elif self._in_time_ms is None:
            self._in_time_ms = self._uncounted_ms = 0.0
        else:
            self._note_in_time(since_ms)

    def _note_in_time(self, since_ms):
        self._in_time_ms += since_ms
        self._uncounted_ms += since_ms
        if self._in_time_ms < IN_TIME_MIN_MS:
            return
        self._late_ms = max(0.0, self._late_ms - self._uncounted_ms)
        self._uncounted_ms = 0.0
        if self._in_time_ms >= REMEMBERED_MS:
            self._late_ms = 0.0
        self._longest_ms = min(self._longest_ms, self._late_ms)

    def repeated_ms(self):
        """Return the sum of the delays that count, without the longest one."""
        return self._late_ms - self._longest_ms
