"""What the system holds for connections: bytes unread, or sent and not yet received."""

import socket
import termios
from contextlib import suppress
from math import inf

from ..tasks.sockets import read_queue_bytes

# Size of the send buffer of a caller's connection, which the system doubles. It grows
# up to several megabytes otherwise, for a caller that reads nothing.
SEND_BUFFER_BYTES = 65_536
# Size up to which the system's buffers of one connection grow if neither the caller nor
# this VM reads.
QUEUED_MAX_BYTES = 3 * SEND_BUFFER_BYTES
# Maximum size of all buffers and what is held, as a share of the memory for callers, up
# to which the buffers are not counted.
UNCOUNTED_SHARE = 1.25
# Interval at which the buffers of all connections are counted.
LOOK_INTERVAL_MS = 250.0
# Requests of ioctl for the unread bytes and the unacknowledged bytes of a socket.
QUEUE_REQUESTS = (termios.FIONREAD, termios.TIOCOUTQ)
# SO_LINGER with a timeout of 0: what is queued is dropped at the close.
RESET_AT_CLOSE = b"\1\0\0\0\0\0\0\0"


class QueuedBytes:
    """Counts the bytes in the system's buffers of the connections of servers.

    Parameters
    ----------
    servers : list of EdgeServer
        The servers.
    limit_bytes : float
        The limit of the memory for callers.
    clock : Clock
        The process's clock.
    """

    __slots__ = ("servers", "limit_bytes", "clock", "_n_bytes", "_looked_at_ms")

    def __init__(self, servers, limit_bytes, clock):
        self.servers = servers
        self.limit_bytes = limit_bytes
        self.clock = clock
        self._n_bytes = 0
        self._looked_at_ms = -inf

    def count(self, n_connections, n_held_bytes):
        """Return the number of bytes when last counted; 0 if they can't matter.

        ``n_connections`` is the number of connections of the servers, and
        ``n_held_bytes`` what else is held for callers.
        """
        n_bytes_max = n_held_bytes + n_connections * QUEUED_MAX_BYTES
        if n_bytes_max <= UNCOUNTED_SHARE * self.limit_bytes:
            return 0
        now_ms = self.clock.now_ms()
        if now_ms - self._looked_at_ms >= LOOK_INTERVAL_MS:
            self._looked_at_ms = now_ms
            self._n_bytes = sum(
                read_queued_bytes(getattr(handler, "socket", None))
                for server in self.servers
                for handler in server.open_handlers
            )
        return self._n_bytes


def read_queued_bytes(sock):
    """Return the bytes that the system holds for a socket; 0 if it can't tell.

    The socket is None once its connection is closed.
    """
    n_bytes = 0
    with suppress(AttributeError, OSError, ValueError):
        for request in QUEUE_REQUESTS:
            n_bytes += read_queue_bytes(sock, request)
    return n_bytes


def limit_send_buffer(listener):
    """Limit the send buffers of the connections that a listener accepts."""
    with suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)


def reset_at_close(sock):
    """Let the close of a socket drop what its caller has not taken."""
    with suppress(AttributeError, OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
