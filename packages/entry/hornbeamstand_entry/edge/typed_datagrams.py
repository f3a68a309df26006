"""Datagrams between entry VMs that state the kind of their message.

Such a datagram is a MessagePack array of the kind's number and the encoded message.
Heartbeats, contacts and notices are arrays of another length, so VMs of versions that
know no kinds log an unreadable datagram.
"""

import msgspec
from hornbeamstand_core.records import Record

ENVELOPE_DECODER = msgspec.msgpack.Decoder(tuple[int, bytes])


class DatagramKind(Record):
    """One kind of message between entry VMs.

    ``number`` distinguishes the kinds on the wire and is never used again for another
    one. ``encode`` returns the bytes of a message of ``message_type``. ``decode`` takes
    the bytes and the sender's IP address, and returns a message for the controllers;
    it raises ValueError or msgspec.DecodeError if the bytes are invalid.
    """

    __slots__ = ("number", "message_type", "encode", "decode")

    def __init__(self, number, message_type, encode, decode):
        self.number = number
        self.message_type = message_type
        self.encode = encode
        self.decode = decode


def encode_typed(message, kinds):
    """Return the datagram of a message whose type is one of the kinds."""
    kind = next(kind for kind in kinds if kind.message_type is type(message))
    return msgspec.msgpack.encode((kind.number, kind.encode(message)))


def decode_typed(raw, ip, kinds):
    """Return the message in a datagram that ``ip`` sent, or None if it is invalid."""
    try:
        number, body = ENVELOPE_DECODER.decode(raw)
        kind = next((kind for kind in kinds if kind.number == number), None)
        return None if kind is None else kind.decode(body, ip)
    except (msgspec.DecodeError, ValueError):
        return None
