"""The byte stream of a connection that this VM opened, which keeps its first error.

The system reports an error of a socket once, to whichever call comes first, and a read
after it finds an ordinary end. Several tasks make calls on a connection: one reads,
another may send the rest of a request, and a timer may look for unread bytes. So all of
them make their calls here, and an end that follows an error is that error.
"""

import socket
from contextlib import suppress

from hornbeamstand_core.records import Record

from .sockets import count_unread_bytes, peek

# The steps at which a stream may get an error.
READ = "read"
SEND = "send"
LOOK = "look"


class StreamError(Record):
    """The first error of a stream: the step that got it, and its text.

    The error itself would keep the frames of its traceback in memory.
    """

    __slots__ = ("step", "reason")

    def __init__(self, step, reason):
        self.step = step
        self.reason = reason


class BrokenStreamError(OSError):
    """The end of a stream that had failed before."""


class Stream:
    """The socket of a connection, and the first error that any call got from it.

    Parameters
    ----------
    sock : socket
        A connected socket, which the stream owns from now on.
    """

    __slots__ = ("error", "_sock")

    def __init__(self, sock):
        self.error = None
        self._sock = sock

    def close(self):
        """Close the socket."""
        self._sock.close()

    def recv(self, n_max_bytes):
        """Return bytes once some have arrived, or none once the other side has ended.

        Raises OSError if the connection failed, also if another call got the error.
        """
        data = self._call(READ, self._sock.recv, n_max_bytes)
        if not data and self.error is not None:
            raise BrokenStreamError(f"{self.error.reason} at step {self.error.step}")
        return data

    def send(self, data):
        """Send some bytes; return their number."""
        return self._call(SEND, self._sock.send, data)

    def sendall(self, data):
        """Send bytes, which may take until the other side has read earlier ones."""
        self._call(SEND, self._sock.sendall, data)

    def peek(self):
        """Return a byte that waits to be read, or none at the end of the connection.

        Raises BlockingIOError if neither is there.
        """
        return self._call(LOOK, peek, self._sock)

    def has_bytes(self):
        """Return whether bytes have arrived and were not read yet."""
        try:
            return bool(self.peek())
        except OSError:
            return False

    def count_unread_bytes(self):
        """Return the number of bytes that have arrived and were not read yet.

        It is infinity if the system can't tell.
        """
        return count_unread_bytes(self._sock)

    def end_sending(self):
        """End the sending side, unless the connection has ended."""
        with suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)

    def fail(self, error):
        """End the connection for all its tasks, because of an error of the sender."""
        self._note_error(SEND, error)
        with suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def _call(self, step, function, argument):
        try:
            return function(argument)
        except BlockingIOError:
            raise
        except OSError as error:
            self._note_error(step, error)
            raise

    def _note_error(self, step, error):
        if self.error is None:
            self.error = StreamError(step, repr(error))
