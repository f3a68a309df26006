"""Targets whose responses never end get no further requests for a while."""

import pytest
from tests.edge_driver import SUCCESS, Driver, send_ends, wait_times_out
from tests.edge_parts import ServiceHarness, make_entry

from hornbeamstand_core.controllers.targets.learning import RUNAWAY_MIN_BYTES
from hornbeamstand_core.edge_messages import Abort
from hornbeamstand_core.event_messages import CallerDisconnected
from hornbeamstand_core.messages import CANCELLED, Release, SendFailure

MANY_BYTES = 2 * RUNAWAY_MIN_BYTES


def cancel_sends(harness, n_read_bytes, n_sends=2):
    """Cancel sends to the target t1 after so many bytes of each response."""
    permits = [harness.acquire() for _ in range(n_sends)]
    for permit in permits:
        assert permit.target_id == "t1"
        failure = SendFailure(CANCELLED, True, "t1", n_read_bytes)
        harness.service.release(Release(permit, failure), harness.now_ms)


@pytest.fixture
def harness():
    """A service whose only target of this domain is t1; its requests take 300 ms."""
    made = ServiceHarness([make_entry("t1", "a"), make_entry("t2", "b")])
    made.service.mean_ms = 300.0
    return made


def test_a_target_whose_responses_do_not_end_is_ejected(harness):
    """Answers targets that send bytes without end, whose requests hedges rescue."""
    cancel_sends(harness, MANY_BYTES)
    harness.now_ms += 100.0
    assert harness.acquire().target_id == "t2"


def test_cancelled_sends_with_little_read_eject_no_target(harness):
    cancel_sends(harness, 1000)
    harness.now_ms += 100.0
    assert harness.acquire().target_id == "t1"


def test_long_responses_of_a_service_that_has_them_eject_no_target(harness):
    """Answers callers that leave while they read long responses."""
    for _ in range(100):
        harness.service.leaving.note_size(MANY_BYTES)
    cancel_sends(harness, MANY_BYTES)
    harness.now_ms += 100.0
    assert harness.acquire().target_id == "t1"


def run_with_long_response(*events):
    """Run a call; return the results of its releases by target."""
    driver = Driver()
    perform = driver.perform

    def abort(effect, events):
        if isinstance(effect, Abort):
            return MANY_BYTES
        return perform(effect, events)

    driver.perform = abort
    driver.run(*events)
    releases = driver.effects_of(Release)
    return {effect.permit.target_id: effect.result for effect in releases}


def test_the_end_of_a_cancelled_send_says_how_much_was_read():
    read = run_with_long_response(wait_times_out, send_ends(1, SUCCESS))["t1"]
    assert (read.kind, read.n_read_bytes) == (CANCELLED, MANY_BYTES)


def test_a_caller_that_leaves_a_long_response_says_nothing_of_its_target():
    """Guards against clients that eject all targets by leaving their answers."""
    read = run_with_long_response(CallerDisconnected(10.0))["t1"]
    assert (read.kind, read.n_read_bytes) == (CANCELLED, 0)
