"""What a target says of itself takes effect with the next decision."""

import pytest
from tests.edge_parts import ServiceHarness, is_permit, make_entry, needs_probes

from hornbeamstand_core.balancer_messages import SendProbe
from hornbeamstand_core.edge_messages import (
    LoadReport,
    StateChange,
    TargetNotice,
)
from hornbeamstand_core.load_probe_messages import LoadProbeResult
from hornbeamstand_core.messages import Refusal, Release, UpstreamResponse

PAUSE_MS = 5000.0


def release(harness, permit, notice, status=200):
    """Release a permit with a response that has a notice; return the messages."""
    did_not_run = status >= 400
    response = UpstreamResponse(status, did_not_run=did_not_run, notice=notice)
    return harness.service.release(Release(permit, response), harness.now_ms)


def report(harness, name, notice, started_wall_ms=None):
    """Deliver the answer to a load probe that has a notice; return the messages."""
    load = LoadReport(0, 0, 3, 1.0)
    result = LoadProbeResult("shop", name, load, True, notice, started_wall_ms)
    return harness.service.note_load(result, harness.now_ms)


def send_to(harness, name):
    """Request a slot of one target, without waiting for it; return the reply."""
    others = [key for key in harness.service.targets if key != name]
    reply = harness.acquire(excluded_ids=others)
    harness.service.waiting.clear()
    return reply


def events(messages):
    return [m.event for m in messages if isinstance(m, StateChange)]


@pytest.mark.parametrize("status", [200, 500, 503])
def test_a_target_that_says_that_it_leaves_gets_no_new_request(status):
    harness = ServiceHarness([make_entry("t1"), make_entry("t2")])
    out = release(harness, send_to(harness, "t1"), TargetNotice(True), status)
    assert events(out) == ["leaving"]
    assert {harness.acquire().target_id for _ in range(2)} == {"t2"}
    assert not is_permit(send_to(harness, "t1"))


def test_a_leaving_target_stays_closed_while_its_entry_says_ready():
    harness = ServiceHarness([make_entry("t1")])
    report(harness, "t1", TargetNotice(True))
    harness.table.put(make_entry("t1"), harness.now_ms)
    assert isinstance(harness.acquire(), Refusal)


def remove_entry(harness):
    harness.table.remove(make_entry("t1").key, harness.now_ms)


def clear_entries(harness):
    harness.table.clear()


@pytest.mark.parametrize("lose", [remove_entry, clear_entries])
@pytest.mark.parametrize(
    "notice", [TargetNotice(True), TargetNotice(pause_ms=PAUSE_MS)]
)
def test_a_notice_holds_when_the_entry_of_the_same_start_comes_back(lose, notice):
    """Guards against requests to a leaving target whose entry was away for a moment."""
    harness = ServiceHarness([make_entry("t1")])
    report(harness, "t1", notice)
    lose(harness)
    harness.table.replace_all([make_entry("t1")], harness.now_ms)
    assert isinstance(harness.acquire(), Refusal)


@pytest.mark.parametrize("lose", [remove_entry, clear_entries])
@pytest.mark.parametrize("starts_ms", [(1, 2), (0, 0)])
def test_a_newer_start_is_used_after_the_entry_of_a_leaving_target_went(
    lose, starts_ms
):
    """Without the time of its start, an entry that comes back may be a newer one."""
    earlier, later = (make_entry("t1", started_wall_ms=ms) for ms in starts_ms)
    harness = ServiceHarness([earlier])
    report(harness, "t1", TargetNotice(True))
    lose(harness)
    harness.table.replace_all([later], harness.now_ms)
    assert is_permit(harness.acquire())


def test_the_answer_of_an_earlier_start_to_a_load_probe_says_nothing_of_a_newer_one():
    """Guards against a restarted target that gets no request again."""
    harness = ServiceHarness([make_entry("t1", started_wall_ms=1)])
    harness.table.put(make_entry("t1", started_wall_ms=2), harness.now_ms)
    report(harness, "t1", TargetNotice(True), started_wall_ms=1)
    assert is_permit(harness.acquire())
    report(harness, "t1", TargetNotice(True), started_wall_ms=2)
    assert isinstance(harness.acquire(), Refusal)


def test_a_newer_start_of_a_leaving_target_is_used_again():
    harness = ServiceHarness([make_entry("t1")])
    report(harness, "t1", TargetNotice(True))
    harness.table.put(make_entry("t1", started_wall_ms=2), harness.now_ms)
    assert is_permit(harness.acquire())


