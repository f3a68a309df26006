"""What callers get from targets with few slots that are slow in short bursts."""

from random import Random

import pytest
from tests.edge_parts import ServiceHarness, make_entry

from hornbeamstand_core.controllers.load.retry_window import RetryWindow
from hornbeamstand_core.edge_messages import HEDGE, LoadReport
from hornbeamstand_core.messages import Refusal

from .load_player import play, share_in_time, share_served, steady

BURST_MS = 300.0
# Share of the bursts' intervals in which a target is slow, and by which factor.
SLOW_SHARE = 0.3
SLOWDOWN = 4.0


def slowdown(target_id, now_ms):
    """Return the slowdown of a target: the same in each run."""
    draw = Random(f"{target_id}{int(now_ms // BURST_MS)}").random()
    return SLOWDOWN if draw < SLOW_SHARE else 1.0


@pytest.mark.parametrize("load", [0.8, 1.3])
def test_requests_in_time_get_the_slots_of_targets_that_were_slow(load):
    """The load is a multiple of what 5 targets of 3 usable slots serve while fast."""
    rate_per_s = load * 5 * 3 * (1.0 - SLOW_SHARE) * 1000.0 / 160.0
    callers = steady(rate_per_s, 6000.0, objective_ms=500.0)
    play(callers, n_targets=5, work_ms=160.0, n_slots=4, slowdown=slowdown)
    assert share_in_time(callers) >= 0.9 * min(1.0, 1.0 / load)


def test_a_target_below_its_knee_comes_before_one_at_it():
    harness = ServiceHarness([make_entry(name, n_slots=2) for name in ("t1", "t2")])
    for name, slowdown_now in (("t1", 1.0), ("t2", 1.15)):
        harness.report_load(name, slowdown_now)
    assert [harness.acquire().target_id for _ in range(2)] == ["t1", "t2"]
    assert harness.acquire() is not None


def test_targets_of_unknown_speed_are_asked_before_a_fast_one_is_filled():
    harness = ServiceHarness([make_entry(name, n_slots=2) for name in ("t1", "t2")])
    harness.acquire()
    busy = next(t for t in harness.service.targets.values() if t.started_at_ms)
    harness.report_load(busy.entry.target_id, 1.0, n_running=1)
    needed = harness.acquire(n_probe_rounds=0)
    assert busy.entry.target_id not in [probe.target_id for probe in needed.probes]


def test_no_hedge_slows_the_requests_of_its_target_down():
    entries = [make_entry(name, n_slots=2) for name in ("t1", "t2", "t3")]
    harness = ServiceHarness(entries)
    harness.service.retry_window.note_owner(True, -10_000.0)
    for _ in range(3):
        harness.acquire()
    assert isinstance(harness.acquire(HEDGE), Refusal)


def test_slots_that_other_vms_use_are_no_room_of_this_one():
    """With the slots of both targets taken, 400 ms are left for a wait of 600 ms."""
    harness = ServiceHarness([make_entry("t1"), make_entry("t2")])
    harness.service.mean_ms = 150.0
    for name in ("t1", "t2"):
        harness.service.targets[name].note_load(LoadReport(2, 0, 3, 1.0), 0, 0.0)
    replies = [harness.acquire() for _ in range(4)]
    assert replies[:2] == [None, None]
    assert isinstance(replies[-1], Refusal)
    harness.now_ms += 250.0
    assert harness.acquire() is None


def test_targets_that_stay_slow_serve_late():
    """10 slots serve 27 slow requests a second, and three quarters of that come."""
    callers = steady(20.0, 6000.0, objective_ms=250.0)
    play(callers, 5, work_ms=90.0, n_slots=3, slowdown=lambda *_: SLOWDOWN)
    assert share_served(callers) >= 0.75


def test_hedges_leave_retries_for_requests_that_fail():
    """Half of what a window allows is left when hedges have taken all they may."""
    window = RetryWindow(0.2, 50.0, 10_000.0)
    window.note_owner(True, -10_000.0)
    for _ in range(100):
        window.note_first(0.0)
    n_allowed = window.n_left(1, 1, 0.0)
    while window.n_left_for_hedges(1, 1, 0.0) >= 1.0:
        window.note_retry(0.0)
    assert window.n_left(1, 1, 0.0) >= n_allowed / 2
