"""What every HTTP server of a VM shares: sockets, bodies and callers that leave."""

import socket
from math import isfinite

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer
from hornbeamstand_core.messages import NOT_RUN, Refusal

from .context import CALLER_GONE


class CallerHandler(WSGIHandler):
    """Serves one caller's connection."""

    def handle(self):
        """Set the socket up before the first request."""
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.settimeout(self.server.caller_idle_s)
        super().handle()

    def log_request(self):
        """Skip the access log; the decision log tells of each request."""

    def get_environ(self):
        """Give the application the socket, to notice a caller that goes away."""
        environ = super().get_environ()
        environ["hornbeamstand.socket"] = self.socket
        # The request target and header lines as sent: the environment holds the
        # path decoded and joins repeated headers.
        environ["hornbeamstand.target"] = self.path
        environ["hornbeamstand.header_items"] = self.headers.items()
        return environ


class BodyError(Exception):
    """The request's body was too large or did not arrive."""

    def __init__(self, refusal):
        super().__init__(refusal.reason)
        self.refusal = refusal


def read_number(text):
    """Return a header's finite number, or None if it is absent or malformed."""
    try:
        number = float(text) if text is not None else None
    except ValueError:
        return None
    return number if number is not None and isfinite(number) else None


def read_body(environ, body_max_bytes):
    """Return the whole request body; raises BodyError."""
    length = environ.get("CONTENT_LENGTH")
    is_chunked = environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked"
    if not length and not is_chunked:
        return b""
    too_large = BodyError(Refusal("body too large", NOT_RUN, 413, "front"))
    if length and int(length) > body_max_bytes:
        raise too_large
    try:
        body = environ["wsgi.input"].read(body_max_bytes + 1)
    except (OSError, gevent.Timeout) as error:
        raise BodyError(Refusal("body broke off", NOT_RUN, 408, "front")) from error
    if len(body) > body_max_bytes:
        raise too_large
    if length and len(body) < int(length):
        raise BodyError(Refusal("body broke off", NOT_RUN, 400, "front"))
    return body


def watch_caller(sock, mailbox):
    """Post CALLER_GONE when the caller closes; returns the watcher."""
    watcher = gevent.get_hub().loop.io(sock.fileno(), 1)

    def check_connection():
        watcher.stop()
        try:
            data = sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        # Bytes are the caller's next request, sent ahead.
        if not data:
            mailbox.put(CALLER_GONE)

    watcher.start(check_connection)
    return watcher


def start_server(address, app, caller_idle_ms, stack, handler_class=CallerHandler):
    """Listen and serve an application; the stack ends it."""
    host, _, port = address.rpartition(":")
    server = WSGIServer(
        (host, int(port)), app, log=None, error_log=None, handler_class=handler_class
    )
    server.caller_idle_s = caller_idle_ms / 1000.0
    server.start()
    stack.callback(server.stop, timeout=0)
    return server
