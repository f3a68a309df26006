"""The number of connections that several pools have open together."""

from math import inf

# Share of the maximum number up to which connections are opened for exchanges that
# requests can do without.
OPTIONAL_SHARE = 0.5


class OpenConnections:
    """Counts open connections, and closes idle ones beyond a maximum number.

    Connections that carry an exchange are never closed for this, so that there may be
    more than the maximum.

    Parameters
    ----------
    n_max : float
        Maximum number of open connections, while any is idle.
    """

    __slots__ = ("n_max", "n_open", "_close_by_idle")

    def __init__(self, n_max=inf):
        self.n_max = n_max
        self.n_open = 0
        # Idle connections, the longest idle first, and the function that closes each.
        self._close_by_idle = {}

    def note_opened(self):
        """Count a connection that is being opened; close an idle one for it."""
        self.n_open += 1
        if self.n_open > self.n_max and self._close_by_idle:
            connection = next(iter(self._close_by_idle))
            self._close_by_idle.pop(connection)(connection)

    def has_spare(self):
        """Return whether a connection may be opened for an optional exchange."""
        n_busy = self.n_open - len(self._close_by_idle)
        return n_busy < OPTIONAL_SHARE * self.n_max

    def note_idle(self, connection, close):
        """Note that a connection is idle; ``close(connection)`` would close it."""
        self._close_by_idle[connection] = close

    def note_busy(self, connection):
        """Note that a connection is not idle any more."""
        self._close_by_idle.pop(connection, None)

    def note_closed(self, connection):
        """Count a connection that was closed."""
        self.n_open -= 1
        self._close_by_idle.pop(connection, None)
