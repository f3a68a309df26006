"""The task that owns the UDP socket for heartbeats and notices between entry VMs."""

import select
from ipaddress import AddressValueError, IPv4Address

import msgspec
from gevent import sleep, socket
from hornbeamstand_core.edge_node_messages import (
    Contacts,
    EdgeHeartbeat,
    SendContacts,
    SendEdgeHeartbeat,
    SendNotice,
    SendToPeer,
)

from ..tasks.datagram_reads import read_datagram
from ..tasks.failures import spawn_supervised
from ..tasks.task import Task
from .notice_datagrams import decode_notice, encode_notice
from .quota_datagrams import QUOTA_KINDS
from .rollout_datagrams import ROLLOUT_KINDS
from .room_datagrams import KINDS as ROOM_KINDS
from .typed_datagrams import decode_typed, encode_typed

# Maximum size of a received datagram.
DATAGRAM_MAX_BYTES = 2048
# Interval at which a VM that no other one relies on reads its datagrams together, and
# the number of peers from which on it does so. Heartbeats tolerate the delay.
READ_INTERVAL_MS = 50.0
N_PEERS_READ_TOGETHER = 16
MS_PER_S = 1000.0
# The kinds of typed datagrams.
KINDS = (*QUOTA_KINDS, *ROLLOUT_KINDS, *ROOM_KINDS)
# Size of an IPv4 address in a datagram.
IP_BYTES = 4
# Fields on the wire, in order: those of an EdgeHeartbeat, whose ``is_overloaded`` comes
# before ``capacity`` and whose ``era`` is part of ``n_peers``. The receiver takes the
# sender's address from the socket.
HEARTBEAT_FIELDS = tuple(
    name
    for name in EdgeHeartbeat.__slots__
    if name not in ("ip", "is_overloaded", "era")
)
CAPACITY_INDEX = HEARTBEAT_FIELDS.index("capacity")
# An overloaded VM sends its capacity lowered by this. VMs of versions that know no
# overload rank it last then.
OVERLOADED_CAPACITY = 1000
# Bits of ``n_peers`` on the wire, which is lowered by the era above them. VMs of
# versions that know no era take it for no peers, and go on sending contacts.
N_PEERS_BITS = 42
N_PEERS_INDEX = HEARTBEAT_FIELDS.index("n_peers")
HEARTBEAT_DECODER = msgspec.msgpack.Decoder(
    tuple[str, int, bool, bool, bool, bool, bool, int, int, int, int]
)


def encode_heartbeat(heartbeat):
    """Return a heartbeat as MessagePack."""
    fields = [getattr(heartbeat, name) for name in HEARTBEAT_FIELDS]
    if heartbeat.is_overloaded:
        fields[CAPACITY_INDEX] -= OVERLOADED_CAPACITY
    fields[N_PEERS_INDEX] -= heartbeat.era << N_PEERS_BITS
    return msgspec.msgpack.encode(fields)


def decode_heartbeat(raw, ip):
    """Return the EdgeHeartbeat that ``ip`` sent, or None if the bytes are invalid."""
    try:
        values = HEARTBEAT_DECODER.decode(raw)
    except msgspec.DecodeError:
        return None
    values = list(values)
    minus_era, n_peers = divmod(values[N_PEERS_INDEX], 1 << N_PEERS_BITS)
    values[N_PEERS_INDEX] = n_peers
    capacity = values[CAPACITY_INDEX]
    is_overloaded = capacity < -OVERLOADED_CAPACITY / 2
    if is_overloaded:
        capacity += OVERLOADED_CAPACITY
    return EdgeHeartbeat(
        ip,
        *values[:CAPACITY_INDEX],
        is_overloaded,
        capacity,
        *values[CAPACITY_INDEX + 1 :],
        -minus_era,
    )


def encode_contacts(contacts):
    """Return a Contacts as a MessagePack byte string: four bytes for each address."""
    packed = b"".join(IPv4Address(ip).packed for ip in contacts.ips)
    return msgspec.msgpack.encode(packed)


def decode_contacts(raw):
    """Return the Contacts of a datagram, or None if the bytes are invalid."""
    try:
        packed = msgspec.msgpack.decode(raw, type=bytes)
        starts = range(0, len(packed), IP_BYTES)
        return Contacts([str(IPv4Address(packed[i : i + IP_BYTES])) for i in starts])
    except (msgspec.DecodeError, AddressValueError):
        return None


