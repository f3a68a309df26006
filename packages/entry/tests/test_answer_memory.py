"""What is sent to a caller is freed without a collection once it counts no more."""

import weakref

import gevent
import pytest
from gevent import socket
from hornbeamstand_core.routes import CallerLimits
from hornbeamstand_entry.edge.pipelining import PipelineHandler
from hornbeamstand_entry.edge.servers import start_server
from hornbeamstand_entry.memory.answer_body import AnswerBody
from hornbeamstand_entry.memory.queued_bytes import limit_send_buffer
from hornbeamstand_entry.tasks.byte_budget import ByteBudget

N_PIECES = 4
PIECE_BYTES = 1 << 21
HANG_S = 0.3
PATIENCE_S = 5.0


pytestmark = pytest.mark.usefixtures("no_collection")


class Piece(bytearray):
    """A part of an answer that can be referred to weakly."""


class LargeFront:
    """A server with large answers, which are smaller for the path /hang, and late."""

    def __init__(self, stack):
        self.budget = ByteBudget()
        self.pieces = []
        self.server = start_server(
            "127.0.0.1:0",
            self.app,
            stack,
            lambda: 5000.0,
            CallerLimits,
            handler_class=PipelineHandler,
        )
        limit_send_buffer(self.server.socket)
        self.server.budget = self.budget
        self.server.may_start_early = lambda host, path: True

    def app(self, environ, start_response):
        if environ["PATH_INFO"] == "/hang":
            unwatch = environ["hornbeamstand.watch_caller"](gevent.queue.SimpleQueue())
            gevent.sleep(HANG_S)
            unwatch()
            start_response("200 OK", [("Content-Length", "0")])
            return []
        pieces = [Piece(PIECE_BYTES) for _ in range(N_PIECES)]
        self.pieces += map(weakref.ref, pieces)
        start_response("200 OK", [("Content-Length", str(N_PIECES * PIECE_BYTES))])
        hold = self.budget.hold(environ["hornbeamstand.memory"])
        return AnswerBody(pieces, hold)

    @property
    def n_left_bytes(self):
        return PIECE_BYTES * sum(piece() is not None for piece in self.pieces)

    def request(self, stack, *paths):
        address = ("127.0.0.1", self.server.server_port)
        sock = socket.create_connection(address, timeout=PATIENCE_S)
        stack.callback(sock.close)
        sock.sendall(b"".join(b"GET %b HTTP/1.1\r\nHost: h\r\n\r\n" % p for p in paths))
        self.wait_for(lambda: self.pieces)
        gevent.sleep(0.01)
        return sock

    def wait_for(self, is_met):
        error = AssertionError("condition not met in time")
        with gevent.Timeout(PATIENCE_S, error):
            while not is_met():
                gevent.sleep(0.001)

    def assert_nothing_is_left(self):
        self.wait_for(lambda: self.budget.n_held_bytes < PIECE_BYTES)
        self.wait_for(lambda: self.n_left_bytes == 0)


@pytest.fixture
def front(stack):
    return LargeFront(stack)


def receive(sock, n_bytes):
    while n_bytes > 0:
        n_bytes -= len(sock.recv(min(n_bytes, 65_536)))


def test_what_counts_of_an_answer_is_what_is_in_memory(stack, front):
    sock = front.request(stack, b"/")
    assert front.n_left_bytes == N_PIECES * PIECE_BYTES
    receive(sock, 2 * PIECE_BYTES)
    gevent.sleep(0.01)
    assert 0 < front.n_left_bytes <= front.budget.n_held_bytes


def test_an_answer_whose_caller_leaves_keeps_nothing(stack, front):
    sock = front.request(stack, b"/")
    receive(sock, PIECE_BYTES)
    sock.close()
    front.assert_nothing_is_left()


def test_an_answer_that_is_ended_for_its_memory_keeps_nothing(stack, front):
    front.request(stack, b"/")
    (caller,) = front.budget.callers
    caller.end_soon()
    front.assert_nothing_is_left()


def test_an_idle_connection_does_not_keep_its_last_answer(stack, front):
    sock = front.request(stack, b"/")
    receive(sock, N_PIECES * PIECE_BYTES)
    front.assert_nothing_is_left()
    assert front.server.n_connections == 1


def test_an_early_answer_counts_until_its_caller_leaves(stack, front):
    sock = front.request(stack, b"/hang", b"/")
    assert front.n_left_bytes == N_PIECES * PIECE_BYTES
    assert front.budget.n_held_bytes >= front.n_left_bytes
    sock.close()
    front.assert_nothing_is_left()


def test_an_early_answer_that_was_sent_keeps_nothing(stack, front):
    sock = front.request(stack, b"/hang", b"/", b"/")
    receive(sock, 2 * N_PIECES * PIECE_BYTES)
    front.assert_nothing_is_left()
    assert front.server.n_ahead == 0
