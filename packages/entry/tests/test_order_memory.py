"""The orders task counts what orders and their copies take in the budget of the VM."""

from contextlib import ExitStack
from types import SimpleNamespace

import pytest
from hornbeamstand_core.config import Configuration
from hornbeamstand_core.controllers.orders.order_book import OrderBook
from hornbeamstand_core.controllers.orders.order_memory import OrderMemory
from hornbeamstand_core.messages import OUTCOME_UNKNOWN, Answer
from hornbeamstand_core.order_messages import (
    DONE,
    OPEN,
    EpochAdopted,
    SendOrders,
    StoredOrder,
)
from hornbeamstand_core.view import Member, View
from hornbeamstand_entry.clock import make_process_clock
from hornbeamstand_entry.peer_codec import (
    KeptResponse,
    decode_orders,
    encode_orders,
    orders_path,
    outcome_bytes,
    split_transfer,
)
from hornbeamstand_entry.tasks.byte_budget import ByteBudget
from hornbeamstand_entry.tasks.orders_task import OrdersTask

BODY_BYTES = 100_000
LIMIT_BYTES = 1_000_000


def make_task(budget, pools=None):
    """Return the orders task of vm1, whose only peer is vm2."""
    book = OrderBook("vm1", 0.0, memory=OrderMemory(LIMIT_BYTES / 2, outcome_bytes))
    members = {name: Member(name, "peer", "", "fd0") for name in ("vm1", "vm2")}
    book.adopt_epoch(EpochAdopted(View(1, members), Configuration.empty()), 0.0)
    return OrdersTask(book, pools, make_process_clock(), budget)


def stored_answer(key):
    """Return a StoredOrder with an answer."""
    answer = Answer(200, KeptResponse("POST", [["A", "b"]], bytes(BODY_BYTES)))
    return StoredOrder("shop", key, DONE, answer, 0.0, "")


def test_orders_that_peers_replicate_count_in_the_budget():
    """Guards against copies of answers that are in memory and in no budget."""
    budget = ByteBudget(LIMIT_BYTES)
    with ExitStack() as stack:
        task = make_task(budget)
        task.start(stack)
        for i in range(10):
            raw = encode_orders("vm2", SendOrders("vm1", [stored_answer(f"k{i}")]))
            task.answer_peer(raw, "", lambda line, items: None)
    assert BODY_BYTES < budget.n_held_bytes <= LIMIT_BYTES / 2
    assert task.book.memory.n_dropped > 0


def test_a_backup_without_memory_refuses_an_order_and_stores_a_transfer():
    """Guards against a backup that long keys fill, or that no transfer reaches."""
    with ExitStack() as stack:
        task = make_task(ByteBudget(LIMIT_BYTES))
        task.start(stack)
        stored = StoredOrder("shop", "k" * LIMIT_BYTES, OPEN, None, 0.0, "vm2", 1)
        statuses = []
        for message in (
            SendOrders("vm1", [stored]),
            split_transfer(SendOrders("vm1", [stored] * 2, 1, False, 1))[0],
        ):
            raw = encode_orders("vm2", message)
            query = orders_path(message).partition("?")[2]
            task.answer_peer(raw, query, lambda line, items: statuses.append(line[:3]))
    assert statuses == ["503", "200"]


@pytest.mark.parametrize("n_held_bytes", [0, LIMIT_BYTES])
def test_an_answer_is_copied_to_a_peer_only_if_its_copies_find_memory(n_held_bytes):
    """Guards against copies of answers that fill the memory while a peer is slow."""
    budget = ByteBudget(LIMIT_BYTES)
    budget.add(n_held_bytes)
    held, bodies = [], []

    def post(address, exchange):
        held.append(budget.n_held_bytes - n_held_bytes)
        bodies.append(bytes(exchange.request_bytes).partition(b"\r\n\r\n")[2])

    task = make_task(budget, SimpleNamespace(post=post))
    task._send_orders(SendOrders("vm2", [stored_answer("k")]))
    (stored,) = decode_orders(bodies[0]).orders
    if n_held_bytes:
        assert stored.outcome.certainty == OUTCOME_UNKNOWN
    else:
        assert len(stored.outcome.payload.body) == BODY_BYTES
        assert held[0] > BODY_BYTES
    assert budget.n_held_bytes == n_held_bytes
