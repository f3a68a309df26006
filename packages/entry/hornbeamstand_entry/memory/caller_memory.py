"""What is held in memory for one caller's connection, and whether the caller moves."""

import errno

import gevent

from ..tasks.failures import call_soon_if_possible

# Number of bytes that a caller must send or read before it counts as moving: single
# bytes now and then would keep the memory of a whole body.
MOVED_MIN_BYTES = 4096


class CallerStalled(OSError):
    """Raised in the greenlet of a connection whose caller no longer reads."""


def make_stalled_error():
    """Return the error that ends the sending of an answer."""
    return CallerStalled(errno.EPIPE, "caller does not read while memory is short")


class CallerMemory:
    """The memory of one caller's connection.

    ``n_bytes`` are held for it. ``waits_since_ms`` is the time at which the caller sent
    or read last while the VM waits for it, or None while it does not wait.
    ``began_at_ms`` is the time at which the wait began, and ``n_moved_bytes`` what the
    caller has sent or read since.

    Parameters
    ----------
    budget : ByteBudget
        Knows the CallerMemory until ``close``.
    clock : Clock
        The process's clock.
    """

    __slots__ = (
        "budget",
        "clock",
        "n_bytes",
        "waits_since_ms",
        "began_at_ms",
        "n_moved_bytes",
        "_greenlet",
        "_make_error",
        "_n_noted_bytes",
    )

    def __init__(self, budget, clock):
        self.budget = budget
        self.clock = clock
        self.n_bytes = 0
        self.waits_since_ms = None
        self._greenlet = gevent.getcurrent()
        self.began_at_ms = 0.0
        self.n_moved_bytes = 0
        self._make_error = make_stalled_error
        self._n_noted_bytes = 0
        budget.callers.add(self)

    def begin_wait(self, make_error):
        """Note that the current greenlet waits for the caller to send or to read.

        ``make_error()`` is raised in it if the caller is ended for its memory.
        """
        self._greenlet = gevent.getcurrent()
        self._make_error = make_error
        self.n_moved_bytes = self._n_noted_bytes = 0
        self.began_at_ms = self.waits_since_ms = self.clock.now_ms()

    def note_moved(self, n_bytes):
        """Note that the caller has sent or read some bytes."""
        self.n_moved_bytes += n_bytes
        if self.n_moved_bytes - self._n_noted_bytes >= MOVED_MIN_BYTES:
            self._n_noted_bytes = self.n_moved_bytes
            self.waits_since_ms = self.clock.now_ms()

    def end_wait(self):
        """Note that the VM no longer waits for the caller."""
        self.waits_since_ms = None

    def end_soon(self):
        """Raise the error of the present wait in its greenlet, unless it ends first."""
        call_soon_if_possible(self._end, self.began_at_ms)

    def _end(self, began_at_ms):
        if self.waits_since_ms is not None and self.began_at_ms == began_at_ms:
            self._greenlet.throw(self._make_error())

    def close(self):
        """Forget the connection."""
        self.waits_since_ms = None
        self.budget.callers.discard(self)
