"""Limits of what a caller may send: size, duration and framing of a request.

The errors of this module end a connection with the response in ``error_response``.
"""

import re
import socket
from contextlib import suppress

import gevent

from .memory.costs import HEAD_FREE_BYTES
from .responses import status_line
from .tasks.sockets import has_bytes

# Maximum number of bytes that are read and dropped after the last response on a
# connection, and the maximum time for that.
DISCARD_MAX_BYTES = 1 << 20
DISCARD_MAX_MS = 500.0
DISCARD_READ_BYTES = 16_384
# Maximum number of turns of the event loop in which bytes that have arrived by a
# timeout are read.
N_LOOKS_MAX = 3
LINE_END = b"\r\n"
# The empty line behind the headers, with the end of the line before it.
EMPTY_LINE = re.compile(rb"(?:\A|\n)\r*\n")
# Maximum number of bytes of a header line that are read at a time.
PART_MAX_BYTES = 8192
MS_PER_S = 1000.0


class RequestError(ValueError):
    """A request that can't be served; ``status`` is that of the response."""

    status = 400


class HeaderTooLarge(RequestError):
    """The request line and headers have more bytes than allowed."""

    status = 431


class RequestLineTooLong(RequestError):
    """The request line alone has more bytes than it may have with the headers."""

    status = 414


class HeaderTimeout(RequestError):
    """The request line and headers did not arrive in time."""

    status = 408


class ArrivalTimeout:
    """Raises an error in the current greenlet, which reads what a caller sends.

    Bytes that have arrived by then are read first: a process that did not run for a
    while may handle its timers before its sockets.

    Parameters
    ----------
    sock : socket
        The caller's connection.
    timeout_ms : float
        Time until the error.
    error : Exception
        What is raised.
    """

    __slots__ = ("_sock", "_error", "_greenlet", "_timer", "_n_looks")

    def __init__(self, sock, timeout_ms, error):
        self._sock = sock
        self._error = error
        self._greenlet = gevent.getcurrent()
        self._n_looks = 0
        self._start(timeout_ms)

    def _start(self, timeout_ms):
        timeout_s = max(0.0, timeout_ms) / MS_PER_S
        self._timer = gevent.get_hub().loop.timer(timeout_s)
        self._timer.start(self._expire)

    def _expire(self):
        self.close()
        if self._n_looks < N_LOOKS_MAX and has_bytes(self._sock):
            self._n_looks += 1
            self._start(0.0)
            return
        self._greenlet.throw(self._error)

    def close(self):
        """Stop the timer."""
        self._timer.stop()
        self._timer.close()


def limit_header_time(sock, timeout_ms):
    """Return an ArrivalTimeout for headers.

    The caller of this function doesn't refer to the error: with its frame in the
    traceback, the error would keep itself and the connection's descriptor.
    """
    error = HeaderTimeout("headers did not arrive in time")
    return ArrivalTimeout(sock, timeout_ms, error)


class HeadWithoutMemory(RequestError):
    """The request line and headers find no memory on this VM."""

    status = 503


