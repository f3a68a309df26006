"""What was read of a response is freed without a collection once it counts no more."""

import weakref

import pytest

from tests.partial_responses import N_SENT_BYTES, PATIENCE_MS, PartialReader

pytestmark = pytest.mark.usefixtures("no_collection")


def begin_response(stack):
    """Return a PartialReader, an exchange in progress and its parser's reference."""
    reader = PartialReader(stack, N_SENT_BYTES, closes=False)
    exchange = reader.start()
    reader.wait_for(lambda: reader.budget.n_held_bytes == N_SENT_BYTES)
    return reader, exchange, weakref.ref(exchange.connection.parser)


def test_a_cancelled_exchange_keeps_nothing_of_its_response(stack):
    reader, exchange, parser = begin_response(stack)
    exchange.cancel(has_timed_out=True)
    reader.wait_for(lambda: reader.budget.n_held_bytes == 0)
    del exchange
    reader.wait_for(lambda: parser() is None)


def test_the_memory_of_a_cancelled_exchange_is_free_before_it_counts_as_free(stack):
    reader, exchange, parser = begin_response(stack)
    read = parser()
    exchange.cancel()
    reader.wait_for(lambda: reader.budget.n_held_bytes == 0)
    assert read._pieces == []


def test_an_incomplete_response_keeps_nothing(stack):
    reader, exchange, parser = begin_response(stack)
    reader.ending.set()
    exchange.receive_result(PATIENCE_MS)
    reader.wait_for(lambda: parser() is None)
