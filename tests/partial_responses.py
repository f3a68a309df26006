"""Test helpers: exchanges with a server that sends a part of a response."""

import gevent
from gevent.event import Event
from gevent.queue import SimpleQueue
from gevent.server import StreamServer
from hornbeamstand_entry.clock import make_process_clock
from hornbeamstand_entry.tasks.byte_budget import ByteBudget
from hornbeamstand_entry.tasks.connection_rules import ConnectionRules
from hornbeamstand_entry.tasks.exchange import Exchange
from hornbeamstand_entry.tasks.pools import Pools
from hornbeamstand_entry.tasks.response_reads import ResponseReads

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
LENGTH = 10**12
HEAD = f"HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n".encode()
N_SENT_BYTES = 300_000
PATIENCE_MS = 10_000.0


class PartialReader:
    """Sends requests to a server that sends a part of a response.

    The server closes its connections once the event ``ending`` is set.
    """

    def __init__(self, stack, n_sent_bytes, closes):
        self.n_sent_bytes = n_sent_bytes
        self.ending = Event()
        if closes:
            self.ending.set()
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
        self.ending.wait()

    def start(self):
        not_after_ms = self.clock.now_ms() + PATIENCE_MS
        exchange = Exchange(
            "GET", REQUEST, not_after_ms, False, LENGTH, SimpleQueue(), "a7"
        )
        self.pools.post(self.address, exchange)
        return exchange

    def wait_for(self, is_met):
        error = AssertionError("condition not met in time")
        with gevent.Timeout(PATIENCE_MS / 1000.0, error):
            while not is_met():
                gevent.sleep(0.001)
