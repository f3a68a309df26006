"""Shared code of a VM's HTTP servers: sockets, bodies and disconnecting callers."""

import socket
from contextlib import closing, contextmanager, nullcontext
from traceback import clear_frames

import gevent
from gevent.pywsgi import WSGIHandler
from hornbeamstand_core.messages import NOT_RUN, Refusal

from .context import CALLER_GONE
from .memory.body_input import BodyInput
from .request_headers import RequestHeaders
from .request_limits import (
    ArrivalTimeout,
    HeaderTooLarge,
    LimitedLines,
    RefusedBody,
    RequestError,
    check_headers,
    discard_rest,
    error_response,
    limit_header_time,
)
from .tasks.failures import report_failure
from .tasks.sockets import peek

# Maximum size of the body of a refused request whose connection stays open.
DROPPED_BODY_MAX_BYTES = 16_384
# Maximum size of the first part of a body that is sent together with the head.
JOINED_BODY_MAX_BYTES = 16_384
# Time after which a caller may retry a request whose body finds no memory.
NO_MEMORY_RETRY_MS = 200.0
# Header of the last response on a connection.
CLOSE = ("Connection", "close")


class CallerHandler(WSGIHandler):
    """Serves the requests of one caller's connection.

    ``header_timer`` limits the time from the first byte of a request to the end of its
    headers, and ``head_lines`` their size. The limits of the libraries, which are lower
    and fixed, don't apply. ``whole_requestline`` is the line as it was sent.
    ``is_last_of_caller`` is whether the caller sends nothing after the request.
    ``unsent_head`` is what is sent together with the first part of the body, or None.
    ``forwarded_extra_bytes`` is the size of the headers beyond their limit that
    ``is_forwarded`` allows. ``head_hold`` holds the memory of the headers, if it is
    limited.
    """

    forwarded_extra_bytes = 0

    header_timer = None
    head_hold = None
    head_lines = None
    whole_requestline = ""
    is_last_of_caller = False
    unsent_head = None

    def handle(self):
        """Set the options of the socket, then serve its requests."""
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.settimeout(self.server.caller_idle_s)
        super().handle()

    def handle_one_request(self):
        """Serve one request, whose headers must arrive within their limits."""
        try:
            result = super().handle_one_request()
        except RequestError as error:
            result = error_response(error)
        finally:
            self._stop_header_timer()
        return self.finish_request(result)

    def finish_request(self, result):
        """End the connection after its last request; return what the library expects.

        ``result`` is True if further requests may follow, and otherwise None or the
        status and bytes of an error response, which is sent.
        """
        if isinstance(result, tuple):
            self.socket.sendall(result[1])
            self.close_connection = True
            result = None
        if self.close_connection and not self.is_last_of_caller:
            discard_rest(self.socket)
        return result

    def wait_for_request(self):
        """Wait for the first byte of the next request; return False at the end."""
        return bool(self.rfile.peek(1))

    def read_requestline(self):
        """Read the request line; return its first character, or "" if there is none.

        The library refuses a line that is longer than a limit of its own. It gets the
        whole line in ``read_request``, where it has no such limit.
        """
        if not self.wait_for_request():
            return ""
        limits = self.server.limits()
        self.header_timer = limit_header_time(self.socket, limits.header_ms)
        self.head_lines = LimitedLines(
            self.rfile,
            limits.header_max_bytes,
            self.forwarded_extra_bytes,
            self.head_hold,
        )
        line = self.head_lines.read_request_line()
        self.whole_requestline = line.decode("latin-1")
        return self.whole_requestline[:1]

    def read_request(self, raw_requestline):
        """Read the headers; raises RequestError if they are invalid."""
        self.is_last_of_caller = False
        is_read = super().read_request(self.whole_requestline)
        self.is_last_of_caller = self.close_connection
        self._stop_header_timer()
        check_headers(self.headers)
        if self.head_lines.is_beyond_limit and not self.is_forwarded():
            raise HeaderTooLarge("headers are larger than the limit")
        return is_read

    def is_forwarded(self):
        """Return whether another VM forwarded the request, whose headers are read."""
        return False

    def MessageClass(self, file, seekable):
        """Return the headers of the request, within their size limit."""
        text = self.head_lines.read_headers().decode("latin-1")
        return RequestHeaders.from_text(text)

    def handle_error(self, error_type, error, traceback):
        """Log an error, and send an error response if no byte of another was sent.

        The library checks only whether the whole head was sent, and keeps the traceback
        until the response is.
        """
        if not isinstance(error, OSError):
            report_failure("http-server", error)
        self._log_error(error_type, error, traceback)
        clear_frames(traceback)
        if self.headers_sent:
            self.close_connection = True
        else:
            self._send_error_response_if_possible(500)

    def _handle_client_error(self, ex):
        return error_response(ex)

    def _stop_header_timer(self):
        if self.header_timer is not None:
            self.header_timer.close()
            self.header_timer = None

    def watch_caller(self, mailbox):
        """Post CALLER_GONE to a mailbox once the caller disconnects.

        Returns a function that ends this.
        """
        watcher = watch_caller(self.socket, mailbox)

        def unwatch():
            watcher.stop()
            watcher.close()

        return unwatch

    def refuse_body(self):
        """End the connection after the response, without reading the whole body."""
        self.wsgi_input = RefusedBody()
        self.is_last_of_caller = False
        self.close_connection = True

    def start_response(self, status, items, exc_info=None):
        """Start the response; after a body that is not read it ends the connection."""
        names = {name.lower() for name, _ in items}
        if isinstance(self.wsgi_input, RefusedBody) and "connection" not in names:
            items = [*items, CLOSE]
        return super().start_response(status, items, exc_info)

    def write(self, data):
        """Write a part of the body; the response to a HEAD request has none."""
        return super().write(b"" if self.command == "HEAD" else data)

    def _write_with_headers(self, data):
        """Send the head and a short first part of the body in one call."""
        if len(data) > JOINED_BODY_MAX_BYTES:
            super()._write_with_headers(data)
            return
        self.unsent_head = bytearray()
        try:
            super()._write_with_headers(data)
            raw = self.unsent_head
        finally:
            self.unsent_head = None
        self._sendall(raw)

    def _sendall(self, data):
        if self.unsent_head is None:
            super()._sendall(data)
        else:
            self.unsent_head += data

    def log_request(self):
        """Write no access log, because the decision log covers each request."""

    def get_environ(self):
        """Return the WSGI environment, with the socket and the request as it was sent.

        The application uses the socket to detect that the caller disconnects. The path
        and the headers are added because WSGI's own entries hold the path decoded and
        repeated headers joined.
        """
        environ = super().get_environ()
        self.wsgi_input = BodyInput.from_input(self.wsgi_input)
        environ["wsgi.input"] = self.wsgi_input
        environ["hornbeamstand.socket"] = self.socket
        environ["hornbeamstand.watch_caller"] = self.watch_caller
        environ["hornbeamstand.refuse_body"] = self.refuse_body
        environ["hornbeamstand.target"] = self.path
        environ["hornbeamstand.header_items"] = self.headers.items()
        return environ


