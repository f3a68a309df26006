"""What no longer counts is not kept by a task that waits, without a collection."""

import weakref
from contextlib import ExitStack

import gevent
import pytest
from gevent.queue import SimpleQueue
from hornbeamstand_core.messages import SendFailure
from hornbeamstand_entry.clock import make_process_clock
from hornbeamstand_entry.edge.context import EdgeContext
from hornbeamstand_entry.tasks.exchange import Exchange
from hornbeamstand_entry.tasks.response_parser import InterimResponse
from hornbeamstand_entry.tasks.task import Task, start_loop

from tests.scripted_server import REQUEST, start

# Timeout that ends no exchange.
PATIENCE_MS = 30_000.0


class RequestBytes(bytearray):
    """A request that can be referred to weakly."""


class Message:
    """A message that can be referred to weakly."""


pytestmark = pytest.mark.usefixtures("no_collection")


def start_exchange(pool, mailbox=None):
    """Return an exchange in progress and the reference of its request."""
    raw = RequestBytes(REQUEST)
    not_after_ms = pool.clock.now_ms() + PATIENCE_MS
    reply_to = mailbox or SimpleQueue()
    exchange = Exchange("GET", raw, not_after_ms, False, 1000, reply_to)
    pool.task.post(exchange)
    return exchange, weakref.ref(raw)


def is_freed(reference):
    """Return whether an object is freed within a few turns of the event loop."""
    for _ in range(100):
        if reference() is None:
            return True
        gevent.sleep(0.001)
    return False


def test_an_idle_connection_does_not_keep_its_last_request(stack):
    server, pool = start(stack)
    exchange, request = start_exchange(pool)
    assert not isinstance(exchange.receive_result(PATIENCE_MS), SendFailure)
    del exchange
    assert is_freed(request)
    assert server.n_open == 1


def test_a_pool_does_not_keep_the_last_connection_that_was_closed(stack):
    server, pool = start(stack)
    server.behave = lambda connection, n_request: "none"
    exchange, request = start_exchange(pool)
    while not exchange.is_whole_sent:
        gevent.sleep(0.001)
    exchange.cancel()
    del exchange
    assert is_freed(request)


def test_a_response_that_came_too_late_does_not_keep_itself(stack):
    _, pool = start(stack)
    exchange, request = start_exchange(pool)
    while exchange.reply_to.empty():
        gevent.sleep(0.001)
    exchange.cancel()
    del exchange
    assert is_freed(request)


@pytest.mark.parametrize("place", ["mailbox", "pending"])
def test_a_request_that_ends_does_not_keep_the_response_to_its_other_send(stack, place):
    _, pool = start(stack)
    context = EdgeContext("r", "GET", "/", [], b"")
    requests = []
    for _ in range(2):
        exchange, request = start_exchange(pool, context.mailbox)
        context.exchanges.append(exchange)
        context.key_by_exchange[exchange] = "permit"
        requests.append(request)
        del exchange
    while context.mailbox.qsize() < 2:
        gevent.sleep(0.001)
    if place == "pending":
        context.pending.append(context.mailbox.get())
    for exchange in context.key_by_exchange:
        exchange.cancel()
    context.release_answers()
    del context, exchange
    assert all(map(is_freed, requests))


def test_a_task_that_waits_does_not_keep_its_last_message():
    task, clock = Task("task"), make_process_clock()
    with ExitStack() as stack:
        start_loop(task, lambda message: None, lambda: PATIENCE_MS, clock, stack)
        message = Message()
        reference = weakref.ref(message)
        task.post(message)
        del message
        assert is_freed(reference)


def test_an_interim_response_that_came_too_late_is_dropped():
    """Guards against errors of exchanges that are cancelled while they read."""
    exchange = Exchange("GET", b"", 0.0, False, 1000, SimpleQueue())
    exchange.cancel()
    exchange.report(InterimResponse([]))
    assert exchange.is_cancelled
