"""Figures of responses that are being read or were given up."""

import gevent
import pytest
from gevent.queue import SimpleQueue
from gevent.server import StreamServer
from hornbeamstand_core.messages import SendFailure
from hornbeamstand_entry.clock import make_process_clock
from hornbeamstand_entry.tasks.byte_budget import ByteBudget
from hornbeamstand_entry.tasks.connections import ConnectionRules
from hornbeamstand_entry.tasks.exchange import Exchange
from hornbeamstand_entry.tasks.pools import Pools
from hornbeamstand_entry.tasks.response_reads import ResponseReads

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
LENGTH = 10**12
HEAD = f"HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n".encode()
N_SENT_BYTES = 300_000
PATIENCE_MS = 10_000.0


class Reader:
    """Sends requests to a server that sends a part of a response."""

    def __init__(self, stack, n_sent_bytes, closes):
        self.n_sent_bytes = n_sent_bytes
        self.closes = closes
        self.reports = []
        self.reads = ResponseReads(self.reports.append)
        self.budget = ByteBudget()
        rules = ConnectionRules(answer_budget=self.budget, reads=self.reads)
        server = StreamServer(("127.0.0.1", 0), self.serve)
        server.start()
        stack.callback(server.stop, timeout=0)
        self.address = f"127.0.0.1:{server.server_port}"
        self.clock = make_process_clock()
        self.pools = Pools(self.clock, stack, rules)

    def serve(self, sock, _):
        sock.recv(65_536)
        sock.sendall(HEAD + bytes(self.n_sent_bytes))
        if not self.closes:
            gevent.sleep(PATIENCE_MS)

    def start(self):
        not_after_ms = self.clock.now_ms() + PATIENCE_MS
        exchange = Exchange(
            "GET", REQUEST, not_after_ms, False, LENGTH, SimpleQueue(), "a7"
        )
        self.pools.post(self.address, exchange)
        return exchange

    def wait_for(self, is_met):
        with gevent.Timeout(PATIENCE_MS / 1000.0):
            while not is_met():
                gevent.sleep(0.001)


def test_a_response_that_breaks_off_is_reported_with_what_was_read(stack):
    reader = Reader(stack, N_SENT_BYTES, closes=True)
    result = reader.start().receive_result(PATIENCE_MS)
    assert isinstance(result, SendFailure)
    (unfinished,) = reader.reports
    fields = unfinished.describe()
    assert (fields["at"], fields["request"]) == (reader.address, "a7")
    assert (fields["status"], fields["length"]) == (200, str(LENGTH))
    assert fields["n_body_bytes"] == N_SENT_BYTES
    assert fields["n_received_bytes"] == len(HEAD) + N_SENT_BYTES
    assert "Incomplete response" in fields["reason"]


def test_a_response_in_progress_counts_until_its_request_is_cancelled(stack):
    reader = Reader(stack, N_SENT_BYTES, closes=False)
    exchange = reader.start()
    gauges = reader.reads.gauges()
    reader.wait_for(lambda: gauges["response_bytes_reading"]() == N_SENT_BYTES)
    exchange.cancel(has_timed_out=True)
    reader.wait_for(lambda: reader.reports)
    assert reader.reports[0].reason == "cancelled"
    assert gauges["response_bytes_reading"]() == 0
    assert gauges["responses_unfinished"]() == 1
    assert gauges["response_bytes_unfinished"]() == len(HEAD) + N_SENT_BYTES


@pytest.mark.parametrize("closes", [True, False])
def test_a_short_response_is_not_reported(stack, closes):
    reader = Reader(stack, 1000, closes)
    exchange = reader.start()
    exchange.receive_result(PATIENCE_MS if closes else 50.0)
    exchange.cancel()
    gevent.sleep(0.01)
    assert reader.reports == []
