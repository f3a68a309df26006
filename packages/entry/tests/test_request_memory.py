"""What was read of a request is freed without a collection once it counts no more."""

import builtins
import weakref

import gevent
import pytest
from hornbeamstand_core.messages import Account
from hornbeamstand_entry import http_server
from hornbeamstand_entry.memory.body_input import CHUNK_READ_MAX_BYTES
from hornbeamstand_entry.performers import drive

from tests.caller_front import Front, connect, read_to_end

N_SENT_BYTES = 100_000
HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\n"
LENGTH = f"Content-Length: {N_SENT_BYTES + 2}\r\n\r\n".encode()
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = f"{N_SENT_BYTES:x}\r\n".encode()
PATIENCE_S = 5.0


pytestmark = pytest.mark.usefixtures("no_collection")


@pytest.fixture
def buffers(monkeypatch):
    """The references of the buffers of all bodies of several pieces."""
    references = []

    class Buffer(bytearray):
        def __init__(self, *args):
            super().__init__(*args)
            references.append(weakref.ref(self))

    monkeypatch.setattr(http_server, "bytearray", Buffer, raising=False)
    return references


def wait_for(is_met):
    error = AssertionError("condition not met in time")
    with gevent.Timeout(PATIENCE_S, error):
        while not is_met():
            gevent.sleep(0.001)


def find_body(buffers):
    """Return the buffer of the body, or None once it is freed."""
    bodies = [buffer for reference in buffers if (buffer := reference()) is not None]
    return max(bodies, key=len, default=None)


def begin_body(stack, front, buffers, head):
    """Return the connection of a caller that has sent a body but for its end."""
    sock = connect(stack, front)
    sock.sendall(HEAD + head + bytes(N_SENT_BYTES))
    # The last part of a chunk is returned with the size of the next one.
    n_bytes = N_SENT_BYTES - CHUNK_READ_MAX_BYTES
    wait_for(lambda: len(find_body(buffers) or b"") >= n_bytes)
    gevent.sleep(0.01)
    return sock


def assert_is_freed(front, buffers):
    """Check that nothing of a body is left as soon as it doesn't count any more."""
    wait_for(lambda: front.budget.n_held_bytes == 0)
    wait_for(lambda: find_body(buffers) is None)


@pytest.mark.parametrize("head", [LENGTH, CHUNKED + CHUNK])
def test_a_body_that_stops_short_keeps_nothing(stack, buffers, head):
    front = Front(stack)
    sock = begin_body(stack, front, buffers, head)
    assert b" 408 " in read_to_end(sock)
    assert_is_freed(front, buffers)


@pytest.mark.parametrize("head", [LENGTH, CHUNKED + CHUNK])
def test_a_body_whose_caller_leaves_keeps_nothing(stack, buffers, head):
    front = Front(stack)
    begin_body(stack, front, buffers, head).close()
    assert_is_freed(front, buffers)


@pytest.mark.parametrize("head", [LENGTH, CHUNKED + CHUNK])
def test_a_body_that_is_ended_for_its_memory_keeps_nothing(
    stack, buffers, head, monkeypatch
):
    monkeypatch.setattr("tests.caller_front.BODY_TIMEOUT_MS", 30_000.0)
    front = Front(stack)
    sock = begin_body(stack, front, buffers, head)
    (caller,) = front.server.budget.callers
    caller.end_soon()
    assert b" 503 " in read_to_end(sock)
    assert_is_freed(front, buffers)


@pytest.mark.parametrize("body", [b"\r\nzz\r\n", b"\r\n0\r\nx"])
def test_a_body_with_a_malformed_chunk_keeps_nothing(stack, buffers, body):
    front = Front(stack)
    sock = begin_body(stack, front, buffers, CHUNKED + CHUNK)
    sock.sendall(body)
    assert b" 40" in read_to_end(sock)
    assert_is_freed(front, buffers)


def test_a_body_that_is_too_large_keeps_nothing(stack, buffers):
    front = Front(stack)
    sock = begin_body(stack, front, buffers, CHUNKED + CHUNK)
    sock.sendall(b"\r\n" + CHUNK + bytes(N_SENT_BYTES) + b"\r\n1\r\nx\r\n0\r\n\r\n")
    assert b" 413 " in read_to_end(sock)
    assert_is_freed(front, buffers)


def test_an_idle_connection_does_not_keep_the_last_body(stack, buffers):
    front = Front(stack)
    sock = begin_body(stack, front, buffers, LENGTH)
    sock.sendall(b"xx")
    assert sock.recv(1000).startswith(b"HTTP/1.1 200 ")
    assert_is_freed(front, buffers)
    assert front.server.n_connections == 1


class Context:
    """The context of a request."""


@pytest.mark.parametrize("is_caught", [False, True])
def test_an_error_of_a_performer_keeps_nothing(is_caught):
    def handler(call):
        try:
            yield Account(None, None)
        except OSError:
            if not is_caught:
                raise

    def fail(effect, context):
        raise OSError

    context = Context()
    reference = weakref.ref(context)
    try:
        drive(handler, None, context, {Account: fail})
    except OSError:
        assert not is_caught
    del context
    assert reference() is None


def test_a_failed_allocation_within_a_body_waits_for_nothing(
    stack, buffers, monkeypatch
):
    """Guards against a body that stays in memory while its rest is awaited."""
    front = Front(stack)
    sock = begin_body(stack, front, buffers, LENGTH)
    monkeypatch.setattr(http_server, "len", fail_for_buffers, raising=False)
    sock.sendall(b"x")
    assert b" 503 " in read_to_end(sock)
    assert_is_freed(front, buffers)


def fail_for_buffers(value):
    if isinstance(value, bytearray):
        raise MemoryError
    return builtins.len(value)
