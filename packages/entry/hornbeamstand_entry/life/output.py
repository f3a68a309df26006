"""Writes to standard output and error without waiting for their reader.

The launcher and other processes may share the open file behind a descriptor, and with
it the flag that says whether writes wait. It is theirs: each of them could set it back.
"""

import os
import select
import stat
from contextlib import suppress

# gevent replaces the class of ``socket`` in the product's own mode by one that waits.
from _socket import MSG_DONTWAIT, socket as SystemSocket  # isort: skip

# Maximum size of a write to a pipe or terminal that is ready: it does not wait for
# room (PIPE_BUF is 4096 on Linux; a terminal is ready from 256 bytes of room on).
READY_WRITE_MAX_BYTES = 256


def make_writer(descriptor):
    """Return a function that writes to a descriptor without waiting.

    It takes bytes and returns the number of those that were written. It raises
    BlockingIOError if there is no room, and OSError if nothing can be written.
    """
    mode = read_mode(descriptor)
    if stat.S_ISSOCK(mode):
        return make_socket_writer(descriptor) or make_ready_writer(descriptor)
    if stat.S_ISFIFO(mode) or stat.S_ISCHR(mode):
        return make_reopened_writer(descriptor) or make_ready_writer(descriptor)
    # Writes to files don't wait for a reader.
    return lambda data: os.write(descriptor, data)


def read_mode(descriptor):
    """Return the type and mode of what a descriptor refers to; 0 if it is closed."""
    try:
        return os.fstat(descriptor).st_mode
    except OSError:
        return 0


def make_socket_writer(descriptor):
    """Return a writer to a socket with a flag on each call, or None without one."""
    try:
        sock = SystemSocket(fileno=os.dup(descriptor))
    except OSError:
        return None
    return lambda data: sock.send(data, MSG_DONTWAIT)


def make_reopened_writer(descriptor):
    """Return a writer to an open file of this process's own, or None without one.

    It stays open as long as the process: its last lines may be written at any time.
    """
    flags = os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY
    try:
        own = os.open(f"/proc/self/fd/{descriptor}", flags)
    except OSError:
        return None
    if not os.path.sameopenfile(own, descriptor):
        # The process sees the files of another one under this path.
        os.close(own)
        return None
    return lambda data: os.write(own, data)


def make_ready_writer(descriptor):
    """Return a writer that asks whether there is room before each write."""
    # Few descriptors need it, and it takes a twentieth of the imports.
    from gevent.monkey import get_original

    # gevent replaces it in the product's own mode by one that waits in the event loop.
    poll = get_original("select", "poll")()
    poll.register(descriptor, select.POLLOUT)

    def write(data):
        if not poll.poll(0):
            raise BlockingIOError
        return os.write(descriptor, data[:READY_WRITE_MAX_BYTES])

    return write


class OutputStream:
    """A text stream that loses what can't be written without waiting."""

    __slots__ = ("_write", "_is_cut")

    encoding = "utf-8"

    def __init__(self, descriptor):
        self._write = make_writer(descriptor)
        self._is_cut = False

    def write(self, text):
        """Write as much of a text as there is room for; return its length."""
        rest = text.encode(self.encoding, "backslashreplace")
        if self._is_cut:
            rest = b"\n" + rest
        with suppress(OSError):
            while rest:
                rest = rest[self._write(rest) :]
        self._is_cut = bool(rest)
        return len(text)

    def flush(self):
        """Do nothing: no text is kept."""