class LimitedLines:
    """Reads a request line and the headers, up to a number of bytes in total.

    The end of the request line doesn't count. The headers may have ``extra_bytes``
    more; ``is_beyond_limit`` is whether they needed any of them. ``n_read_bytes`` is
    their size once they are read.

    Parameters
    ----------
    file : file
        The input of the connection.
    max_bytes, extra_bytes : int
        The limits.
    hold : ByteHold, optional
        Holds the memory of headers that are longer than HEAD_FREE_BYTES.
    """

    __slots__ = (
        "file",
        "n_left_bytes",
        "extra_bytes",
        "n_read_bytes",
        "_hold",
        "_n_held_bytes",
    )

    def __init__(self, file, max_bytes, extra_bytes=0, hold=None):
        self.file = file
        self.n_left_bytes = max_bytes
        self.extra_bytes = extra_bytes
        self.n_read_bytes = 0
        self._hold = hold
        # Size up to which the memory of the headers counts already.
        self._n_held_bytes = HEAD_FREE_BYTES

    @property
    def is_beyond_limit(self):
        """Whether the headers that were read are larger than the limit."""
        return self.n_left_bytes < 0

    def read_request_line(self):
        """Return the request line, or no bytes at the end of the connection.

        Raises RequestLineTooLong beyond the limit.
        """
        line = self.file.readline(self.n_left_bytes + len(LINE_END) + 1)
        self.n_left_bytes -= len(line.rstrip(LINE_END))
        if self.n_left_bytes < 0:
            raise RequestLineTooLong("request line is larger than the limit")
        return line

    def read_headers(self):
        """Return the bytes of all headers, up to the empty line.

        Raises HeaderTooLarge beyond the limit, and RequestError if the connection ends
        within the headers: those that are missing may state that the request has a
        body.
        """
        raw = bytearray()
        n_max_bytes = self.n_left_bytes + self.extra_bytes
        while not self._read_part(raw, n_max_bytes):
            if len(raw) > self._n_held_bytes:
                self._hold_more(len(raw))
        self.n_left_bytes -= len(raw)
        self.n_read_bytes = len(raw)
        return bytes(raw)

    def _read_part(self, raw, n_max_bytes):
        """Read what has arrived, up to the empty line; return whether that is read.

        All lines that are there are read at once: thousands of short ones would take
        the processor for milliseconds otherwise.
        """
        n_before = len(raw)
        n_wanted_bytes = min(PART_MAX_BYTES, n_max_bytes - n_before + 1)
        # What is left of a line that may be the empty one, with the end of that before.
        n_kept = n_before - len(raw.rstrip(b"\r"))
        n_begun = n_before - n_kept - raw.endswith(b"\n", 0, n_before - n_kept)
        raw += self.file.peek(1)[:n_wanted_bytes]
        if len(raw) == n_before:
            raise RequestError("headers broke off")
        empty_line = EMPTY_LINE.search(raw, n_begun)
        if empty_line is not None:
            del raw[empty_line.end() :]
        self.file.read(len(raw) - n_before)
        if len(raw) > n_max_bytes:
            raise HeaderTooLarge("headers are larger than the limit")
        return empty_line is not None

    def _hold_more(self, n_bytes):
        """Hold the memory of headers of this size, and of the next part."""
        if self._hold is not None and not self._hold.grow_to(n_bytes):
            raise HeadWithoutMemory("no memory for the headers")
        self._n_held_bytes = n_bytes + PART_MAX_BYTES


class RefusedBody:
    """Takes the place of the input of a request whose body is not read."""

    __slots__ = ()

    def _discard(self):
        """Read nothing after the response: ``discard_rest`` does that."""


def discard_rest(sock):
    """End the sending side, then drop what still arrives until the caller closes.

    Bytes that are unread at the close, or arrive after it, would reset the connection,
    and the caller could lose the last response. The time and the bytes are bounded.
    """
    n_left_bytes = DISCARD_MAX_BYTES
    with suppress(OSError), gevent.Timeout(DISCARD_MAX_MS / MS_PER_S, False):
        sock.shutdown(socket.SHUT_WR)
        while n_left_bytes > 0:
            data = sock.recv(DISCARD_READ_BYTES)
            if not data:
                return
            n_left_bytes -= len(data)


def check_headers(headers):
    """Raise RequestError for headers that servers may read in different ways.

    A request whose length is read differently here and at a target could carry a second
    one in its body.
    """
    if headers.is_malformed:
        raise RequestError("a header line is malformed")
    if headers.is_folded:
        raise RequestError("a header line is folded")
    lengths = headers.get_all("Content-Length")
    if len(lengths) > 1 or not all(text.isdecimal() for text in lengths):
        raise RequestError("Content-Length is not one number")
    encodings = headers.get_all("Transfer-Encoding")
    if encodings and [text.lower() for text in encodings] != ["chunked"]:
        raise RequestError("Transfer-Encoding is not chunked")


def error_response(error):
    """Return the status and the bytes of the response to a request with an error."""
    status = error.status if isinstance(error, RequestError) else 400
    line = status_line(status)
    head = f"HTTP/1.1 {line}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    return line, head.encode()
