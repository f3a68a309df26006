"""Test helper: a target whose response has no length and ends with its connection."""

import socket
import struct

import gevent
from gevent.queue import SimpleQueue
from hornbeamstand_entry.clock import make_process_clock
from hornbeamstand_entry.tasks.connection_rules import ConnectionRules
from hornbeamstand_entry.tasks.exchange import Exchange
from hornbeamstand_entry.tasks.pools import ConnectionPool
from hornbeamstand_entry.tasks.response_reads import ResponseReads

REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
PART = b"x" * 2500
PATIENCE_MS = 5000.0
# With this option the close of a socket resets its connection.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class OpenEndedTarget:
    """Has sent the first part of a response, which this process has read.

    ``upload`` is a body that may still be on its way. All calls take effect at once,
    before any other greenlet runs.
    """

    def __init__(self, stack, upload=b""):
        listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        self.reports = []
        self.reads = ResponseReads(self.reports.append)
        rules = ConnectionRules(accepts_unframed=True, reads=self.reads)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        self.pool = ConnectionPool(address, make_process_clock(), rules)
        self.pool.start(stack)
        not_after_ms = self.pool.clock.now_ms() + PATIENCE_MS
        self.exchange = Exchange(
            "POST",
            REQUEST,
            not_after_ms,
            False,
            1 << 20,
            SimpleQueue(),
            "a7",
            body=upload,
        )
        self.pool.task.post(self.exchange)
        self.wait_for(lambda: self.exchange.is_sent)
        self.peer = stack.enter_context(listener.accept()[0])
        self.peer.sendall(HEAD + PART)
        self.wait_for(lambda: self.n_read_bytes == len(PART))

    @property
    def n_read_bytes(self):
        """The bytes of the body that were read."""
        return self.exchange.connection.parser.n_body_bytes

    def wait_for(self, is_met):
        """Let other greenlets run until a condition is met."""
        error = AssertionError("condition not met in time")
        with gevent.Timeout(PATIENCE_MS / 1000.0, error):
            while not is_met():
                gevent.sleep(0.001)

    def reset(self):
        """Reset the connection."""
        self.peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        self.peer.close()

    def end(self):
        """End the response, and with it the sending side of the connection."""
        self.peer.shutdown(socket.SHUT_WR)

    def receive_result(self):
        """Return the result of the exchange."""
        return self.exchange.receive_result(PATIENCE_MS)
