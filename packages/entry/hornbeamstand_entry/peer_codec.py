"""Messages between peers as MessagePack: a record is the list of its slot values."""

import msgspec
from hornbeamstand_core.balancer_messages import CapacityReport
from hornbeamstand_core.controllers.node import SendCapacityReport
from hornbeamstand_core.controllers.orders.order_memory import refuse_dropped
from hornbeamstand_core.messages import Answer, Refusal
from hornbeamstand_core.order_messages import (
    DONE,
    OPEN,
    OrdersReceived,
    SendOrders,
    StoredOrder,
)
from hornbeamstand_core.peer_messages import HandOverRecord, Heartbeat
from hornbeamstand_core.records import Record

from .header_numbers import read_count

# Tags of the types of datagrams.
HEARTBEAT = "h"
CAPACITY_REPORT = "r"
# Tags of the types of an order's outcome.
OUTCOME_TAGS = {Answer: "a", Refusal: "f"}
OUTCOME_CLASSES = {tag: cls for cls, tag in OUTCOME_TAGS.items()}

# Path of replicated orders. Its query has the version of the sender's configuration,
# which VMs of the version before neither send nor read.
ORDERS_PATH = "/peer/orders"
CONFIG_VERSION_FIELD = "config_version="
# Maximum size of the orders that are sent in one request, unless one order is larger.
PART_MAX_BYTES = 256 << 10
# Size that is counted for an order without its response.
ORDER_BYTES = 512
# Size that is counted for a header of a response, besides its text.
HEADER_BYTES = 256
# Separates the state of an order from the number of its attempt. VMs of the version
# before know no numbers and read every such state as OPEN, which lets nothing run.
ATTEMPT_SEPARATOR = ":"
# The numbers of attempts of VMs that don't send any. Such an attempt can't be told from
# a later one, so no withdrawal removes it, and a withdrawal of such a VM removes none.
UNNAMED_ATTEMPT = 1 << 62
UNNAMED_WITHDRAWAL = 0


def slot_values(record):
    """Return the values of a record's slots, in order."""
    return [getattr(record, name) for name in record.__slots__]


def encode_hook(value):
    """Return the slot values of a record that is nested in a message."""
    if isinstance(value, Record):
        return slot_values(value)
    raise TypeError(f"cannot encode {type(value)}: not a Record")


# The slots of the messages, in order, as types for the decoder.
CAPACITY_REPORT_FIELDS = tuple[str, str, int, int, float]
HAND_OVER_FIELDS = tuple[
    str, str, int, int, int, dict[str, int], str, float, float | None, str
]
HEARTBEAT_FIELDS = tuple[
    str,
    str,
    int,
    int,
    float,
    float | None,
    float | None,
    dict[str, float],
    list[str],
    list[HAND_OVER_FIELDS],
    dict[str, int],
    list[CAPACITY_REPORT_FIELDS],
]
ORDER_FIELDS = tuple[str, str, str, list | None, float, str]
DATAGRAM_DECODER = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
HEARTBEAT_DECODER = msgspec.msgpack.Decoder(HEARTBEAT_FIELDS)
CAPACITY_REPORT_DECODER = msgspec.msgpack.Decoder(CAPACITY_REPORT_FIELDS)
ORDERS_DECODER = msgspec.msgpack.Decoder(tuple[str, list[ORDER_FIELDS], int, bool])
# Errors of decoding bytes that are no valid message.
DECODE_ERRORS = (msgspec.DecodeError, RecursionError, TypeError, ValueError)
ENCODER = msgspec.msgpack.Encoder(enc_hook=encode_hook)


def encode_datagram(message):
    """Return a Heartbeat or a CapacityReport as bytes."""
    tag = HEARTBEAT if isinstance(message, Heartbeat) else CAPACITY_REPORT
    return ENCODER.encode([tag, slot_values(message)])


def decode_datagram(raw):
    """Return the Heartbeat or CapacityReport of a datagram; None if it is malformed."""
    try:
        tag, fields = DATAGRAM_DECODER.decode(raw)
        if tag == CAPACITY_REPORT:
            return CapacityReport(*CAPACITY_REPORT_DECODER.decode(fields))
        heartbeat = Heartbeat(*HEARTBEAT_DECODER.decode(fields))
        heartbeat.records = [HandOverRecord(*r) for r in heartbeat.records]
        heartbeat.capacity_reports = [
            CapacityReport(*r) for r in heartbeat.capacity_reports
        ]
    except DECODE_ERRORS:
        return None
    return heartbeat


def encode_orders(sender_id, message):
    """Return the orders of a SendOrders as bytes."""
    orders = []
    for stored in message.orders:
        orders.append(
            [
                stored.service_name,
                stored.key,
                pack_state(stored),
                pack_outcome(stored.outcome),
                stored.age_ms,
                stored.runner_id,
            ]
        )
    body = [sender_id, orders, message.transfer_version, message.is_history_lost]
    return ENCODER.encode(body)


def orders_path(message):
    """Return the path and query to which the orders of a SendOrders are sent."""
    return f"{ORDERS_PATH}?{CONFIG_VERSION_FIELD}{message.config_version}"


