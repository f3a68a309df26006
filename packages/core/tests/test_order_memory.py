"""The memory of orders: which answers are dropped, and what resends get then."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hornbeamstand_core.config import Configuration, ServiceSpec
from hornbeamstand_core.controllers.orders.order_book import RETENTION_MS, OrderBook
from hornbeamstand_core.controllers.orders.order_memory import (
    ORDER_BYTES,
    OrderMemory,
    order_bytes,
)
from hornbeamstand_core.messages import NOT_RUN, OUTCOME_UNKNOWN, Answer, Refusal
from hornbeamstand_core.order_messages import (
    DONE,
    DROPPED,
    OPEN,
    EpochAdopted,
    OrderCompleted,
    OrdersReceived,
    RecordOutcome,
    ReserveOrder,
    SendOrders,
    StoredOrder,
)
from hornbeamstand_core.view import Member, View

SERVICE = "shop"
SERVICE_KEY_BYTES = order_bytes(SERVICE, "k0")


def make_book(limit_bytes, *peer_ids):
    """Return the book of a VM, vm0; the payload of an answer is its size."""
    memory = OrderMemory(limit_bytes, lambda answer: answer.payload)
    book = OrderBook("vm0", 0.0, memory=memory)
    members = {name: Member(name, "", "", "fd0") for name in ("vm0", *peer_ids)}
    configuration = Configuration({SERVICE: ServiceSpec({})}, {})
    book.adopt_epoch(EpochAdopted(View(1, members), configuration), 0.0)
    return book


def reserve(book, key, now_ms=0.0):
    """Return the reply to a new send of a key."""
    message = ReserveOrder(SERVICE, key, key, now_ms + 1000.0, 0, False)
    (reply,) = book.reserve(message, now_ms)
    return reply.reply


def run(book, key, n_bytes, now_ms=0.0):
    """Let a key run with an answer of a size."""
    attempt = reserve(book, key, now_ms).attempt
    book.record_outcome(
        RecordOutcome(SERVICE, key, Answer(200, n_bytes), attempt), now_ms
    )


def kept_sizes(book, keys):
    """Return the size of the answer that a resend of each key gets, None if unknown."""
    outcomes = [reserve(book, key).outcome for key in keys]
    for outcome in outcomes:
        assert isinstance(outcome, Answer) or outcome.certainty == OUTCOME_UNKNOWN
    return [getattr(outcome, "payload", None) for outcome in outcomes]


def test_a_resend_of_a_dropped_answer_is_not_run_again():
    """Guards against a second run once the answer of an order was dropped."""
    book = make_book(2 * SERVICE_KEY_BYTES)
    run(book, "k0", 10_000)
    reply = reserve(book, "k0")
    assert isinstance(reply, OrderCompleted)
    assert isinstance(reply.outcome, Refusal)
    assert reply.outcome.certainty == OUTCOME_UNKNOWN


def test_large_answers_are_dropped_before_small_ones_and_old_before_new():
    """Guards against a few long answers that cost the short ones of others."""
    book = make_book(4 * SERVICE_KEY_BYTES + 120_000)
    sizes = [10, 100_000, 100_001, 10]
    for i, n_bytes in enumerate(sizes):
        run(book, f"k{i}", n_bytes)
    keys = [f"k{i}" for i in range(4)]
    assert kept_sizes(book, keys) == [10, None, 100_001, 10]


def test_resends_that_wait_get_the_whole_answer_that_is_dropped():
    """Guards against an answer that is dropped before its waiters get it."""
    book = make_book(2 * SERVICE_KEY_BYTES)
    attempt = reserve(book, "k0").attempt
    waiter = ReserveOrder(SERVICE, "k0", "resend", 1000.0, 0, False)
    assert book.reserve(waiter, 0.0) == []
    answer = Answer(200, 10_000)
    (reply,) = book.record_outcome(RecordOutcome(SERVICE, "k0", answer, attempt), 0.0)
    assert reply.reply.outcome is answer
    assert kept_sizes(book, ["k0"]) == [None]


def test_copies_of_peers_count():
    """Guards against answers that only the backup keeps, in no limit."""
    book = make_book(3 * SERVICE_KEY_BYTES + 1000, "vm1")
    for i in range(3):
        stored = StoredOrder(SERVICE, f"k{i}", DONE, Answer(200, 1000), 0.0, "")
        book.note_received(OrdersReceived("vm1", [stored], 0, False), 0.0)
    assert book.memory.n_bytes <= 3 * SERVICE_KEY_BYTES + 1000
    assert book.memory.n_dropped == 2


def test_a_transfer_names_the_orders_whose_answers_were_dropped():
    """Guards against a key that its next primary takes for a new one."""
    book = make_book(SERVICE_KEY_BYTES)
    run(book, "k0", 10_000)
    members = {name: Member(name, "", "", "fd0") for name in ("vm0", "vm1")}
    message = EpochAdopted(View(2, members), book.configuration)
    (sent,) = [m for m in book.adopt_epoch(message, 0.0) if type(m) is SendOrders]
    (stored,) = sent.orders
    assert stored.state == DONE
    assert stored.outcome.certainty == OUTCOME_UNKNOWN


def test_new_orders_are_refused_once_orders_alone_take_the_limit():
    """Guards against long keys, which can't be dropped, that fill the memory."""
    book = make_book(3 * SERVICE_KEY_BYTES)
    for i in range(3):
        run(book, f"k{i}", 10_000)
    refusal = reserve(book, "k3")
    assert refusal.certainty == NOT_RUN
    assert book.memory.n_bytes <= 3 * SERVICE_KEY_BYTES
    assert kept_sizes(book, ["k0", "k1", "k2"]) == [None] * 3


@pytest.mark.parametrize(
    ("key", "state", "config_version", "has_room"),
    [
        ("new", OPEN, 0, False),
        ("new", DONE, 0, False),
        ("new", DROPPED, 0, True),
        ("k0", DONE, 0, True),
        ("new", OPEN, 3, True),
        ("new", OPEN, None, True),
    ],
)
def test_a_full_backup_stores_transfers_and_what_it_knows(
    key, state, config_version, has_room
):
    """Guards against copies that fill a backup, and a transfer that can't end."""
    book = make_book(SERVICE_KEY_BYTES, "vm1")
    first = StoredOrder(SERVICE, "k0", OPEN, None, 0.0, "vm1", 1)
    book.note_received(OrdersReceived("vm1", [first], 0, False, 0), 0.0)
    stored = StoredOrder(SERVICE, key, state, None, 0.0, "vm1", 1)
    message = OrdersReceived("vm1", [stored], 0, False, config_version)
    assert book.has_room_for(message) == has_room


@given(st.lists(st.integers(0, 40_000), max_size=40), st.integers(ORDER_BYTES, 200_000))
def test_what_is_kept_stays_within_the_limit_and_ends_at_zero(sizes, limit_bytes):
    """Guards against bytes that count twice or for ever."""
    book = make_book(limit_bytes)
    for i, n_bytes in enumerate(sizes):
        if book.memory.has_room(SERVICE, f"k{i}"):
            run(book, f"k{i}", n_bytes, float(i))
        assert book.memory.n_bytes <= limit_bytes
    book.tick(RETENTION_MS + len(sizes) + 1.0)
    assert len(book) == 0
    assert book.memory.n_bytes == 0
