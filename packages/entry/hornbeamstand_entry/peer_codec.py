"""Peer messages as MessagePack: each record is the list of its slots."""

import msgspec
from hornbeamstand_core.balancer_messages import CapacityReport
from hornbeamstand_core.controllers.node import SendCapacityReport
from hornbeamstand_core.messages import Answer, Refusal
from hornbeamstand_core.order_messages import OrdersReceived, StoredOrder
from hornbeamstand_core.peer_messages import HandOverRecord, Heartbeat
from hornbeamstand_core.records import Record

HEARTBEAT = "h"
CAPACITY_REPORT = "r"
OUTCOME_TAGS = {Answer: "a", Refusal: "f"}
OUTCOME_CLASSES = {tag: cls for cls, tag in OUTCOME_TAGS.items()}


def slot_values(record):
    """Return the list of a record's slots."""
    return [getattr(record, name) for name in record.__slots__]


def encode_hook(value):
    """Encode a record inside a message."""
    if isinstance(value, Record):
        return slot_values(value)
    raise TypeError(type(value))


ENCODER = msgspec.msgpack.Encoder(enc_hook=encode_hook)


def encode_datagram(message):
    """Return the bytes of a Heartbeat or of CapacityReport."""
    tag = HEARTBEAT if isinstance(message, Heartbeat) else CAPACITY_REPORT
    return ENCODER.encode([tag, slot_values(message)])


def decode_datagram(raw):
    """Return a Heartbeat or CapacityReport, or None if it is malformed."""
    try:
        tag, fields = msgspec.msgpack.decode(raw)
        if tag == CAPACITY_REPORT:
            return CapacityReport(*fields)
        heartbeat = Heartbeat(*fields)
        heartbeat.records = [HandOverRecord(*r) for r in heartbeat.records]
        heartbeat.capacity_reports = [
            CapacityReport(*r) for r in heartbeat.capacity_reports
        ]
    except (msgspec.DecodeError, TypeError, ValueError):
        return None
    return heartbeat


def encode_orders(sender_id, sent):
    """Return the bytes of a SendOrders."""
    orders = []
    for stored in sent.orders:
        fields = slot_values(stored)
        fields[3] = pack_outcome(stored.outcome)
        orders.append(fields)
    body = [sender_id, orders, sent.transfer_version, sent.is_history_lost]
    return ENCODER.encode(body)


def decode_orders(raw):
    """Return OrdersReceived, or None if it is malformed."""
    try:
        sender_id, orders, transfer_version, is_lost = msgspec.msgpack.decode(raw)
        stored = []
        for fields in orders:
            fields[3] = unpack_outcome(fields[3])
            stored.append(StoredOrder(*fields))
    except (msgspec.DecodeError, TypeError, ValueError, IndexError):
        return None
    return OrdersReceived(sender_id, stored, transfer_version, is_lost)


class KeptResponse(Record):
    """A target's answer as it is kept for resends."""

    __slots__ = ("method", "header_items", "body")

    def __init__(self, method, header_items, body):
        self.method = method
        self.header_items = header_items
        self.body = body

    @classmethod
    def from_response(cls, response):
        """Copy what a resend's answer needs."""
        items = [list(item) for item in response.items()]
        return cls(response.method, items, bytes(response.body))

    def items(self):
        """Return the header items."""
        return self.header_items

    def get(self, name, default=None):
        """Return a header's value."""
        for key, value in self.header_items:
            if key.lower() == name.lower():
                return value
        return default


def pack_outcome(outcome):
    """Return an outcome as plain lists."""
    if outcome is None:
        return None
    fields = slot_values(outcome)
    if isinstance(outcome, Answer):
        payload = outcome.payload
        if not isinstance(payload, KeptResponse):
            payload = KeptResponse.from_response(payload)
        fields[1] = slot_values(payload)
    return [OUTCOME_TAGS[type(outcome)], fields]


def unpack_outcome(packed):
    """Return the outcome of ``pack_outcome``."""
    if packed is None:
        return None
    tag, fields = packed
    if tag == "a":
        fields[1] = KeptResponse(*fields[1])
    return OUTCOME_CLASSES[tag](*fields)


def datagram_of(message):
    """Return (address, bytes) of a SendHeartbeat or SendCapacityReport."""
    body = (
        message.report if isinstance(message, SendCapacityReport) else message.heartbeat
    )
    return message.address, encode_datagram(body)