class BodyError(Exception):
    """The body of a request is too large or incomplete; ``refusal`` says which."""

    def __init__(self, refusal):
        super().__init__(refusal.reason)
        self.refusal = refusal


def left_ms(environ, deadline_ms, waited_ms):
    """Return what is left of a deadline that counts from the first byte of the head.

    ``waited_ms`` is the time for which the last bytes waited unread, which the caller
    of this function counts itself.
    """
    return deadline_ms - max(0.0, environ["hornbeamstand.head_ms"] - waited_ms)


def has_short_body(environ):
    """Return whether a request has no body, or one that can be read and dropped."""
    if "HTTP_TRANSFER_ENCODING" in environ:
        return False
    return int(environ.get("CONTENT_LENGTH") or 0) <= DROPPED_BODY_MAX_BYTES


def read_body(environ, body_max_bytes, hold, timeout_ms=None):
    """Return the whole request body.

    Raises BodyError if the body is larger than ``body_max_bytes``, if it finds no
    memory, if it is incomplete or if the caller stops sending it. The rest of the body
    is then not read, and the connection ends after the response.

    Parameters
    ----------
    environ : dict
        The WSGI environment of a CallerHandler.
    body_max_bytes : int
        Maximum size of the body.
    hold : ByteHold
        Holds the memory of the body; the caller of this function releases it.
    timeout_ms : float, optional
        Maximum time until the body is complete. Without it, only the time between two
        reads is limited.
    """
    length = environ.get("CONTENT_LENGTH")
    is_chunked = environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked"
    if not length and not is_chunked:
        return b""
    try:
        n_expected_bytes = int(length) if length else 0
        if n_expected_bytes > body_max_bytes:
            raise too_large()
        with limit_arrival(environ["hornbeamstand.socket"], timeout_ms):
            with awaited_caller(hold.caller):
                body = read_pieces(environ["wsgi.input"], body_max_bytes, hold)
        if len(body) < n_expected_bytes:
            raise BodyError(Refusal("body broke off", NOT_RUN, 400, "front"))
        return body
    except BodyError:
        environ["hornbeamstand.refuse_body"]()
        raise
    except OSError as error:
        environ["hornbeamstand.refuse_body"]()
        raise BodyError(Refusal("body broke off", NOT_RUN, 408, "front")) from error
    except MemoryError as error:
        environ["hornbeamstand.refuse_body"]()
        # The frames of its traceback hold what was read.
        report_failure("http-server", error.with_traceback(None))
        raise no_memory() from error


