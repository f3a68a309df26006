"""Which responses are awaited after a timeout that a late process noticed too late."""

import pytest
from gevent import socket
from gevent.queue import SimpleQueue
from hornbeamstand_entry.tasks.connection_rules import ConnectionRules
from hornbeamstand_entry.tasks.connections import Connection
from hornbeamstand_entry.tasks.exchange import LARGE_BODY_BYTES, Exchange
from hornbeamstand_entry.tasks.streams import Stream

OK = b"HTTP/1.1 200 OK\r\n"
N_LARGE_BYTES = 8 * LARGE_BODY_BYTES
STATED = OK + b"Content-Length: %d\r\n\r\n" % N_LARGE_BYTES
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
UNSTATED = OK + b"\r\n"
LARGE = bytes(LARGE_BODY_BYTES)


def begin(stack, read, unread):
    """Return an exchange that has read some bytes of its response, and not others."""
    ours, theirs = map(stack.enter_context, socket.socketpair())
    exchange = Exchange("GET", b"", 0.0, False, 1 << 30, SimpleQueue())
    connection = Connection("connection", ConnectionRules())
    connection.stream = Stream(ours)
    connection.exchange = exchange
    connection.parser.begin_exchange("GET")
    if read:
        connection.parser.feed(read)
    exchange.connection = connection
    theirs.sendall(unread)
    return exchange


@pytest.mark.parametrize(
    "read, unread",
    [
        (b"", OK),
        (STATED + bytes(N_LARGE_BYTES - 600), bytes(600)),
        (STATED + bytes(N_LARGE_BYTES - LARGE_BODY_BYTES), bytes(600)),
        (CHUNKED + b"3e8\r\n" + bytes(400), bytes(600) + b"\r\n0\r\n\r\n"),
        (UNSTATED + bytes(400), bytes(600)),
    ],
)
def test_a_response_whose_end_may_have_arrived_is_awaited(stack, read, unread):
    assert begin(stack, read, unread).may_have_arrived()


@pytest.mark.parametrize(
    "read, unread",
    [
        (STATED + bytes(400), b""),
        (STATED + bytes(400), bytes(600)),
        (UNSTATED + LARGE, bytes(600)),
        (CHUNKED + b"100000\r\n" + LARGE, b"\r\n1\r\n"),
    ],
)
def test_a_response_that_goes_on_is_not_awaited(stack, read, unread):
    """Guards against answers that are late because bytes arrive without end."""
    assert not begin(stack, read, unread).may_have_arrived()
