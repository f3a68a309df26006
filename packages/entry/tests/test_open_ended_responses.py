"""What was read of a cancelled response counts only if the response may never end."""

import pytest
from gevent.queue import SimpleQueue
from hornbeamstand_entry.tasks.connection_rules import ConnectionRules
from hornbeamstand_entry.tasks.connections import Connection
from hornbeamstand_entry.tasks.exchange import Exchange
from hornbeamstand_entry.tasks.response_parser import receive_bytes

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
N_MAX_BYTES = 64 << 20
BODY = bytes(10_000)


class OneRead:
    """A socket from which the same bytes are read each time."""

    def __init__(self, data):
        self.data = data

    def recv(self, n_bytes):
        return self.data


def read_part(data):
    """Return an exchange that has read a part of its response."""
    exchange = Exchange("GET", b"", 0.0, False, N_MAX_BYTES, SimpleQueue())
    connection = Connection("connection", ConnectionRules())
    connection.exchange = exchange
    exchange.connection = connection
    connection.parser.begin_exchange("GET")
    rules = connection.rules
    hold = rules.answer_budget.hold()
    sock = OneRead(data)
    receive_bytes(sock, connection.parser, exchange, hold, rules.head_max_bytes)
    return exchange


def test_a_response_of_a_stated_length_is_no_response_without_end():
    """Guards against ejections of targets whose callers leave long downloads."""
    head = OK + b"Content-Length: %d\r\n\r\n" % N_MAX_BYTES
    assert read_part(head + BODY).n_open_ended_bytes == 0


@pytest.mark.parametrize(
    "data", [OK + b"\r\n" + BODY, CHUNKED + b"4000\r\n" + BODY, OK + b"A: b"]
)
def test_what_was_read_of_other_responses_counts(data):
    assert read_part(data).n_open_ended_bytes == len(data)
