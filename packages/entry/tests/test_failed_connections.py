"""An allocation that fails for one caller's connection harms no other one."""

import gc
import weakref

import gevent
import pytest
from gevent import socket
from hornbeamstand_core.routes import CallerLimits
from hornbeamstand_entry.edge import pipeline, pipelining, servers
from hornbeamstand_entry.edge.pipelining import AheadHandler, PipelineHandler
from hornbeamstand_entry.edge.servers import (
    EdgeServer,
    close_idle_connections,
    start_server,
)
from hornbeamstand_entry.memory import limited_handler
from hornbeamstand_entry.memory.caller_memory import CallerMemory
from hornbeamstand_entry.tasks.byte_budget import ByteBudget
from hornbeamstand_entry.tasks.failures import handle_loop_failures

from tests.caller_front import read_to_end

PATIENCE_S = 3.0
HANG_S = 0.2
LIMITS = CallerLimits()


def find_no_memory(*args, **kwargs):
    raise MemoryError


def fail_for_greenlets():
    """Return an error handler of the event loop that finds no memory for greenlets."""
    handle_error = gevent.get_hub().handle_error

    def fail(context, *error):
        if isinstance(context, gevent.Greenlet):
            raise MemoryError
        handle_error(context, *error)

    return fail


def get(path):
    return f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode()


class Held:
    """What the failing application refers to."""


class FailingFront:
    """A server whose application fails for the path /fail, and waits for /hang."""

    def __init__(self, stack):
        self.held = []
        self.n_hanging = 0
        self.server = start_server(
            "127.0.0.1:0",
            self.app,
            stack,
            lambda: 5000.0,
            lambda: LIMITS,
            handler_class=PipelineHandler,
        )
        self.server.may_start_early = lambda host, path: True

    def app(self, environ, start_response):
        path = environ["PATH_INFO"]
        if path == "/fail":
            held = Held()
            self.held.append(weakref.ref(held))
            raise ValueError
        if path == "/hang":
            self.n_hanging += 1
            unwatch = environ["hornbeamstand.watch_caller"](gevent.queue.SimpleQueue())
            gevent.sleep(HANG_S)
            unwatch()
            self.n_hanging -= 1
        start_response("200 OK", [("Content-Length", "0")])
        return []

    def connect(self, stack):
        address = ("127.0.0.1", self.server.server_port)
        sock = socket.create_connection(address, timeout=PATIENCE_S)
        stack.callback(sock.close)
        return sock

    def wait_for_the_end(self):
        with gevent.Timeout(PATIENCE_S):
            while self.server.n_connections:
                gevent.sleep(0.001)

    def assert_serves(self, stack):
        with self.connect(stack) as sock:
            sock.sendall(get("/"))
            assert sock.recv(1000).startswith(b"HTTP/1.1 200 ")


@pytest.fixture
def front(stack, monkeypatch):
    ended = []
    monkeypatch.setattr("os._exit", ended.append)
    handle_loop_failures(stack)
    gc.disable()
    yield FailingFront(stack)
    gc.enable()
    assert ended == []


@pytest.mark.parametrize(
    "name",
    ["__init__", "handle", "handle_one_request", "read_request", "get_environ"]
    + ["start_response", "_sendall", "handle_error", "finish_request"],
)
def test_a_connection_without_memory_ends_alone(stack, front, monkeypatch, name):
    """Guards against a process whose event loop gets the error of one connection."""
    with monkeypatch.context() as patch:
        patch.setattr(PipelineHandler, name, find_no_memory)
        patch.setattr(gevent.get_hub(), "handle_error", fail_for_greenlets())
        sock = front.connect(stack)
        sock.sendall(get("/fail"))
        assert b" 200 " not in read_to_end(sock)
    sock.close()
    front.wait_for_the_end()
    assert front.server.budget.n_held_bytes == 0
    front.assert_serves(stack)


@pytest.mark.parametrize(
    "owner, name",
    [(gevent, "getcurrent"), (limited_handler, "CallerMemory"), (ByteBudget, "hold")],
)
def test_a_connection_whose_start_finds_no_memory_takes_no_room(
    stack, front, monkeypatch, owner, name
):
    """Guards against connections that count for good."""
    with monkeypatch.context() as patch:
        patch.setattr(owner, name, find_no_memory)
        sock = front.connect(stack)
        assert read_to_end(sock) == b""
    assert front.server.n_connections == 0
    assert not front.server.budget.callers
    front.assert_serves(stack)


