"""Choice of targets, queue, cold starts and retry budget of one service."""

import pytest
from tests.edge_parts import ServiceHarness, is_permit, make_entry, needs_probes

from hornbeamstand_core.balancer_messages import SendProbe
from hornbeamstand_core.controllers.load.placing import usable_slots
from hornbeamstand_core.controllers.load.retry_window import RetryWindow
from hornbeamstand_core.discovery import DRAINING
from hornbeamstand_core.edge_messages import HEDGE, RETRY, LoadReport
from hornbeamstand_core.messages import (
    CANCELLED,
    CONNECT_FAILED,
    NO_DESCRIPTOR,
    NOT_RUN,
    TIMED_OUT,
    Refusal,
    Release,
    SendFailure,
)


@pytest.mark.parametrize(
    ("n_slots", "expected"), [(1, 1), (2, 2), (3, 2), (4, 3), (6, 4), (8, 6)]
)
def test_targets_are_kept_below_their_knee(n_slots, expected):
    assert usable_slots(n_slots) == expected


def test_no_target_gets_more_than_its_usable_slots():
    harness = ServiceHarness([make_entry("t1"), make_entry("t2")])
    permits = [harness.acquire() for _ in range(4)]
    assert all(is_permit(permit) for permit in permits)
    assert harness.acquire() is None
    messages = harness.release(permits[0])
    assert is_permit(harness.first_reply(messages))


def test_a_request_whose_deadline_has_passed_gets_no_slot():
    """Guards against a late VM that sends what nobody waits for any more."""
    harness = ServiceHarness([make_entry("t1")])
    refusal = harness.acquire(deadline_ms=0.0)
    assert (refusal.reason, refusal.certainty) == ("deadline passed", NOT_RUN)
    assert is_permit(harness.acquire())


def test_a_draining_target_gets_no_new_requests():
    harness = ServiceHarness([make_entry("t1"), make_entry("t2")])
    harness.table.put(make_entry("t1", state=DRAINING), harness.now_ms)
    targets = {harness.acquire().target_id for _ in range(2)}
    assert targets == {"t2"}


def test_an_out_of_service_domain_gets_no_requests_and_returns_cold():
    harness = ServiceHarness([make_entry("t1", "a"), make_entry("t2", "b")])
    harness.service.out_of_service_domains = frozenset(["a"])
    assert {harness.acquire().target_id for _ in range(2)} == {"t2"}
    harness.service.out_of_service_domains = frozenset()
    harness.table.begin_cold("a", harness.now_ms)
    assert harness.service.targets["t1"].is_cold(harness.now_ms)


def test_a_cold_target_stays_within_its_rate_limit_in_any_second():
    harness = ServiceHarness([make_entry("t1", n_slots=50, cold_remaining_ms=5000.0)])
    sent_at_ms = []
    for _ in range(300):
        harness.now_ms += 10.0
        reply = harness.acquire(objective_ms=10.0, deadline_ms=10.0)
        if is_permit(reply):
            sent_at_ms.append(harness.now_ms)
            harness.release(reply)
    for start_ms in sent_at_ms:
        within = [t for t in sent_at_ms if start_ms <= t < start_ms + 1000.0]
        assert len(within) <= 3


def test_a_vm_that_does_not_own_the_service_uses_less_of_the_cold_start_rate():
    """Its share of the 3 requests a second is less than one request a second."""
    harness = ServiceHarness(
        [make_entry("t1", cold_remaining_ms=5000.0)], is_owner=False
    )
    assert not is_permit(harness.acquire(objective_ms=10.0, deadline_ms=10.0))


def test_a_target_that_starts_while_watched_is_cold_whatever_it_reports():
    harness = ServiceHarness([make_entry("t1")])
    harness.table.put(make_entry("t2", started_wall_ms=9), harness.now_ms)
    assert harness.service.targets["t2"].is_cold(harness.now_ms)


def test_a_restarted_target_has_no_requests_in_flight():
    harness = ServiceHarness([make_entry("t1")])
    harness.acquire()
    harness.table.put(make_entry("t1", started_wall_ms=2), harness.now_ms)
    assert harness.service.targets["t1"].n_in_flight(harness.now_ms) == 0


# Slowdowns that change several times a second.


def report_slowdowns(harness, **slowdowns):
    """Report the current slowdown of targets."""
    for name, slowdown in slowdowns.items():
        harness.report_load(name, slowdown)


def test_targets_with_an_outdated_slowdown_are_probed_first():
    harness = ServiceHarness([make_entry("t1"), make_entry("t2")])
    report_slowdowns(harness, t1=1.0, t2=1.0)
    harness.now_ms += 100.0
    reply = harness.acquire(n_probe_rounds=0)
    assert needs_probes(reply)
    assert {probe.target_id for probe in reply.probes} == {"t1", "t2"}