def limit_arrival(sock, timeout_ms):
    """Return a context that limits the time until a body is complete, if any."""
    if timeout_ms is None:
        return nullcontext()
    error = TimeoutError("body did not arrive in time")
    return closing(ArrivalTimeout(sock, timeout_ms, error))


@contextmanager
def awaited_caller(caller):
    """Note that the VM waits for a caller, which may be ended for its memory.

    ``caller`` is its CallerMemory, or None.
    """
    if caller is None:
        yield
        return
    caller.begin_wait(no_memory)
    try:
        yield
    finally:
        caller.end_wait()


def read_pieces(file, body_max_bytes, hold):
    """Return all that a file has, as bytes or bytearray.

    Raises BodyError as soon as it is too large, finds no memory, or its caller is
    stalled while memory is short.
    """
    body = b""
    while True:
        # What is read next is in memory while it arrives.
        if not hold.grow_to(len(body) + file.n_next_bytes):
            raise no_memory()
        piece = file.read()
        if not piece:
            return body
        if hold.caller is not None:
            hold.caller.note_moved(len(piece))
        if body:
            # Only a body of several pieces is worth a buffer that grows.
            body = body if isinstance(body, bytearray) else bytearray(body)
            body += piece
        else:
            body = piece
        if len(body) > body_max_bytes:
            raise too_large()
        # Otherwise it would stay in memory until the next one has arrived.
        del piece


def too_large():
    """Return the BodyError of a body that is larger than allowed."""
    return BodyError(Refusal("body too large", NOT_RUN, 413, "front"))


def no_memory():
    """Return the BodyError of a body that finds no memory on this VM."""
    refusal = Refusal(
        "no memory for the body", NOT_RUN, 503, "front", "", NO_MEMORY_RETRY_MS
    )
    return BodyError(refusal)


def has_left(sock):
    """Return whether a caller has closed its connection after its request."""
    try:
        return not peek(sock)
    except BlockingIOError:
        return False
    except OSError:
        return True


def watch_caller(sock, mailbox):
    """Post CALLER_GONE to ``mailbox`` once the caller disconnects.

    A disconnect after further bytes of the caller is not noticed. Returns the watcher,
    which must be stopped and closed.
    """
    # 1 is the READ event of libev.
    watcher = gevent.get_hub().loop.io(sock.fileno(), 1)

    def check_connection():
        watcher.stop()
        # Other bytes belong to the next request, which the caller has pipelined.
        if has_left(sock):
            mailbox.put(CALLER_GONE)

    watcher.start(check_connection)
    return watcher
