"""Requests of one connection that are at work at once and are answered in their order.

The connection's own greenlet serves a request as on any connection. Only if bytes of
the next one arrive meanwhile, a second greenlet reads it and starts it early. Its
answer waits for its turn to be written.
"""

from errno import EPIPE
from functools import partial
from io import BufferedReader
from traceback import clear_frames

from gevent.event import Event

from ..http_server import CallerHandler
from ..memory.answer_body import count_body_bytes
from ..request_limits import error_response
from ..tasks.failures import report_failure, spawn_supervised
from .pipeline import PausableReader, Pipeline
from .servers import EdgeHandler

# Error response that ends the connection without a byte.
NO_RESPONSE = ("", b"")


class TurnLost(BrokenPipeError):
    """Raised in the greenlet of a request whose connection ends before its turn."""


class PipelineHandler(EdgeHandler):
    """Serves one connection of a caller, which may pipeline its requests."""

    pipeline = None

    def __init__(self, sock, address, server, rfile=None):
        self.reader = PausableReader(sock.makefile("rb", buffering=0))
        super().__init__(sock, address, server, BufferedReader(self.reader))

    def handle_one_request(self):
        """Serve one request, and those that were read while it was at work."""
        try:
            return super().handle_one_request()
        except BaseException:
            self._end_pipeline()
            raise

    def finish_request(self, result):
        """Answer the requests that have been read since; see CallerHandler."""
        while result is True and self.pipeline and self.pipeline.has_more():
            request = self.pipeline.take_next()
            if request is not None:
                result = request.answer()
                self.close_connection = request.close_connection
                self.is_last_of_caller = request.is_last_of_caller
                request.release()
        if self.pipeline and self.pipeline.has_failed:
            result, self.close_connection = None, True
        if result is not True:
            self._end_pipeline()
        elif self.pipeline:
            self.pipeline.current = self
        return super().finish_request(result)

    def _end_pipeline(self):
        if self.pipeline:
            self.pipeline.end()
            self.pipeline = None

    def has_buffered_bytes(self):
        """Return whether bytes were read that belong to no request yet."""
        self.reader.is_paused = True
        try:
            return bool(self.rfile.peek(1))
        finally:
            self.reader.is_paused = False

    def has_next_request(self):
        """Return whether a further request has arrived, at least in part."""
        if self.pipeline and self.pipeline.has_more():
            return True
        return super().has_next_request()

    def watch_caller(self, mailbox):
        """Post CALLER_GONE once the caller disconnects; see CallerHandler."""
        if self.pipeline is None:
            read_ahead = partial(AheadHandler.from_connection, self)
            self.pipeline = Pipeline(self, read_ahead)
        return self.pipeline.watch(mailbox)


class AheadHandler(EdgeHandler):
    """Serves one request that was read while an earlier one was at work.

    ``error`` is the response to a request that can't be served, or None. ``greenlet``
    is None unless the request was started early. The event ``turn`` is set when the
    answer may be written, after ``has_turn``, or without that when the connection has
    ended. ``n_answer_bytes`` is the size of the answer that waits for its turn.
    ``connection`` is the PipelineHandler, and ``pipeline`` its Pipeline.
    """

    error = None
    greenlet = None
    has_turn = False
    n_answer_bytes = 0

    @classmethod
    def from_connection(cls, connection, pipeline):
        """Return the handler of the next request on the connection of a handler."""
        self = cls(
            connection.socket,
            connection.client_address,
            connection.server,
            connection.rfile,
        )
        self.connection = connection
        self.memory = connection.memory
        self.head_hold = connection.server.budget.hold(connection.memory)
        self.pipeline = pipeline
        self.turn = Event()
        return self

    def wait_for_request(self):
        """Note when the request begins; return False at the end of the connection."""
        self.begun_at_ms = self.server.clock.now_ms()
        return CallerHandler.wait_for_request(self)

    def read(self):
        """Read the request, and start it if it may start early.

        Returns False at the end of the connection.
        """
        try:
            return self._read_head()
        except OSError:
            return False
        except (ValueError, IndexError) as error:
            # The library raises IndexError for a version without a minor number.
            self.error = error_response(error)
        except Exception as error:
            # A later answer must not take the place of this one.
            report_failure("pipelining", error)
            self.error = NO_RESPONSE
        finally:
            self._stop_header_timer()
        return True

    def _read_head(self):
        line = self.read_requestline()
        if not line:
            return False
        self.read_request(line)
        if self._may_start_early():
            self._prepare()
            self.greenlet = spawn_supervised("pipelined-request", self._run)
            # It has not begun to run; without memory for it, nothing is counted.
            self.server.n_ahead += 1
        return True

    def _may_start_early(self):
        """Return whether the request has no body, and its route is idempotent."""
        if self.request_version != "HTTP/1.1":
            return False
        names = ("Transfer-Encoding", "Expect", "Upgrade")
        if self.content_length or any(name in self.headers for name in names):
            return False
        host = self.headers.get("Host", "")
        return self.server.may_start_early(host, self.path)

    def _prepare(self):
        self.environ = self.get_environ()
        self.application = self.server.application

    def _run(self):
        try:
            if not self.pipeline.has_ended:
                self.handle_one_response()
        except Exception as error:
            report_failure("pipelining", error)
            self.close_connection = True
        finally:
            self.server.n_ahead -= 1
            if self.pipeline.has_ended:
                self.release()

    def run_application(self):
        """Run the application; write its answer when all earlier ones are written."""
        if self.greenlet is None:
            super().run_application()
            return
        try:
            try:
                self.result = self.application(self.environ, self.note_response)
                self.n_answer_bytes = count_body_bytes(self.result)
            except Exception as error:
                # Nothing counts what its frames refer to until the turn has come.
                clear_frames(error.__traceback__)
                raise
            finally:
                self._await_turn()
            self.start_response(*self.noted_response)
            self.process_result()
        finally:
            close = getattr(self.result, "close", None)
            self.result = None
            if close is not None:
                close()

    def note_response(self, status, items, exc_info=None):
        """Note the head of the answer, which is made when its turn has come."""
        self.noted_response = (status, items)

    def _await_turn(self):
        """Wait for the turn; raise TurnLost if the connection ends before it."""
        self.pipeline.continue_reading()
        self.turn.wait()
        if not self.has_turn:
            raise TurnLost(EPIPE, "connection ended before the answer")

    def answer(self):
        """Answer the request; return True, None at the end, or an error response."""
        if self.error is not None:
            return self.error
        if self.greenlet is None:
            self._prepare()
            self.handle_one_response()
        else:
            self.has_turn = True
            self.turn.set()
            self.greenlet.join()
        return None if self.close_connection else True

    def drop(self):
        """Let the greenlet of the request end without an answer."""
        self.turn.set()

    def has_next_request(self):
        """Return whether a further request has arrived, at least in part."""
        return self.connection.has_next_request()

    def watch_caller(self, mailbox):
        """Post CALLER_GONE once the caller disconnects; see CallerHandler."""
        return self.pipeline.watch(mailbox)

    def release(self):
        """Give back what the head takes, and drop what refers back to this handler."""
        self.head_hold.release()
        self._release()
