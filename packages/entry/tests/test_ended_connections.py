"""A connection that has ended keeps no descriptor open, without a collection."""

import weakref

import gevent
import pytest
from gevent import socket
from hornbeamstand_core.routes import CallerLimits
from hornbeamstand_entry.edge.pipelining import PipelineHandler
from hornbeamstand_entry.edge.servers import close_idle_connections, start_server

from tests.caller_front import read_to_end

LIMITS = CallerLimits(header_max_bytes=2000, header_ms=50.0, idle_ms=50.0)
PATIENCE_S = 5.0
HEAD = b"GET / HTTP/1.1\r\nHost: h\r\n"


pytestmark = pytest.mark.usefixtures("no_collection")


def serve_one(stack, sent, idle_ms=5000.0, end=None):
    """Send bytes on a connection until it ends; return its file's reference."""
    files = []

    class Handler(PipelineHandler):
        def handle(self):
            files.append(weakref.ref(self.rfile))
            super().handle()

    def app(environ, start_response):
        start_response("200 OK", [("Content-Length", "0")])
        return []

    server = start_server(
        "127.0.0.1:0", app, stack, lambda: idle_ms, lambda: LIMITS, None, Handler
    )
    address = ("127.0.0.1", server.server_port)
    with socket.create_connection(address, timeout=PATIENCE_S) as sock:
        sock.sendall(sent)
        gevent.sleep(0.01)
        if end is not None:
            end([server])
        read_to_end(sock)
    (reference,) = files
    return reference


def is_freed(reference):
    """Return whether an object is freed within a few turns of the event loop."""
    for _ in range(100):
        if reference() is None:
            return True
        gevent.sleep(0.001)
    return False


@pytest.mark.parametrize(
    "sent",
    [b"G", HEAD, HEAD + b"A", b"x" * 3000, HEAD + b"A:" + b"x" * 3000, b"x\r\n\r\n"],
)
def test_a_connection_whose_head_was_refused_keeps_nothing(stack, sent):
    """Guards against descriptors of callers that stall within a request line."""
    assert is_freed(serve_one(stack, sent))


def test_an_idle_connection_that_timed_out_keeps_nothing(stack):
    assert is_freed(serve_one(stack, HEAD + b"\r\n", idle_ms=30.0))


def test_an_idle_connection_that_was_ended_keeps_nothing(stack):
    assert is_freed(serve_one(stack, HEAD + b"\r\n", end=close_idle_connections))
