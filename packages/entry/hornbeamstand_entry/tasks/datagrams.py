"""The task that owns the UDP socket for heartbeats and capacity reports.

A lost datagram does no harm, because heartbeats are repeated and capacity reports are
replaced by newer ones.
"""

from ..peer_codec import datagram_of, decode_datagram
from .datagram_reads import read_datagram
from .failures import spawn_supervised
from .task import Task

# Maximum size of a UDP payload over IPv4.
DATAGRAM_MAX_BYTES = 65507


class Datagrams:
    """The bound UDP socket of one VM, and counts of the datagrams and bytes sent."""

    __slots__ = ("control_task", "task", "n_bytes_sent", "n_sent", "_sock")

    def __init__(self, sock, control_task):
        self.control_task = control_task
        self.task = Task("datagrams")
        self.n_bytes_sent = 0
        self.n_sent = 0
        self._sock = sock

    def post(self, message):
        """Put a SendHeartbeat or SendCapacityReport into the task's mailbox."""
        self.task.post(message)

    def start(self, stack):
        """Start to receive and send; the exit stack closes the socket."""
        stack.callback(self._sock.close)
        self.task.start(self._send_loop, stack)
        receiver = spawn_supervised("datagram-receiver", self._receive_loop)
        stack.callback(receiver.kill, block=False)

    def _send_loop(self):
        while True:
            address, raw = datagram_of(self.task.mailbox.get())
            host, _, port = address.rpartition(":")
            try:
                self._sock.sendto(raw, (host, int(port)))
            except OSError:
                continue
            self.n_sent += 1
            self.n_bytes_sent += len(raw)

    def _receive_loop(self):
        while True:
            raw, _ = read_datagram(self._sock, DATAGRAM_MAX_BYTES, "datagram-receiver")
            message = decode_datagram(raw)
            if message is not None:
                self.control_task.task.post(message)
