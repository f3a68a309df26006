"""Placing, waiting, cold starts and budgets of one service, on a virtual clock."""

import pytest
from tests.edge_parts import Shop, entry, is_look, is_permit

from hornbeamstand_core.balancer_messages import SendProbe
from hornbeamstand_core.controllers.placing import usable_slots
from hornbeamstand_core.controllers.retry_window import RetryWindow
from hornbeamstand_core.discovery import DRAINING
from hornbeamstand_core.edge_messages import HEDGE, RETRY, LoadReport
from hornbeamstand_core.messages import (
    CANCELLED,
    CONNECT_FAILED,
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
    shop = Shop([entry("t1"), entry("t2")])
    permits = [shop.ask() for _ in range(4)]
    assert all(is_permit(permit) for permit in permits)
    assert shop.ask() is None
    served = shop.end(permits[0])
    assert is_permit(shop.reply(served))


def test_a_draining_target_gets_nothing_new():
    shop = Shop([entry("t1"), entry("t2")])
    shop.table.put(entry("t1", state=DRAINING), shop.now_ms)
    targets = {shop.ask().target_id for _ in range(2)}
    assert targets == {"t2"}


def test_a_domain_that_is_out_gets_nothing_and_comes_back_cold():
    shop = Shop([entry("t1", "a"), entry("t2", "b")])
    shop.service.out_of_service_domains = frozenset(["a"])
    assert {shop.ask().target_id for _ in range(2)} == {"t2"}
    shop.service.out_of_service_domains = frozenset()
    shop.table.begin_cold("a", shop.now_ms)
    assert shop.service.targets["t1"].is_cold(shop.now_ms)


def test_a_cold_target_gets_no_more_than_its_rate_in_any_second():
    shop = Shop([entry("t1", n_slots=50, cold_remaining_ms=5000.0)])
    sent_at_ms = []
    for _ in range(300):
        shop.now_ms += 10.0
        reply = shop.ask(objective_ms=10.0, deadline_ms=10.0)
        if is_permit(reply):
            sent_at_ms.append(shop.now_ms)
            shop.end(reply)
    for start_ms in sent_at_ms:
        within = [t for t in sent_at_ms if start_ms <= t < start_ms + 1000.0]
        assert len(within) <= 3


def test_a_vm_that_does_not_own_a_cold_target_sends_it_nothing():
    shop = Shop([entry("t1", cold_remaining_ms=5000.0)], owns=False)
    assert not is_permit(shop.ask(objective_ms=10.0, deadline_ms=10.0))


def test_a_target_that_starts_while_followed_is_cold_whatever_it_says():
    shop = Shop([entry("t1")])
    shop.table.put(entry("t2", started_wall_ms=9), shop.now_ms)
    assert shop.service.targets["t2"].is_cold(shop.now_ms)


def test_an_id_that_starts_again_knows_nothing_of_before():
    shop = Shop([entry("t1")])
    shop.ask()
    shop.table.put(entry("t1", started_wall_ms=2), shop.now_ms)
    assert shop.service.targets["t1"].n_in_flight(shop.now_ms) == 0


# Speeds that change several times a second.


def known(shop, **speeds):
    """Let targets tell their speed now."""
    for name, speed in speeds.items():
        shop.see(name, speed)


def test_targets_of_unknown_speed_are_looked_at_first():
    shop = Shop([entry("t1"), entry("t2")])
    known(shop, t1=1.0, t2=1.0)
    shop.now_ms += 100.0
    reply = shop.ask(n_probe_rounds=0)
    assert is_look(reply)
    assert {target_id for target_id, _ in reply.targets} == {"t1", "t2"}


def test_a_target_that_is_known_to_be_fast_needs_no_look():
    shop = Shop([entry("t1"), entry("t2")])
    known(shop, t1=1.0, t2=4.0)
    reply = shop.ask(n_probe_rounds=0)
    assert reply.target_id == "t1"
    assert reply.speed_class == "fast"


def test_a_request_waits_for_the_end_of_a_slow_phase():
    """Load: every target slow for 100 ms; nothing starts before that."""
    shop = Shop([entry("t1")])
    known(shop, t1=4.0)
    assert shop.ask() is None
    shop.now_ms += 100.0
    served = shop.see("t1", 1.0)
    assert shop.reply(served).speed_class == "fast"


def test_patience_ends_before_the_objective_does():
    shop = Shop([entry("t1")])
    known(shop, t1=4.0)
    assert shop.ask(objective_ms=600.0) is None
    shop.now_ms += 235.0
    assert not is_permit(shop.reply(shop.see("t1", 4.0)))
    shop.now_ms += 10.0
    assert shop.reply(shop.see("t1", 4.0)).speed_class == "slow"


def test_targets_are_looked_at_again_while_requests_wait():
    shop = Shop([entry("t1")])
    known(shop, t1=4.0)
    shop.ask()
    shop.now_ms += 60.0
    looks = [m for m in shop.service.drain(shop.now_ms) if isinstance(m, SendProbe)]
    assert [look.target_id for look in looks] == ["t1"]


def test_an_answers_figures_do_not_count_the_answered_request():
    shop = Shop([entry("t1", n_slots=2)])
    permit = shop.ask()
    shop.end(permit, report=LoadReport(1, 0, 2, 1.0))
    assert shop.service.targets["t1"].n_in_flight(shop.now_ms) == 0


def test_requests_of_other_vms_take_slots():
    shop = Shop([entry("t1", n_slots=2)])
    shop.see("t1", 1.0, n_running=2)
    assert shop.ask() is None


# Refusals.


def test_a_request_that_can_not_be_served_is_refused_at_once():
    shop = Shop([])
    reply = shop.ask()
    assert isinstance(reply, Refusal)
    assert reply.status == 503
    assert reply.retry_after_ms > 0


def test_a_wait_beyond_the_objective_is_refused_at_once():
    shop = Shop([entry("t1")])
    shop.service.mean_ms = 400.0
    for _ in range(2):
        assert is_permit(shop.ask())
    replies = [shop.ask(objective_ms=600.0, deadline_ms=700.0) for _ in range(3)]
    assert any(isinstance(reply, Refusal) for reply in replies)


def test_the_more_urgent_request_is_served_first():
    shop = Shop([entry("t1", n_slots=1)])
    permit = shop.ask()
    assert shop.ask(request_id="late", priority=5) is None
    assert shop.ask(request_id="urgent", priority=0) is None
    granted = [m for m in shop.end(permit) if hasattr(m, "reply")]
    assert granted[0].request_id == "urgent"


def test_a_waiting_request_of_a_caller_that_left_is_withdrawn():
    shop = Shop([entry("t1", n_slots=1)])
    shop.ask()
    assert shop.ask(request_id="gone") is None
    reply = shop.reply(shop.service.withdraw("gone", shop.now_ms))
    assert reply.reason == CANCELLED
    assert not shop.service.waiting


# Repeats.


def test_no_second_send_while_the_targets_are_busy():
    shop = Shop([entry("t1")])
    shop.service.retry_window.note_owner(True, -10_000.0)
    shop.ask()
    shop.ask()
    assert isinstance(shop.ask(HEDGE), Refusal)


def test_a_repeat_goes_to_another_target():
    shop = Shop([entry("t1"), entry("t2")])
    shop.service.retry_window.note_owner(True, -10_000.0)
    first = shop.ask()
    second = shop.ask(RETRY, excluded_ids=(first.target_id,))
    assert second.target_id != first.target_id


def test_repeats_stay_within_ratio_and_slack_over_every_window():
    window = RetryWindow(0.2, 56.0, 10_000.0)
    window.note_owner(True, -10_000.0)
    n_first = n_repeats = 0
    for tick in range(1000):
        now_ms = tick * 10.0
        window.note_first(now_ms)
        n_first += 1
        if window.n_left(1, now_ms) >= 1.0:
            window.note_retry(now_ms)
            n_repeats += 1
    assert n_repeats <= 0.2 * n_first + 56.0


def test_an_owner_after_an_owner_stays_within_the_slack_of_both():
    """The owner before may have used all of its slack a moment ago."""
    n_repeats = 0
    for took_over_at_ms in (-20_000.0, 0.0):
        window = RetryWindow(0.2, 56.0, 10_000.0)
        window.note_owner(True, took_over_at_ms)
        for now_ms in (0.0, 4900.0):
            while window.n_left(1, now_ms) >= 1.0:
                window.note_retry(now_ms)
                n_repeats += 1
    assert n_repeats <= 56


# Failures.


def test_a_target_that_can_not_be_reached_is_ejected_at_once():
    shop = Shop([entry("t1"), entry("t2")])
    permit = shop.ask()
    failure = SendFailure(CONNECT_FAILED, False, permit.address)
    shop.service.release(Release(permit, failure), shop.now_ms)
    other = {"t1": "t2", "t2": "t1"}[permit.target_id]
    assert {shop.ask().target_id for _ in range(2)} == {other}


def test_another_target_at_the_address_is_not_tried_again():
    shop = Shop([entry("t1"), entry("t2")])
    permit = shop.ask()
    shop.end(permit, status=421, did_not_run=True)
    assert shop.ask().target_id != permit.target_id


def test_a_target_that_sheds_with_room_is_not_taken_as_full():
    shop = Shop([entry("t1")])
    permit = shop.ask()
    report = LoadReport(1, 0, 3, 1.0)
    shop.end(permit, status=503, report=report, did_not_run=True)
    assert is_permit(shop.ask())


def test_a_lost_entry_is_kept_while_the_store_may_bring_it_back():
    shop = Shop([entry("t1")])
    shop.table.note_store_unavailable(shop.now_ms)
    shop.table.remove("servers/t1", shop.now_ms)
    assert "t1" in shop.service.targets
    shop.table.note_store_available(shop.now_ms)
    shop.now_ms += 1500.0
    shop.table.expire_suspects(shop.now_ms)
    assert "t1" in shop.service.targets
    shop.now_ms += 600.0
    shop.table.expire_suspects(shop.now_ms)
    assert "t1" not in shop.service.targets


def test_a_lost_entry_is_gone_at_once_while_the_store_is_calm():
    shop = Shop([entry("t1")])
    shop.table.remove("servers/t1", shop.now_ms)
    assert not shop.service.targets


# Targets whose speed no answer has told yet.


def test_a_target_of_unknown_speed_is_looked_at_before_its_first_request():
    """Load: after a restart every target is unknown, and a third of them slow."""
    shop = Shop([entry("t1"), entry("t2"), entry("t3")])
    reply = shop.ask(n_probe_rounds=0)
    assert is_look(reply)
    assert {target_id for target_id, _ in reply.targets} == {"t1", "t2", "t3"}
    shop.see("t1", 5.0)
    shop.see("t2", 1.0)
    shop.see("t3", 5.0)
    assert shop.ask(n_probe_rounds=1).target_id == "t2"


def test_a_target_that_tells_no_speed_is_not_looked_at_again():
    shop = Shop([entry("t1")])
    assert is_look(shop.ask(n_probe_rounds=0))
    shop.see_no_load("t1")
    assert is_permit(shop.ask(n_probe_rounds=0))


def test_an_answer_without_load_figures_tells_that_none_will_come():
    shop = Shop([entry("t1")])
    shop.end(shop.ask())
    assert is_permit(shop.ask(n_probe_rounds=0))


def test_a_target_that_does_not_answer_a_look_counts_as_slow():
    shop = Shop([entry("t1"), entry("t2")])
    shop.see_no_load("t1", is_answered=False)
    shop.see("t2", 1.2)
    assert shop.ask(n_probe_rounds=2).target_id == "t2"