def test_a_target_that_is_known_to_be_fast_needs_no_probe():
    harness = ServiceHarness([make_entry("t1"), make_entry("t2")])
    report_slowdowns(harness, t1=1.0, t2=4.0)
    reply = harness.acquire(n_probe_rounds=0)
    assert reply.target_id == "t1"
    assert reply.speed_class == "fast"


def test_a_request_waits_for_the_end_of_a_slow_phase():
    """The only target is slow for 100 ms, and a send in that time takes too long."""
    harness = ServiceHarness([make_entry("t1")])
    report_slowdowns(harness, t1=4.0)
    assert harness.acquire() is None
    harness.now_ms += 100.0
    messages = harness.report_load("t1", 1.0)
    assert harness.first_reply(messages).speed_class == "fast"


def test_a_request_stops_waiting_for_a_fast_target_before_its_objective():
    harness = ServiceHarness([make_entry("t1")])
    report_slowdowns(harness, t1=4.0)
    assert harness.acquire(objective_ms=600.0) is None
    harness.now_ms += 235.0
    assert not is_permit(harness.first_reply(harness.report_load("t1", 4.0)))
    harness.now_ms += 10.0
    assert harness.first_reply(harness.report_load("t1", 4.0)).speed_class == "slow"


def test_targets_are_probed_again_while_requests_wait():
    harness = ServiceHarness([make_entry("t1")])
    report_slowdowns(harness, t1=4.0)
    harness.acquire()
    harness.now_ms += 60.0
    probes = [
        m for m in harness.service.drain(harness.now_ms) if isinstance(m, SendProbe)
    ]
    assert [probe.target_id for probe in probes] == ["t1"]


def test_a_load_report_does_not_count_the_request_that_returned_it():
    harness = ServiceHarness([make_entry("t1", n_slots=2)])
    permit = harness.acquire()
    harness.release(permit, report=LoadReport(1, 0, 2, 1.0))
    assert harness.service.targets["t1"].n_in_flight(harness.now_ms) == 0


def test_requests_of_other_vms_occupy_slots():
    harness = ServiceHarness([make_entry("t1", n_slots=2)])
    harness.report_load("t1", 1.0, n_running=2)
    assert harness.acquire() is None


# Refusals.


def test_a_request_that_cannot_be_served_is_refused_at_once():
    harness = ServiceHarness([])
    reply = harness.acquire()
    assert isinstance(reply, Refusal)
    assert reply.status == 503
    assert reply.retry_after_ms > 0


def test_a_wait_beyond_the_objective_is_refused_at_once():
    harness = ServiceHarness([make_entry("t1")])
    harness.service.mean_ms = 400.0
    for _ in range(2):
        assert is_permit(harness.acquire())
    replies = [harness.acquire(objective_ms=600.0, deadline_ms=700.0) for _ in range(3)]
    assert any(isinstance(reply, Refusal) for reply in replies)


def test_the_request_with_the_higher_priority_is_served_first():
    harness = ServiceHarness([make_entry("t1", n_slots=1)])
    permit = harness.acquire()
    assert harness.acquire(request_id="late", priority=5) is None
    assert harness.acquire(request_id="urgent", priority=0) is None
    replies = [m for m in harness.release(permit) if hasattr(m, "reply")]
    assert replies[0].request_id == "urgent"


def test_a_queued_request_of_a_disconnected_caller_is_withdrawn():
    harness = ServiceHarness([make_entry("t1", n_slots=1)])
    harness.acquire()
    assert harness.acquire(request_id="gone") is None
    reply = harness.first_reply(harness.service.withdraw("gone", harness.now_ms))
    assert reply.reason == CANCELLED
    assert not harness.service.waiting


# Retries and hedges.


def test_no_hedge_while_the_targets_are_busy():
    harness = ServiceHarness([make_entry("t1")])
    # A VM has its full share of the slack once it has owned the service for a window.
    harness.service.retry_window.note_owner(True, -10_000.0)
    harness.acquire()
    harness.acquire()
    assert isinstance(harness.acquire(HEDGE), Refusal)


def test_a_retry_goes_to_another_target():
    harness = ServiceHarness([make_entry("t1"), make_entry("t2")])
    # A VM has its full share of the slack once it has owned the service for a window.
    harness.service.retry_window.note_owner(True, -10_000.0)
    first = harness.acquire()
    second = harness.acquire(RETRY, excluded_ids=(first.target_id,))
    assert second.target_id != first.target_id


def test_retries_stay_within_ratio_and_slack_over_every_window():
    window = RetryWindow(0.2, 56.0, 10_000.0)
    window.note_owner(True, -10_000.0)
    n_first = n_retries = 0
    for tick in range(1000):
        now_ms = tick * 10.0
        window.note_first(now_ms)
        n_first += 1
        if window.n_left(1, 1, now_ms) >= 1.0:
            window.note_retry(now_ms)
            n_retries += 1
    assert n_retries <= 0.2 * n_first + 56.0


