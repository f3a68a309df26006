"""The drills of the soak's day: their checks on made-up records, and a short run."""

import pytest

from soak.day.checks import check_denied
from soak.day.config_logs import find_repeats
from soak.day.plan import DayPlan
from soak.day.records import ANSWERED, DayAttempt, DayJournal, Stray
from soak.day.run import run_day
from soak.day.schedule import DRILLS
from soak.day.site import BOUNDS_S, CONTACT_S, KINDS, READY_S
from soak.day.store_checks import (
    KNOWN_S,
    N_ATTEMPTS_MIN,
    check_refusals,
    check_strays,
)
from soak.day.touch import READY_AFTER_STORE_S, ready_due_s

SHORT_S = 20.0
N_VMS = 5
# Planned work and three returns from a copy.
SEED = 4812
AT_S = 1000.0
LONG_AGO_S = 60.0


def add_store_event(journal, start_s, end_s):
    work = journal.add_unplanned("store-copy")
    work.start_s, work.end_s = start_s, end_s


def journal_with_stray(since_s=AT_S - LONG_AGO_S):
    """Return a journal with a request at a target that had left."""
    journal = DayJournal()
    stray = Stray("left", since_s, "a", "i-0", "edge-0")
    stray.at_s = AT_S
    journal.strays.append(stray)
    return journal


def test_a_vm_in_touch_must_send_nothing_to_a_target_that_left():
    assert len(check_strays(journal_with_stray())) == 1


@pytest.mark.parametrize(("after_s", "n_findings"), [(KNOWN_S + 0.1, 1), (0.5, 0)])
def test_a_disturbed_store_excuses_only_what_was_not_known_before(after_s, n_findings):
    left_s = AT_S - BOUNDS_S["left"] - 0.5
    journal = journal_with_stray(left_s)
    add_store_event(journal, left_s + after_s, AT_S + 0.5)
    assert len(check_strays(journal)) == n_findings


def test_a_vm_that_started_after_a_target_left_may_not_know_it():
    journal = journal_with_stray()
    add_store_event(journal, AT_S - 1.0, AT_S + 1.0)
    journal.starts.append(("edge-0", AT_S - CONTACT_S - 1.0))
    assert check_strays(journal) == []


@pytest.mark.parametrize(("kind", "n_findings"), [("store-copy", 0), ("store-busy", 1)])
def test_a_vm_that_started_since_can_learn_all_but_what_a_copy_lacks(kind, n_findings):
    journal = journal_with_stray()
    work = journal.add_unplanned(kind)
    work.start_s, work.end_s = AT_S - LONG_AGO_S + 5.0, AT_S - CONTACT_S - 1.0
    journal.starts.append(("edge-0", AT_S - CONTACT_S - 0.5))
    assert len(check_strays(journal)) == n_findings


def test_a_departure_that_a_disturbed_store_acknowledged_binds_nobody():
    journal = journal_with_stray()
    add_store_event(journal, AT_S - LONG_AGO_S - 1.0, AT_S - LONG_AGO_S + 1.0)
    assert check_strays(journal) == []


def test_a_freeze_at_the_time_of_the_leaving_excuses():
    journal = journal_with_stray(AT_S - BOUNDS_S["left"] - 1.0)
    work = journal.add_unplanned("freeze", "edge-0")
    work.start_s, work.end_s = AT_S - BOUNDS_S["left"] - 1.0, AT_S - 1.0
    assert check_strays(journal) == []


@pytest.mark.parametrize(
    ("kind", "waits"), [("store-down", True), ("store-copy", False)]
)
def test_a_start_may_wait_for_a_store_that_is_down_alone(kind, waits):
    journal = DayJournal()
    work = journal.add_unplanned(kind)
    work.start_s, work.end_s = AT_S, AT_S + 9.0
    due_s = AT_S + 9.0 + READY_AFTER_STORE_S if waits else AT_S + 1.0 + READY_S
    assert ready_due_s(journal, AT_S + 1.0) == due_s
    assert ready_due_s(journal, AT_S + 10.0) == AT_S + 10.0 + READY_S


def test_a_version_that_is_applied_twice_in_one_process_is_found():
    lines = ['{"subject":"r3","detail":"","event":"config: in force"}']
    assert list(find_repeats(lines)) == []
    assert len(list(find_repeats(lines * 2))) == 1
    assert list(find_repeats([*lines, '{"event":"process: started"}', *lines])) == []


def test_a_404_for_a_route_of_all_versions_is_found():
    journal = DayJournal()
    attempt = DayAttempt("a", KINDS[0], 1.0)
    attempt.status = 404
    journal.attempts.append(attempt)
    assert check_denied(journal) == []
    attempt.has_lasting_route = True
    assert len(check_denied(journal)) == 1


@pytest.mark.parametrize(("n_refused", "n_findings"), [(13, 0), (14, 1)])
def test_a_second_in_which_a_third_is_refused_is_found(n_refused, n_findings):
    journal = DayJournal()
    add_store_event(journal, AT_S, AT_S + 1.0)
    for i in range(N_ATTEMPTS_MIN + 10):
        attempt = DayAttempt(f"a{i}", KINDS[0], 1.0)
        attempt.began_s = AT_S + 0.5
        attempt.end = ANSWERED
        attempt.status = 503 if i < n_refused else 200
        attempt.seal = None if i < n_refused else "seal"
        journal.attempts.append(attempt)
    assert len(check_refusals(journal)) == n_findings


def test_a_short_day_with_drills_loses_nothing(tmp_path):
    """No change goes back, no order runs twice, and each request gets an answer."""
    plan = DayPlan(SEED, SHORT_S, N_VMS, has_drills=True)
    assert {event.kind for event in plan.events()} & DRILLS.keys()
    report = run_day(plan, tmp_path)
    assert report.findings == []
    assert [loss.details for loss in report.counted()] == []
    assert report.statuses[200] > 0
