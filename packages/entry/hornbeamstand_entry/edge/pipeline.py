"""The requests of one connection that were read and are not answered yet."""

from collections import deque
from functools import partial
from io import RawIOBase

import gevent

from ..context import CALLER_GONE
from ..http_server import has_left
from ..tasks.failures import report_failure, spawn_supervised

# Maximum number of requests of a connection that are at work or answered while an
# earlier one is still to be answered.
N_AHEAD_MAX = 7
# Size of the answers of a connection that wait for their turn from which no further
# request is started early.
AHEAD_ANSWERS_MAX_BYTES = 1 << 20
# Event of libev: a descriptor can be read.
READ_EVENT = 1


class PausableReader(RawIOBase):
    """Reads a connection, or nothing while ``is_paused`` is set.

    While it is paused, a BufferedReader around it returns only bytes that it holds
    already, without a system call.
    """

    def __init__(self, raw):
        self.raw = raw
        self.is_paused = False

    def readable(self):
        """Return True."""
        return True

    def readinto(self, buffer):
        """Read into a buffer; return the number of bytes, or None for none now."""
        return None if self.is_paused else self.raw.readinto(buffer)

    def close(self):
        """Close the file of the connection."""
        self.raw.close()
        super().close()


class Pipeline:
    """The requests of one connection that were read and are not answered yet.

    ``current`` is the handler whose answer is due, which is in no list. ``has_ended``
    is set once no further answer may be written, and ``has_failed`` once a request was
    lost, so that the connection has to end.

    Parameters
    ----------
    connection : PipelineHandler
        The handler of the connection.
    make_next : callable
        Returns the AheadHandler of the next request, given this pipeline.
    """

    __slots__ = (
        "current",
        "has_ended",
        "has_failed",
        "_connection",
        "_make_next",
        "_waiting",
        "_unstarted",
        "_reader",
        "_is_last",
        "_has_left",
        "_mailboxes",
        "_watcher",
    )

    def __init__(self, connection, make_next):
        self.current = connection
        self.has_ended = False
        self.has_failed = False
        self._connection = connection
        self._make_next = make_next
        # Requests that were started early, in their order.
        self._waiting = deque()
        # The request behind them, if it may not start before they are answered.
        self._unstarted = None
        # The greenlet that reads requests, while it does.
        self._reader = None
        # Set once nothing may follow the requests that were read.
        self._is_last = False
        # Set once the caller has closed its sending side.
        self._has_left = False
        # Mailboxes of the requests at work.
        self._mailboxes = set()
        self._watcher = gevent.get_hub().loop.io(connection.socket.fileno(), READ_EVENT)

    def has_more(self):
        """Return whether a request was or is being read behind the current one."""
        return bool(self._waiting or self._unstarted or self._reader)

    def take_next(self):
        """Return the next request to answer, or None if none has been read after all.

        Waits for a request that is being read.
        """
        if not self._waiting and self._reader is not None:
            self._reader.join()
        if self._waiting:
            self.current = self._waiting.popleft()
            self.continue_reading()
        elif self._unstarted is not None:
            self.current, self._unstarted = self._unstarted, None
        else:
            return None
        return self.current

    def end(self):
        """End the requests that have not been answered, without an answer."""
        self.has_ended = True
        self._watcher.stop()
        self._watcher.close()
        if self._reader is not None:
            self._reader.kill()
        self._post_gone()
        for request in self._waiting:
            request.drop()
        self._waiting.clear()
        if self._unstarted is not None:
            self._unstarted.release()
            self._unstarted = None

    def _post_gone(self):
        for mailbox in self._mailboxes:
            mailbox.put(CALLER_GONE)

    # What the caller does while requests are at work.

    def watch(self, mailbox):
        """Post CALLER_GONE to a mailbox once the caller disconnects.

        Returns a function that ends this.
        """
        self._mailboxes.add(mailbox)
        if self.has_ended or self._has_left:
            mailbox.put(CALLER_GONE)
        else:
            self.continue_reading()
        return partial(self._unwatch, mailbox)

    def _unwatch(self, mailbox):
        self._mailboxes.discard(mailbox)
        if not self._mailboxes and not self.has_ended:
            self._watcher.stop()

    def continue_reading(self):
        """Read the next request if it has arrived and may be read, or wait for it."""
        if self.has_ended or self._has_left:
            return
        if self._reader is not None or not self._mailboxes:
            return
        try:
            self._read_or_wait()
        except MemoryError as error:
            self._note_failure(error)

    def _read_or_wait(self):
        if self._may_read() and self._connection.has_buffered_bytes():
            self._start_reading()
        else:
            self._watcher.start(self._handle_readable)

    def _handle_readable(self):
        """Handle the arrival of bytes or of the end; runs in the event loop."""
        self._watcher.stop()
        try:
            if has_left(self._connection.socket):
                self._note_left()
            elif self._may_read():
                self._start_reading()
        except MemoryError as error:
            self._note_failure(error)

    def _note_left(self):
        """Tell the requests at work, once, that the caller sends nothing more."""
        self._has_left = self._is_last = True
        self._post_gone()

    def _may_read(self):
        server = self._connection.server
        return (
            not self._is_last
            and self._unstarted is None
            and len(self._waiting) < N_AHEAD_MAX
            and server.has_room()
            and has_read_all(self.current)
            and sum(request.n_answer_bytes for request in self._waiting)
            < AHEAD_ANSWERS_MAX_BYTES
        )

    def _start_reading(self):
        self._watcher.stop()
        self._reader = spawn_supervised("pipelining", self._read)

    def _read(self):
        """Read the requests that have arrived; start those that may start early."""
        try:
            self._read_one()
            while self._may_read() and self._connection.has_buffered_bytes():
                self._read_one()
        except Exception as error:
            self._note_failure(error)
        finally:
            self._reader = None
        self.continue_reading()

    def _note_failure(self, error):
        """Let the connection end after the answers to what was read."""
        self.has_failed = self._is_last = True
        report_failure("pipelining", error)

    def _read_one(self):
        request = self._make_next(self)
        try:
            has_arrived = request.read()
        except BaseException:
            # Also if this greenlet is killed at the end of the connection.
            request.release()
            raise
        if not has_arrived:
            request.release()
            self._note_left()
            return
        self._is_last = request.close_connection
        if request.greenlet is None:
            self._unstarted = request
        else:
            self._waiting.append(request)


def has_read_all(handler):
    """Return whether the next request may be read behind that of a handler.

    The handler must have read its own to the end and must not end the connection.
    """
    if handler.close_connection or handler.request_version != "HTTP/1.1":
        return False
    body = handler.wsgi_input
    if body is None or body.chunked_input:
        return False
    return body.position >= (body.content_length or 0)
