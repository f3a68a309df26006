"""Encodes the messages by which owners lend each other room on their targets."""

import msgspec
from hornbeamstand_core.room_messages import RoomOffered, RoomWanted

from .typed_datagrams import DatagramKind

# Maximum number of slots that are asked for, or lent of one target. A message with more
# is an error of its sender.
N_SLOTS_MAX = 1 << 20
# Service, number of slots, and the time of the request on the clock of its sender.
WANTED_DECODER = msgspec.msgpack.Decoder(tuple[str, int, float])
# Service, failure domain, target ids with numbers of slots, and that time once more.
OFFERED_DECODER = msgspec.msgpack.Decoder(tuple[str, str, list[tuple[str, int]], float])


def encode_wanted(message):
    """Return a RoomWanted as MessagePack; the socket states the sender's address."""
    fields = (message.service_name, message.n_wanted, message.asked_at_ms)
    return msgspec.msgpack.encode(fields)


def decode_wanted(raw, ip):
    """Return the RoomWanted that ``ip`` sent; raises ValueError if it is invalid."""
    service_name, n_wanted, asked_at_ms = WANTED_DECODER.decode(raw)
    return RoomWanted(ip, service_name, check_slots(n_wanted), asked_at_ms)


def encode_offered(message):
    """Return a RoomOffered as MessagePack."""
    fields = (
        message.service_name,
        message.failure_domain,
        message.slots,
        message.asked_at_ms,
    )
    return msgspec.msgpack.encode(fields)


def decode_offered(raw, ip):
    """Return the RoomOffered of a peer; raises ValueError if it is invalid."""
    service_name, failure_domain, slots, asked_at_ms = OFFERED_DECODER.decode(raw)
    for _, n_slots in slots:
        check_slots(n_slots)
    return RoomOffered(service_name, failure_domain, tuple(slots), asked_at_ms)


def check_slots(n_slots):
    """Return a number of slots; raises ValueError if it is out of range."""
    if not 0 <= n_slots <= N_SLOTS_MAX:
        raise ValueError(f"{n_slots} slots, expected 0 to {N_SLOTS_MAX}")
    return n_slots


KINDS = (
    DatagramKind(9, RoomWanted, encode_wanted, decode_wanted),
    DatagramKind(10, RoomOffered, encode_offered, decode_offered),
)
