"""Copies of orders between VMs: mixed versions, and senders that were removed."""

from contextlib import ExitStack

import pytest
from hornbeamstand_core.config import Configuration
from hornbeamstand_core.controllers.orders import OrderBook
from hornbeamstand_core.messages import NOT_RUN, Answer, Refusal
from hornbeamstand_core.order_messages import (
    DONE,
    DROPPED,
    OPEN,
    EpochAdopted,
    SendOrders,
    StoredOrder,
)
from hornbeamstand_core.view import Member, View
from hornbeamstand_entry.clock import make_process_clock
from hornbeamstand_entry.peer_codec import (
    ENCODER,
    ORDERS_DECODER,
    KeptResponse,
    decode_orders,
    encode_orders,
)
from hornbeamstand_entry.tasks.orders_task import OrdersTask

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


@pytest.mark.parametrize(("sender", "status"), [("vm1", "200"), ("removed", "409")])
def test_only_members_get_their_new_orders_stored(sender, status):
    """Guards against a removed VM that starts an order on its backup's record."""
    members = {name: Member(name, "", "", "fd0") for name in ("vm1", "vm2")}
    book = OrderBook("vm2", 0.0)
    book.adopt_epoch(EpochAdopted(View(1, members), Configuration.empty()), 0.0)
    stored = StoredOrder("shop", "k", OPEN, None, 0.0, sender, 1)
    raw = encode_orders(sender, SendOrders("vm2", [stored]))
    statuses = []
    with ExitStack() as stack:
        task = OrdersTask(book, None, make_process_clock())
        task.start(stack)
        task.answer_peer(raw, "", lambda line, items: statuses.append(line[:3]))
    assert statuses == [status]
    assert len(book) == (status == "200")