@pytest.mark.parametrize("name", ["full", "do_read", "do_handle", "_hold_back"])
def test_a_server_without_memory_accepts_connections_later(
    stack, front, monkeypatch, name
):
    """Guards against an accept that ends the process, or is the last one."""
    if name == "_hold_back":
        front.server.n_connections_max = 1
    first = front.connect(stack)
    with monkeypatch.context() as patch:
        patch.setattr(EdgeServer, name, find_no_memory)
        front.connect(stack)
        gevent.sleep(0.05)
    front.server.n_connections_max = 100
    first.close()
    front.assert_serves(stack)


@pytest.mark.parametrize(
    "owner, name", [(servers, "end_if_idle"), (CallerMemory, "_end")]
)
def test_an_end_of_a_connection_that_finds_no_memory_is_left_out(
    stack, front, monkeypatch, owner, name
):
    """Guards against a relief of memory that ends the process for want of memory."""
    sock = front.connect(stack)
    sock.sendall(get("/"))
    assert sock.recv(1000)
    with monkeypatch.context() as patch:
        patch.setattr(owner, name, find_no_memory)
        close_idle_connections([front.server])
        (caller,) = front.server.budget.callers
        caller.end_soon()
        gevent.sleep(0.01)
    front.assert_serves(stack)


def test_what_failed_is_free_before_its_error_response(stack, front, monkeypatch):
    """Guards against an error response that a caller takes slowly."""
    kept = []

    def send(handler, error_code):
        kept.append(front.held[0]() is not None)
        handler.close_connection = True

    monkeypatch.setattr(PipelineHandler, "_send_error_response_if_possible", send)
    sock = front.connect(stack)
    sock.sendall(get("/fail"))
    read_to_end(sock)
    assert kept == [False]


def test_an_early_request_that_failed_keeps_nothing_until_its_turn(stack, front):
    """Guards against answers that stay in memory behind a slow request."""
    sock = front.connect(stack)
    sock.sendall(get("/hang") + get("/fail"))
    while not front.held:
        gevent.sleep(0.001)
    gevent.sleep(0.01)
    assert front.n_hanging == 1
    assert front.held[0]() is None
    assert b" 500 " in read_to_end(sock)


@pytest.mark.parametrize(
    "owner, name",
    [
        (pipelining, "spawn_supervised"),
        (AheadHandler, "__init__"),
        (AheadHandler, "read_request"),
        (AheadHandler, "_await_turn"),
    ],
)
def test_a_pipelined_request_without_memory_ends_its_connection(
    stack, front, monkeypatch, owner, name
):
    """Guards against an early request that ends the process, or counts for good."""
    sock = front.connect(stack)
    with monkeypatch.context() as patch:
        patch.setattr(owner, name, find_no_memory)
        sock.sendall(get("/hang") + get("/"))
        assert read_to_end(sock).count(b" 200 ") == 1
    sock.close()
    front.wait_for_the_end()
    assert front.server.n_ahead == 0
    front.assert_serves(stack)


@pytest.mark.parametrize(
    "name, n_before",
    [
        ("spawn_supervised", 0),
        ("spawn_supervised", 1),
        ("has_read_all", 0),
        ("has_read_all", 1),
        ("has_read_all", 2),
    ],
)
def test_a_reader_without_memory_ends_its_connection(
    stack, front, monkeypatch, name, n_before
):
    """Guards against a reader of pipelined requests whose error ends the process."""
    sock = front.connect(stack)
    sock.sendall(get("/hang"))
    while not front.n_hanging:
        gevent.sleep(0.001)
    with monkeypatch.context() as patch:
        patch.setattr(pipeline, name, fail_after(getattr(pipeline, name), n_before))
        sock.sendall(get("/") + get("/"))
        gevent.sleep(0.01)
        sock.sendall(get("/") + get("/"))
        assert read_to_end(sock).count(b" 200 ") >= 1
    sock.close()
    front.wait_for_the_end()
    assert front.server.n_ahead == 0
    front.assert_serves(stack)


def fail_after(call, n_before):
    """Return a function that finds no memory after a number of calls."""
    n_left = [n_before]

    def call_or_fail(*args):
        if not n_left[0]:
            raise MemoryError
        n_left[0] -= 1
        return call(*args)

    return call_or_fail