class HeartbeatTask:
    """Owns the UDP socket of one VM; sends and receives heartbeats and small messages.

    These are the contacts of peers and the notices of targets.

    Parameters
    ----------
    ip : str
        Address to bind.
    port : int
        Port to bind; peers use the same one.
    control_task : EdgeControlTask
        Receives the decoded heartbeats, contacts and notices.
    log : EdgeLog
        Logs datagrams that can't be decoded.
    sock : socket, optional
        A UDP socket that is bound to the address. Without it the task binds one.
    """

    __slots__ = (
        "ip",
        "port",
        "control_task",
        "log",
        "task",
        "n_sent",
        "n_send_failures",
        "_sock",
        "_last_heartbeat",
        "_last_raw",
    )

    def __init__(self, ip, port, control_task, log, sock=None):
        self.ip = ip
        self.port = port
        self.control_task = control_task
        self.log = log
        self.task = Task("heartbeats")
        self.n_sent = 0
        self.n_send_failures = 0
        self._sock = sock
        # The last heartbeat that was sent, and its datagram. One round sends the same
        # heartbeat to many peers.
        self._last_heartbeat = None
        self._last_raw = b""

    def post(self, message):
        """Put a message to a peer, see ``encode``, into the task's mailbox."""
        self.task.post(message)

    def start(self, stack):
        """Start to send and receive; the exit stack closes the socket."""
        if self._sock is None:
            self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self._sock.bind((self.ip, self.port))
        stack.callback(self._sock.close)
        self.task.start(self._send_loop, stack)
        receiver = spawn_supervised("heartbeat-receiver", self._receive_loop)
        stack.callback(receiver.kill, block=False)

    def _send_loop(self):
        while True:
            message = self.task.mailbox.get()
            try:
                raw = self._encode(message)
                self._sock.sendto(raw, (message.ip, self.port))
            except OSError:
                # The controllers' next round sends another heartbeat, and a target's
                # answers and its entry state again what a notice would have said.
                self.n_send_failures += 1
                continue
            self.n_sent += 1

    def _encode(self, message):
        if type(message) is not SendEdgeHeartbeat:
            return encode(message)
        if message.heartbeat is not self._last_heartbeat:
            self._last_heartbeat = message.heartbeat
            self._last_raw = encode_heartbeat(message.heartbeat)
        return self._last_raw

    def _receive_loop(self):
        poll = select.poll()
        poll.register(self._sock.fileno(), select.POLLIN)
        while True:
            self._receive()
            while self._reads_together():
                sleep(READ_INTERVAL_MS / MS_PER_S)
                if not poll.poll(0):
                    break
                while poll.poll(0):
                    self._receive()

    def _reads_together(self):
        """Return whether datagrams are read at intervals, not as they arrive.

        Each one that is read as it arrives wakes this VM. One that is not preferred
        gets many heartbeats and nothing that is urgent.
        """
        heartbeat = self._last_heartbeat
        if heartbeat is None or heartbeat.is_preferred:
            return False
        return heartbeat.n_peers >= N_PEERS_READ_TOGETHER

    def _receive(self):
        """Wait for a datagram and pass its message on."""
        raw, sender = read_datagram(
            self._sock, DATAGRAM_MAX_BYTES, "heartbeat-receiver"
        )
        message = decode(raw, sender[0])
        if message is None:
            self.log.info("peer: unreadable datagram", peer=sender[0])
            return
        self.control_task.post(message)


def encode(message):
    """Return the datagram of a SendContacts, SendNotice or SendToPeer."""
    return ENCODERS[type(message)](message)


ENCODERS = {
    SendContacts: lambda message: encode_contacts(message.contacts),
    SendNotice: lambda message: encode_notice(message.notice),
    SendToPeer: lambda message: encode_typed(message.message, KINDS),
}


def decode(raw, ip):
    """Return the message in a datagram that ``ip`` sent, or None if it is invalid."""
    return (
        decode_heartbeat(raw, ip)
        or decode_contacts(raw)
        or decode_notice(raw)
        or decode_typed(raw, ip, KINDS)
    )
