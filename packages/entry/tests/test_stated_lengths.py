"""Responses that state more than may be read are given up at their heads."""

import pytest
from gevent.queue import SimpleQueue
from hornbeamstand_entry.tasks.byte_budget import ByteBudget
from hornbeamstand_entry.tasks.connection_rules import ConnectionRules
from hornbeamstand_entry.tasks.exchange import Exchange
from hornbeamstand_entry.tasks.response_messages import (
    ResponseError,
    ResponseMemoryError,
)
from hornbeamstand_entry.tasks.response_parser import (
    READ_BYTES,
    ResponseParser,
    read_response,
)

MAX_BYTES = 64 << 20
LIMIT_BYTES = 32 << 20
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"


class EndlessSocket:
    """Returns the first bytes of a response, then bytes without end."""

    def __init__(self, first):
        self.first = first
        self.n_read_bytes = 0

    def recv(self, n_bytes):
        data, self.first = self.first, b""
        data += b"x" * (n_bytes - len(data))
        self.n_read_bytes += len(data)
        return data


def stated(length):
    return OK + b"Content-Length: %d\r\n\r\n" % length


def read(sock, method="GET", budget=None):
    exchange = Exchange(method, b"", 0.0, False, MAX_BYTES, SimpleQueue())
    budget = budget or ByteBudget()
    n_before_bytes = budget.n_held_bytes
    rules = ConnectionRules(answer_budget=budget)
    try:
        return read_response(sock, ResponseParser(), exchange, rules)
    finally:
        assert budget.n_held_bytes == n_before_bytes


@pytest.mark.parametrize(
    "first",
    [
        stated(MAX_BYTES + 1),
        stated(10**12),
        stated(2**31 - 1),
        stated(2**63 - 1),
        stated(2**63),
        stated(2**64 - 1),
        stated(2**64),
        stated(10**4000),
        INTERIM + stated(10**12),
        CHUNKED + b"ffffffffff\r\n",
        CHUNKED + b"ffffffffffffffff\r\n",
        CHUNKED + b"10\r\n" + bytes(16) + b"\r\nffffffffff\r\n",
        OK + b"Content-Length: 7\r\nContent-Length: 1000000000000\r\n\r\n",
        OK + b"Content-Length: 7\r\nTransfer-Encoding: chunked\r\n\r\n",
    ],
)
def test_a_response_that_states_too_much_is_given_up_at_its_head(first):
    sock = EndlessSocket(first)
    with pytest.raises(ResponseError):
        read(sock)
    assert sock.n_read_bytes == READ_BYTES


def test_a_response_that_states_more_than_the_memory_is_given_up_at_its_head():
    sock = EndlessSocket(stated(LIMIT_BYTES))
    with pytest.raises(ResponseError, match="no memory for a response body of"):
        read(sock, budget=ByteBudget(LIMIT_BYTES))
    assert sock.n_read_bytes == READ_BYTES


def test_a_response_as_long_as_allowed_is_read():
    response = read(EndlessSocket(stated(MAX_BYTES)))
    assert response.n_body_bytes == MAX_BYTES


@pytest.mark.parametrize("method, status", [("HEAD", 200), ("GET", 204), ("GET", 304)])
def test_the_length_of_a_response_without_a_body_is_not_its_size(method, status):
    head = b"HTTP/1.1 %d X\r\nContent-Length: 1000000000000\r\n\r\n" % status
    response = read(EndlessSocket(head), method)
    assert (response.status_code, response.n_body_bytes) == (status, 0)
    assert response.should_close()


def test_what_follows_a_complete_response_does_not_fail_it():
    sock = EndlessSocket(stated(3) + b"abc" + stated(10**12))
    response = read(sock)
    assert response.body == b"abc"
    assert response.should_close()


@pytest.mark.parametrize(
    "head, is_own_lack",
    [(stated(MAX_BYTES // 4), True), (CHUNKED + b"1000000\r\n", False)],
)
def test_only_a_response_that_may_be_sound_is_a_lack_of_memory(head, is_own_lack):
    """Guards against sound targets that are ejected when callers take the memory."""
    budget = ByteBudget(LIMIT_BYTES)
    budget.hold().grow_to(LIMIT_BYTES // 2)
    with pytest.raises(ResponseError) as caught:
        read(EndlessSocket(head), budget=budget)
    assert isinstance(caught.value, ResponseMemoryError) == is_own_lack
