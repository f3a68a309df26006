"""What is done when an allocation fails, so that the failure can be handled.

Handling an error takes memory too: for the report, the result and the callbacks. A part
of the address space is kept for that, and given up at the first failure.
"""

from contextlib import suppress

import gevent
from gevent.event import Event

# Size of the reserve. Bytes are allocated without touching their pages, unlike a
# bytearray's, and so take no resident memory.
RESERVE_BYTES = 4 << 20
# Time after a failure until the reserve is taken again.
RESTORE_DELAY_MS = 1000.0
MS_PER_S = 1000.0
# Functions that ``relieve_with`` has registered.
reliefs = []


def relieve_with(free, stack):
    """Call ``free()`` after each failed allocation; the exit stack ends that.

    It must not block, and take next to no memory.
    """
    reliefs.append(free)
    stack.callback(reliefs.remove, free)


def note_failed_allocation():
    """Free what can be freed at once, because an allocation has failed."""
    for free in reliefs:
        with suppress(Exception):
            free()


class MemoryReserve:
    """A block of memory that is given up when an allocation fails."""

    __slots__ = ("_block", "_was_released")

    def __init__(self):
        self._block = bytes(RESERVE_BYTES)
        self._was_released = Event()

    @property
    def is_held(self):
        """Whether the block is still there to be given up."""
        return self._block is not None

    def release(self):
        """Give the block up."""
        self._block = None
        self._was_released.set()

    def restore_forever(self):
        """Take the block again some time after each release."""
        while True:
            self._was_released.wait()
            gevent.sleep(RESTORE_DELAY_MS / MS_PER_S)
            self._was_released.clear()
            try:
                self._block = bytes(RESERVE_BYTES)
            except MemoryError:
                self._was_released.set()