def split_transfer(message):
    """Return the SendOrders messages that together replicate those of a SendOrders.

    The last one alone is marked as the transfer, so it has to be sent last.
    """
    parts = []
    part, n_bytes = [], 0
    for stored in message.orders:
        n_order_bytes = ORDER_BYTES + outcome_bytes(stored.outcome)
        if part and n_bytes + n_order_bytes > PART_MAX_BYTES:
            parts.append(
                SendOrders(message.peer_id, part, config_version=message.config_version)
            )
            part, n_bytes = [], 0
        part.append(stored)
        n_bytes += n_order_bytes
    last = SendOrders(
        message.peer_id,
        part,
        message.transfer_version,
        message.is_history_lost,
        message.config_version,
    )
    return [*parts, last]


def outcome_bytes(outcome):
    """Return the size of the response in an outcome, with its headers."""
    payload = getattr(outcome, "payload", None)
    if payload is None:
        return 0
    n_header_bytes = sum(
        HEADER_BYTES + len(name) + len(value) for name, value in payload.items()
    )
    return len(payload.body) + n_header_bytes


def orders_bytes(message):
    """Return the size of the orders of a SendOrders."""
    return sum(
        ORDER_BYTES + len(stored.key) + outcome_bytes(stored.outcome)
        for stored in message.orders
    )


def without_answers(message):
    """Return a SendOrders whose answers are replaced: their outcome is unknown."""
    return message.replace(orders=[without_answer(s) for s in message.orders])


def without_answer(stored):
    """Return a StoredOrder without the answer of its outcome, if that is one."""
    if not isinstance(stored.outcome, Answer):
        return stored
    return stored.replace(outcome=refuse_dropped(stored.key))


def decode_orders(raw, query=""):
    """Return the OrdersReceived of a body and query, or None if it is malformed."""
    try:
        sender_id, orders, transfer_version, is_lost = ORDERS_DECODER.decode(raw)
        stored = [unpack_order(*fields) for fields in orders]
    except (*DECODE_ERRORS, LookupError):
        return None
    config_version = read_count(query.removeprefix(CONFIG_VERSION_FIELD))
    return OrdersReceived(sender_id, stored, transfer_version, is_lost, config_version)


def pack_state(stored):
    """Return the state of a StoredOrder, with the number of its attempt if it has one.

    The outcome of a DONE order holds for all its attempts.
    """
    if stored.state == DONE:
        return DONE
    return f"{stored.state}{ATTEMPT_SEPARATOR}{stored.attempt}"


def unpack_order(service_name, key, packed_state, outcome, age_ms, runner_id):
    """Return the StoredOrder of the fields that ``encode_orders`` wrote."""
    state, separator, number = packed_state.rpartition(ATTEMPT_SEPARATOR)
    if separator:
        attempt = int(number)
    else:
        state = packed_state
        attempt = UNNAMED_ATTEMPT if state == OPEN else UNNAMED_WITHDRAWAL
    outcome = unpack_outcome(outcome)
    return StoredOrder(service_name, key, state, outcome, age_ms, runner_id, attempt)


class KeptResponse(Record):
    """A target's response to an order, stored to answer the resends of the order."""

    __slots__ = ("method", "header_items", "body")

    def __init__(self, method, header_items, body):
        self.method = method
        self.header_items = header_items
        self.body = body

    @classmethod
    def from_response(cls, response):
        """Return a copy of the parts of a response that answer a resend."""
        items = [list(item) for item in response.items()]
        return cls(response.method, items, bytes(response.body))

    @property
    def body_pieces(self):
        """The body as a list of its parts."""
        return [self.body] if self.body else []

    @property
    def n_body_bytes(self):
        """The size of the body."""
        return len(self.body)

    def items(self):
        """Return the headers as (name, value) pairs."""
        return self.header_items

    def get(self, name, default=None):
        """Return the value of a header, whose name is matched regardless of case."""
        for key, value in self.header_items:
            if key.lower() == name.lower():
                return value
        return default


def pack_outcome(outcome):
    """Return an outcome as nested lists, or None if there is none."""
    if outcome is None:
        return None
    fields = slot_values(outcome)
    if isinstance(outcome, Answer):
        payload = outcome.payload
        if not isinstance(payload, KeptResponse):
            payload = KeptResponse.from_response(payload)
        # Slot 1 of an Answer is the payload.
        fields[1] = slot_values(payload)
    return [OUTCOME_TAGS[type(outcome)], fields]


def unpack_outcome(packed):
    """Return the outcome that ``pack_outcome`` turned into lists."""
    if packed is None:
        return None
    tag, fields = packed
    if tag == "a":
        fields[1] = KeptResponse(*fields[1])
    return OUTCOME_CLASSES[tag](*fields)


def datagram_of(message):
    """Return the address and the datagram of a SendHeartbeat or SendCapacityReport."""
    body = (
        message.report if isinstance(message, SendCapacityReport) else message.heartbeat
    )
    return message.address, encode_datagram(body)
