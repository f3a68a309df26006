"""Copies of orders between VMs of mixed versions."""

import pytest
from hornbeamstand_core.controllers.orders import OrderBook
from hornbeamstand_core.messages import NOT_RUN, Answer, Refusal
from hornbeamstand_core.order_messages import (
    DONE,
    DROPPED,
    OPEN,
    SendOrders,
    StoredOrder,
)
from hornbeamstand_entry.peer_codec import (
    ENCODER,
    ORDERS_DECODER,
    KeptResponse,
    decode_orders,
    encode_orders,
)

ANSWER = Answer(200, KeptResponse("POST", [], b"receipt"))
NOT_RUN_REFUSAL = Refusal("shed", NOT_RUN)


@pytest.mark.parametrize(
    ("state", "outcome"), [(OPEN, None), (DROPPED, NOT_RUN_REFUSAL), (DONE, ANSWER)]
)
def test_vms_without_attempt_numbers_keep_what_they_cannot_tell_apart(state, outcome):
    """Guards against a withdrawal that such a VM takes for that of a later attempt."""
    stored = StoredOrder("shop", "k", state, outcome, 0.0, "vm1", 7 * (state != DONE))
    raw = encode_orders("vm1", SendOrders("vm2", [stored]))
    _, [fields], _, _ = ORDERS_DECODER.decode(raw)
    assert fields[2] != DROPPED
    assert (fields[2] == DONE) == (state == DONE)


def test_a_withdrawal_without_a_number_removes_no_attempt():
    """Guards against a second run beside VMs that send no numbers."""
    book = OrderBook("vm2", 0.0)
    numbered = StoredOrder("shop", "k2", OPEN, None, 0.0, "vm1", 7)
    received = [decode_orders(encode_orders("vm1", SendOrders("vm2", [numbered])))]
    for state in (OPEN, DROPPED):
        orders = [["shop", key, state, None, 0.0, "vm1"] for key in ("k1", "k2")]
        received.append(decode_orders(ENCODER.encode(["vm1", orders, 0, False])))
    late = StoredOrder("shop", "k1", DROPPED, None, 0.0, "vm1", 8)
    received.append(decode_orders(encode_orders("vm1", SendOrders("vm2", [late]))))
    for message in received:
        book.note_received(message, 0.0)
    assert len(book) == 2
