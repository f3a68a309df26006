"""One limit of the bytes that a VM holds for its callers."""

from math import inf

from hornbeamstand_core.controllers.load.shortage import RELIEVED_SHARE, SHORT_SHARE

# Maximum size of a body that may take all of a budget, and the share of the budget that
# larger ones leave to such bodies: a few answers without end, until they are given up,
# would otherwise fail the answers of all services.
SMALL_BODY_MAX_BYTES = 65_536
SMALL_BODIES_SHARE = 1 / 8
# Share of the limit by which the bytes in holds fall before free memory is returned.
RETURNED_SHARE = 1 / 8


def relieve_nothing(n_wanted_bytes, is_exhausted):
    """Free no memory."""


def count_nothing():
    """Return 0: nothing but the holds counts."""
    return 0


def return_nothing():
    """Return no memory to the system."""


class ByteBudget:
    """Counts bytes held in memory against a limit.

    ``n_held_bytes`` is the number of bytes in holds. ``callers`` are the CallerMemory
    of all connections for which bytes may be held. ``relieve(n_wanted_bytes,
    is_exhausted)`` is called when memory gets short; it may end callers, whose bytes
    become free later. ``is_exhausted`` is whether bytes were just refused.
    ``count_others()`` returns the bytes that count and are in no hold.
    ``return_memory()`` is called after much was released, which the C library may keep.

    Parameters
    ----------
    limit_bytes : float
        Maximum number of bytes held at a time; infinity for no limit.
    """

    __slots__ = (
        "limit_bytes",
        "n_held_bytes",
        "callers",
        "relieve",
        "count_others",
        "return_memory",
        "_n_peak_bytes",
    )

    def __init__(self, limit_bytes=inf):
        self.limit_bytes = limit_bytes
        self.n_held_bytes = 0
        self.callers = set()
        self.relieve = relieve_nothing
        self.count_others = count_nothing
        self.return_memory = return_nothing
        self._n_peak_bytes = 0

    @property
    def n_used_bytes(self):
        """The number of bytes in use now."""
        return self.n_held_bytes + self.count_others()

    def max_bytes(self, n_body_bytes):
        """Return the maximum number of bytes in use with a body of this size."""
        if n_body_bytes <= SMALL_BODY_MAX_BYTES:
            return self.limit_bytes
        return (1 - SMALL_BODIES_SHARE) * self.limit_bytes

    def has_room(self, n_more_bytes, n_body_bytes=0):
        """Return whether more bytes may be held, of a body of ``n_body_bytes``."""
        if self.limit_bytes == inf:
            return True
        n_bytes = self.n_used_bytes + n_more_bytes
        has_room = n_bytes <= self.max_bytes(n_body_bytes)
        if not has_room or n_bytes > SHORT_SHARE * self.limit_bytes:
            self.relieve(n_bytes - RELIEVED_SHARE * self.limit_bytes, not has_room)
        return has_room

    def add(self, n_bytes):
        """Count more bytes in holds, or fewer if negative."""
        self.n_held_bytes += n_bytes
        if self.n_held_bytes > self._n_peak_bytes:
            self._n_peak_bytes = self.n_held_bytes
        n_released_bytes = self._n_peak_bytes - self.n_held_bytes
        if n_released_bytes > RETURNED_SHARE * self.limit_bytes:
            self._n_peak_bytes = self.n_held_bytes
            self.return_memory()

    def hold(self, caller=None):
        """Return a new hold of this budget; its ``release`` must be called.

        ``caller`` is the CallerMemory of the connection for which the bytes are held.
        """
        return ByteHold(self, caller)


class ByteHold:
    """The bytes of one body or head, as part of a budget."""

    __slots__ = ("budget", "caller", "n_bytes")

    def __init__(self, budget, caller=None):
        self.budget = budget
        self.caller = caller
        self.n_bytes = 0

    def grow_to(self, n_bytes):
        """Hold ``n_bytes`` in total; returns whether the budget allows it.

        The hold stays as it is if the budget does not, or if it is larger already.
        """
        n_more = n_bytes - self.n_bytes
        if n_more <= 0:
            return True
        if not self.budget.has_room(n_more, n_bytes):
            return False
        self.add(n_more)
        return True

    def add(self, n_bytes):
        """Hold more bytes, or fewer if negative, that are in memory in any case."""
        self.budget.add(n_bytes)
        self.n_bytes += n_bytes
        if self.caller is not None:
            self.caller.n_bytes += n_bytes

    def release(self):
        """Give the bytes back to the budget."""
        self.add(-self.n_bytes)