def test_retries_stay_within_one_slack_over_a_change_of_owner():
    """The previous owner may have used all of its slack just before the change."""
    n_retries = 0
    for took_over_at_ms in (-20_000.0, 0.0):
        window = RetryWindow(0.2, 56.0, 10_000.0)
        window.note_owner(True, took_over_at_ms)
        for now_ms in (0.0, 4900.0):
            while window.n_left(1, 1, now_ms) >= 1.0:
                window.note_retry(now_ms)
                n_retries += 1
    assert n_retries <= 56


def test_retries_stay_within_ratio_and_slack_over_hundreds_of_vms():
    """Each VM serves a few requests itself, as when the owners are cut off."""
    windows = [RetryWindow(0.2, 430.0, 10_000.0) for _ in range(400)]
    windows[0].note_owner(True, -20_000.0)
    n_first = n_retries = 0
    for window in windows:
        for _ in range(3):
            window.note_first(0.0)
            n_first += 1
        while window.n_left(1, len(windows), 0.0) >= 1.0:
            window.note_retry(0.0)
            n_retries += 1
    assert n_retries <= 0.2 * n_first + 430.0


def test_the_cold_rate_of_a_target_holds_over_all_vms_that_are_no_owners():
    """With a high rate, the share of each VM would allow one request a second."""
    n_sent = 0
    for _ in range(100):
        entry = make_entry("t1", n_slots=50, cold_remaining_ms=5000.0)
        harness = ServiceHarness([entry], is_owner=False)
        harness.service.rules.cold_rate_per_s = 10.0
        harness.n_vms = 100
        n_sent += is_permit(harness.acquire(objective_ms=10.0, deadline_ms=10.0))
    assert n_sent <= 10


# Failures.


def test_a_target_is_not_ejected_for_a_lack_of_descriptors():
    harness = ServiceHarness([make_entry("t1")])
    permit = harness.acquire()
    failure = SendFailure(NO_DESCRIPTOR, False, permit.address)
    harness.service.release(Release(permit, failure), harness.now_ms)
    assert is_permit(harness.acquire())


def test_an_unreachable_target_is_ejected_at_once():
    harness = ServiceHarness([make_entry("t1"), make_entry("t2")])
    permit = harness.acquire()
    failure = SendFailure(CONNECT_FAILED, False, permit.address)
    harness.service.release(Release(permit, failure), harness.now_ms)
    other = {"t1": "t2", "t2": "t1"}[permit.target_id]
    assert {harness.acquire().target_id for _ in range(2)} == {other}


def test_sends_that_this_vm_began_too_late_eject_no_target():
    """Guards against a late VM that finds no target for the requests that follow."""
    harness = ServiceHarness([make_entry("t1")])
    for _ in range(5):
        permit = harness.acquire()
        failure = SendFailure(TIMED_OUT, False, permit.address)
        harness.service.release(Release(permit, failure), harness.now_ms)
    target = harness.service.targets["t1"]
    assert target.ejected_until_ms < harness.now_ms
    assert target.error_share_now(harness.now_ms) == 0.0


def test_a_target_whose_address_belongs_to_another_is_not_tried_again():
    harness = ServiceHarness([make_entry("t1"), make_entry("t2")])
    permit = harness.acquire()
    (decision,) = harness.release(permit, status=421, did_not_run=True)
    assert harness.acquire().target_id != permit.target_id
    assert decision.detail == "another target has the address for_ms=2500"


def test_a_target_that_sheds_with_free_capacity_is_not_marked_full():
    harness = ServiceHarness([make_entry("t1")])
    permit = harness.acquire()
    report = LoadReport(1, 0, 3, 1.0)
    harness.release(permit, status=503, report=report, did_not_run=True)
    assert is_permit(harness.acquire())


def test_an_entry_lost_in_a_store_outage_is_kept_until_it_could_reregister():
    harness = ServiceHarness([make_entry("t1")])
    harness.table.note_store_unavailable(harness.now_ms)
    harness.table.remove("servers/t1", harness.now_ms)
    assert "t1" in harness.service.targets
    harness.table.note_store_available(harness.now_ms)
    harness.now_ms += 1500.0
    harness.table.expire_suspects(harness.now_ms)
    assert "t1" in harness.service.targets
    harness.now_ms += 600.0
    harness.table.expire_suspects(harness.now_ms)
    assert "t1" not in harness.service.targets


def test_a_lost_entry_is_removed_at_once_while_the_store_is_available():
    harness = ServiceHarness([make_entry("t1")])
    harness.table.remove("servers/t1", harness.now_ms)
    assert not harness.service.targets
