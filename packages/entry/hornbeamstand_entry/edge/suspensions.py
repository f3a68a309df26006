"""Notes the times in which the process did not run.

A process that is suspended gets the signals that were sent meanwhile only when it runs
again, and it can't tell when they were sent.
"""

import time

from hornbeamstand_core.clock import Clock

from ..clock import make_process_clock
from ..life.host_features import has_boot_clock

# Minimum time between two notes that counts as a suspension. The control task notes
# that it runs several times in this time.
SUSPENSION_MIN_MS = 500.0
# Time after its end in which the signals and answers that came in it are handled.
WAKE_MS = 300.0
MS_PER_S = 1000.0


def make_boot_clock():
    """Return a Clock that also counts the time in which the machine is suspended.

    On a host without such a clock it does not count that time.
    """
    if not has_boot_clock():
        return make_process_clock()
    return Clock.from_reader(lambda: time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_S)


class Suspensions:
    """The last suspension of the process.

    ``n_ended`` is the number of suspensions that were noted.

    Parameters
    ----------
    clock : Clock
        The process's clock.
    boot_clock : Clock
        A clock that goes on while the machine is suspended.
    """

    __slots__ = (
        "n_ended",
        "_clock",
        "_boot_clock",
        "_ran_at_ms",
        "_length_ms",
        "_woke_at_ms",
    )

    def __init__(self, clock, boot_clock):
        self.n_ended = 0
        self._clock = clock
        self._boot_clock = boot_clock
        self._ran_at_ms = boot_clock.now_ms()
        self._length_ms = 0.0
        self._woke_at_ms = float("-inf")

    def note_run(self):
        """Note that the process runs."""
        now_ms = self._boot_clock.now_ms()
        length_ms = now_ms - self._ran_at_ms
        self._ran_at_ms = now_ms
        if length_ms >= SUSPENSION_MIN_MS:
            self.n_ended += 1
            self._length_ms = length_ms
            self._woke_at_ms = self._clock.now_ms()

    def is_just_over(self):
        """Return whether a suspension ended within the last ``WAKE_MS``."""
        self.note_run()
        return self._clock.now_ms() - self._woke_at_ms < WAKE_MS

    def max_signal_age_ms(self):
        """Return how long ago a signal that is handled now may have been sent."""
        if not self.is_just_over():
            return 0.0
        return self._length_ms + self._clock.now_ms() - self._woke_at_ms