def test_a_paused_target_gets_neither_requests_nor_probes_until_its_pause_ends():
    harness = ServiceHarness([make_entry("t1"), make_entry("t2")])
    notice = TargetNotice(pause_ms=PAUSE_MS)
    out = release(harness, send_to(harness, "t1"), notice, 503)
    assert events(out) == ["paused"]
    harness.now_ms += PAUSE_MS - 1.0
    reply = harness.acquire(n_probe_rounds=0)
    assert needs_probes(reply)
    assert [probe.target_id for probe in reply.probes] == ["t2"]
    assert not is_permit(send_to(harness, "t1"))
    harness.now_ms += 1.0
    assert send_to(harness, "t1").target_id == "t1"


def test_a_shorter_pause_does_not_end_a_longer_one():
    harness = ServiceHarness([make_entry("t1")])
    report(harness, "t1", TargetNotice(pause_ms=PAUSE_MS))
    report(harness, "t1", TargetNotice(pause_ms=10.0))
    harness.now_ms = 100.0
    assert isinstance(harness.acquire(), Refusal)


def test_callers_are_told_when_the_first_pause_ends_if_every_target_is_paused():
    harness = ServiceHarness([make_entry("t1"), make_entry("t2")])
    report(harness, "t1", TargetNotice(pause_ms=PAUSE_MS))
    report(harness, "t2", TargetNotice(pause_ms=2 * PAUSE_MS))
    delays_ms = {harness.acquire().retry_after_ms for _ in range(20)}
    assert len(delays_ms) > 10
    assert PAUSE_MS <= min(delays_ms) < max(delays_ms) <= 2 * PAUSE_MS


def test_waiting_requests_are_refused_at_once_when_the_last_target_pauses():
    harness = ServiceHarness([make_entry("t1", n_slots=1)])
    permit = harness.acquire()
    assert harness.acquire() is None
    out = release(harness, permit, TargetNotice(pause_ms=PAUSE_MS), 503)
    assert isinstance(harness.first_reply(out), Refusal)
    assert not harness.service.waiting


def test_the_cold_rate_holds_from_the_notice_on_and_counts_the_sends_before():
    harness = ServiceHarness([make_entry("t1", n_slots=50)])
    harness.now_ms = 10.0
    assert all(is_permit(send_to(harness, "t1")) for _ in range(5))
    out = report(harness, "t1", TargetNotice(cold_ms=3000.0))
    assert events(out) == ["cold"]
    assert not is_permit(send_to(harness, "t1"))
    harness.now_ms = 1100.0
    replies = [send_to(harness, "t1") for _ in range(9)]
    assert len([reply for reply in replies if is_permit(reply)]) == 3


def test_an_entry_does_not_shorten_a_cold_start_that_the_target_stated():
    harness = ServiceHarness([make_entry("t1")])
    report(harness, "t1", TargetNotice(cold_ms=3000.0))
    harness.table.put(make_entry("t1", cold_remaining_ms=100.0), harness.now_ms)
    assert harness.service.targets["t1"].is_cold(2999.0)


def send_steadily(harness, n_requests, interval_ms):
    """Send requests that the target answers at once; return the probes sent."""
    probes = []
    for i in range(n_requests):
        harness.now_ms += interval_ms
        message = harness.make_acquire(f"s{i}")
        out = harness.service.acquire(message, harness.now_ms)
        probes += [m for m in out if isinstance(m, SendProbe)]
        harness.release(harness.first_reply(out), report=LoadReport(0, 0, 50, 1.0))
    return probes


def test_a_busy_target_is_asked_whether_it_is_cold_though_its_speed_is_known():
    harness = ServiceHarness([make_entry("t1", n_slots=50)])
    assert len(send_steadily(harness, 100, 20.0)) >= 15


def test_a_target_with_few_requests_is_not_asked_whether_it_is_cold():
    harness = ServiceHarness([make_entry("t1", n_slots=50)])
    assert send_steadily(harness, 10, 250.0) == []


def test_what_another_target_says_at_the_address_is_not_taken_for_this_one():
    harness = ServiceHarness([make_entry("t1"), make_entry("t2")])
    release(harness, send_to(harness, "t1"), TargetNotice(True), 421)
    assert not harness.service.targets["t1"].is_leaving


def test_a_value_that_cannot_be_used_is_logged_once():
    harness = ServiceHarness([make_entry("t1")])
    notice = TargetNotice(ignored="Retry-After is 'soon', expected a duration")
    assert events(report(harness, "t1", notice)) == ["notice ignored"]
    assert events(report(harness, "t1", notice)) == []
    assert is_permit(harness.acquire())
