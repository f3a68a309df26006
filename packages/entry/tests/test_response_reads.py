"""Figures of responses that are being read or were given up."""

import gevent
import pytest
from hornbeamstand_core.messages import SendFailure
from hornbeamstand_entry.tasks.response_parser import ResponseParser
from hornbeamstand_entry.tasks.response_reads import UnfinishedResponse

from tests.partial_responses import (
    HEAD,
    LENGTH,
    N_SENT_BYTES,
    PATIENCE_MS,
    PartialReader,
)


def test_a_response_that_breaks_off_is_reported_with_what_was_read(stack):
    reader = PartialReader(stack, N_SENT_BYTES, closes=True)
    result = reader.start().receive_result(PATIENCE_MS)
    assert isinstance(result, SendFailure)
    (unfinished,) = reader.reports
    fields = unfinished.describe()
    assert (fields["at"], fields["request"]) == (reader.address, "a7")
    assert (fields["status"], fields["length"]) == (200, str(LENGTH))
    assert fields["n_body_bytes"] == N_SENT_BYTES
    assert fields["n_received_bytes"] == len(HEAD) + N_SENT_BYTES
    assert "Incomplete response" in fields["reason"]


def test_a_response_in_progress_counts_until_its_request_is_cancelled(stack):
    reader = PartialReader(stack, N_SENT_BYTES, closes=False)
    exchange = reader.start()
    gauges = reader.reads.gauges()
    reader.wait_for(lambda: gauges["response_bytes_reading"]() == N_SENT_BYTES)
    exchange.cancel(has_timed_out=True)
    reader.wait_for(lambda: reader.reports)
    assert reader.reports[0].reason == "cancelled"
    assert gauges["response_bytes_reading"]() == 0
    assert gauges["responses_unfinished"]() == 1
    assert gauges["response_bytes_unfinished"]() == len(HEAD) + N_SENT_BYTES


@pytest.mark.parametrize("closes", [True, False])
def test_a_short_response_is_not_reported(stack, closes):
    reader = PartialReader(stack, 1000, closes)
    exchange = reader.start()
    exchange.receive_result(PATIENCE_MS if closes else 50.0)
    exchange.cancel()
    gevent.sleep(0.01)
    assert reader.reports == []


def test_a_length_that_is_reported_is_short():
    """Guards against log lines as long as a target likes."""
    parser = ResponseParser()
    length = b"0" * 60_000 + b"1000000"
    parser.feed(b"HTTP/1.1 200 OK\r\nContent-Length: %s\r\n\r\n" % length)
    unfinished = UnfinishedResponse("address", "a1", "cancelled", parser, 0)
    assert len(unfinished.length) <= 24
