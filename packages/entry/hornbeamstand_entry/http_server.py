"""Shared code of a VM's HTTP servers: sockets, bodies and disconnecting callers."""

import socket
from math import isfinite

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer
from hornbeamstand_core.messages import NOT_RUN, Refusal

from .context import CALLER_GONE


class CallerHandler(WSGIHandler):
    """Serves the requests of one caller's connection."""

    def handle(self):
        """Set the options of the socket, then serve its requests."""
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.settimeout(self.server.caller_idle_s)
        super().handle()

    def log_request(self):
        """Write no access log, because the decision log covers each request."""

    def get_environ(self):
        """Return the WSGI environment, with the socket and the request as it was sent.

        The application uses the socket to detect that the caller disconnects. The path
        and the headers are added because WSGI's own entries hold the path decoded and
        repeated headers joined.
        """
        environ = super().get_environ()
        environ["hornbeamstand.socket"] = self.socket
        environ["hornbeamstand.target"] = self.path
        environ["hornbeamstand.header_items"] = self.headers.items()
        return environ


class BodyError(Exception):
    """The body of a request is too large or incomplete; ``refusal`` says which."""

    def __init__(self, refusal):
        super().__init__(refusal.reason)
        self.refusal = refusal


def read_number(text):
    """Return the number in a header value; None if absent, malformed or not finite."""
    try:
        number = float(text) if text is not None else None
    except ValueError:
        return None
    return number if number is not None and isfinite(number) else None


def read_body(environ, body_max_bytes):
    """Return the whole request body.

    Raises BodyError if the body is larger than ``body_max_bytes``, if it is incomplete
    or if the caller stops sending it.
    """
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
    """Post CALLER_GONE to ``mailbox`` once the caller disconnects.

    A disconnect after further bytes of the caller is not noticed. Returns the watcher,
    which must be stopped and closed.
    """
    # 1 is the READ event of libev.
    watcher = gevent.get_hub().loop.io(sock.fileno(), 1)

    def check_connection():
        watcher.stop()
        try:
            data = sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        # Other bytes belong to the next request, which the caller has pipelined.
        if not data:
            mailbox.put(CALLER_GONE)

    watcher.start(check_connection)
    return watcher


def start_server(address, app, caller_idle_ms, stack, handler_class=CallerHandler):
    """Start a server for a WSGI application; the exit stack stops it.

    ``caller_idle_ms`` is the timeout of each read and write on a caller's connection.
    """
    host, _, port = address.rpartition(":")
    server = WSGIServer(
        (host, int(port)), app, log=None, error_log=None, handler_class=handler_class
    )
    server.caller_idle_s = caller_idle_ms / 1000.0
    server.start()
    stack.callback(server.stop, timeout=0)
    return server
