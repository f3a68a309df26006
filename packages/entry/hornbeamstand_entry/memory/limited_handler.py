"""Counts what the connection of one caller takes in memory, and sends what it can."""

from contextlib import closing

from ..http_server import CallerHandler
from ..request_limits import HeadWithoutMemory
from .caller_memory import CallerMemory, make_stalled_error
from .costs import request_cost_bytes
from .queued_bytes import reset_at_close

# Maximum number of bytes that are sent without a look at how many the caller takes.
SHORT_PART_MAX_BYTES = 16_384


class LimitedHandler(CallerHandler):
    """Serves one connection within the ``budget`` of its server.

    ``memory`` is its CallerMemory, or None before it begins, and ``head_hold`` holds
    what the head of the current request takes.
    """

    memory = None

    def handle(self):
        """Serve the connection, and give back what is held for it at its end."""
        self.memory = CallerMemory(self.server.budget, self.server.clock)
        with closing(self.memory):
            self.head_hold = self.server.budget.hold(self.memory)
            try:
                super().handle()
            finally:
                self.head_hold.release()

    def handle_one_request(self):
        """Serve one request, and drop what is left of it in memory."""
        try:
            return super().handle_one_request()
        finally:
            self.head_hold.release()
            self.environ = self.headers = self.head_lines = None
            self.requestline = self.whole_requestline = self.path = ""

    def read_request(self, raw_requestline):
        """Read the headers, and hold what they take in memory."""
        is_read = super().read_request(raw_requestline)
        n_head_bytes = len(self.whole_requestline) + self.head_lines.n_read_bytes
        n_lines = len(self.headers.items())
        if not self.head_hold.grow_to(request_cost_bytes(n_lines, n_head_bytes)):
            raise HeadWithoutMemory("no memory for the headers")
        return is_read

    def _make_stalled_error(self):
        """Return the error that ends the sending, and drop what is unsent with it."""
        self.is_last_of_caller = True
        reset_at_close(self.socket)
        return make_stalled_error()

    def _sendall(self, data):
        """Send data while the caller counts as awaited; a head may be kept back."""
        if self.unsent_head is not None:
            super()._sendall(data)
            return
        self.memory.begin_wait(self._make_stalled_error)
        try:
            if len(data) <= SHORT_PART_MAX_BYTES:
                super()._sendall(data)
            else:
                self._send_parts(data)
        finally:
            self.memory.end_wait()

    def _send_parts(self, data):
        """Send data, and note each part that the system takes."""
        with memoryview(data) as view:
            n_sent_bytes = 0
            while n_sent_bytes < len(view):
                n_bytes = self.socket.send(view[n_sent_bytes:])
                self.memory.note_moved(n_bytes)
                self.response_length += n_bytes
                n_sent_bytes += n_bytes

    def get_environ(self):
        """Return the WSGI environment, with the CallerMemory of the connection."""
        environ = super().get_environ()
        environ["hornbeamstand.memory"] = self.memory
        return environ
