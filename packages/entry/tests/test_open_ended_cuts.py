"""Responses without a length whose connection is reset instead of ended."""

from tests.open_ended_target import PART, OpenEndedTarget


def test_an_error_that_the_reader_of_a_response_misses_is_reported(stack):
    target = OpenEndedTarget(stack)
    target.reset()
    target.exchange.may_have_arrived()
    target.receive_result()
    (report,) = target.reports
    fields = report.describe()
    assert (fields["at"], fields["request"]) == (target.pool.address, "a7")
    assert (fields["step"], fields["n_body_bytes"]) == ("look", len(PART))
    assert "ConnectionResetError" in fields["reason"]
    assert target.reads.gauges()["response_errors_look"]() == 1


def test_an_error_that_the_reader_of_a_response_gets_is_counted_alone(stack):
    target = OpenEndedTarget(stack)
    target.reset()
    target.receive_result()
    assert target.reports == []
    assert target.reads.gauges()["response_errors_read"]() == 1
