"""Encodes the messages of quotas that entry VMs send to each other.

The receiver takes the sender's address from the socket.
"""

import msgspec
from hornbeamstand_core.quota_messages import (
    QuotaLease,
    QuotaNeed,
    QuotaRequest,
    QuotaResponse,
)

from .typed_datagrams import DatagramKind

# Largest number of tokens, or of milliseconds, in a datagram.
NUMBER_MAX = 1e9
# A sequence number and the fields of each QuotaNeed, or of each QuotaLease.
REQUEST_DECODER = msgspec.msgpack.Decoder(
    tuple[int, list[tuple[str, float, int, float]]]
)
RESPONSE_DECODER = msgspec.msgpack.Decoder(tuple[int, list[tuple[str, float, float]]])


def encode_request(message):
    """Return a QuotaRequest as MessagePack."""
    return encode_items(message.sequence, message.needs)


def decode_request(raw, ip):
    """Return the QuotaRequest that ``ip`` sent."""
    sequence, items = decode_items(raw, REQUEST_DECODER)
    return QuotaRequest(ip, sequence, [QuotaNeed(*item) for item in items])


def encode_response(message):
    """Return a QuotaResponse as MessagePack."""
    return encode_items(message.sequence, message.leases)


def decode_response(raw, ip):
    """Return the QuotaResponse that ``ip`` sent."""
    sequence, items = decode_items(raw, RESPONSE_DECODER)
    return QuotaResponse(ip, sequence, [QuotaLease(*item) for item in items])


def encode_items(sequence, records):
    """Return a sequence number and the fields of records as MessagePack."""
    items = [[getattr(item, name) for name in item.__slots__] for item in records]
    return msgspec.msgpack.encode((sequence, items))


def decode_items(raw, decoder):
    """Return a sequence number and items.

    Raises ValueError if a number of an item is out of range.
    """
    sequence, items = decoder.decode(raw)
    for _, *numbers in items:
        if not all(0.0 <= number <= NUMBER_MAX for number in numbers):
            raise ValueError(f"number out of range in {items!r}")
    return sequence, items


QUOTA_KINDS = (
    DatagramKind(1, QuotaRequest, encode_request, decode_request),
    DatagramKind(2, QuotaResponse, encode_response, decode_response),
)
