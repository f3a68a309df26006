"""The day of the soak: what it counts as lost on made-up records, and a short run."""

import os
from types import SimpleNamespace

import pytest

from soak.day import lost
from soak.day.checks import check_orders
from soak.day.ends import check_answered
from soak.day.memory import check_memory
from soak.day.own_answers import count_own_answers
from soak.day.plan import DayPlan
from soak.day.records import ANSWERED, CLOSED, SILENT, DayAttempt, DayJournal, Run
from soak.day.run import run_day
from soak.day.schedule import CALM_BEFORE_LAST_S, CUTS, LAST_S, draw_events
from soak.day.site import CONFIG_APPLY_S, CONTACT_S, GRACE_S, KINDS, LOSS_SLACK_S

SHORT_S = 13.0
# Length of a day with a single event.
SINGLE_EVENT_S = 12.0
N_VMS = 5
# Number of VMs, so few that each has many of the answers.
N_VMS_FEW = 3
# Planned work beside a disturbed store, which excuses nothing.
SEED = 10
# Three cuts that overlap, and no other events.
CUTS_SEED = 21
# Half of the targets for queries state a huge length and send at a moderate rate.
ENDLESS_SEED = 190
# 193 bodies of 1 MB at each VM that lack their last byte: more than it may hold.
CROWD_SEED = 12
SENT_S = 100.0
LASTS_S = 0.5
ORDER = KINDS[1]


def attempt(end=CLOSED, status=0, **values):
    made = DayAttempt("a", ORDER, ORDER.deadline_s)
    made.vm = "edge-0"
    made.began_s = made.sent_s = SENT_S
    made.ended_s = SENT_S + LASTS_S
    made.end = end
    made.status = status
    for name, value in values.items():
        setattr(made, name, value)
    return made


def journal_of(made, start_s=SENT_S, end_s=SENT_S + 1.0):
    """Return a journal in which one target works on the attempt."""
    journal = DayJournal()
    journal.attempts.append(made)
    run = Run("i-0")
    run.start_s, run.end_s = start_s, end_s
    journal.runs["a"] = [run]
    journal.arrivals["a"] = ["i-0"]
    return journal


def add(works, kind, vm, start_s, length_s=0.0):
    """Add an Event to a list."""
    journal = DayJournal()
    event = journal.add_planned(kind, vm)
    event.start_s, event.end_s = start_s, start_s + length_s
    works.append(event)


def clauses(journal):
    return {(loss.clause[0], loss.excuse) for loss in lost.find_losses(journal)}


@pytest.mark.parametrize(
    ("kind", "vm", "at_s", "clause"),
    [
        ("stop", "edge-0", SENT_S - GRACE_S, "b"),
        ("stop", "edge-1", SENT_S, "o"),
        ("stop", "edge-0", SENT_S - GRACE_S - lost.MARGIN_S - 0.1, "o"),
        ("reload", "edge-0", SENT_S - CONFIG_APPLY_S + 0.1, "c"),
        ("reload", "edge-0", SENT_S - CONFIG_APPLY_S - 0.1, "o"),
        ("config", "", SENT_S - CONFIG_APPLY_S, "d"),
    ],
)
def test_a_cut_is_counted_by_the_clause_of_its_planned_work(kind, vm, at_s, clause):
    journal = journal_of(attempt())
    add(journal.planned, kind, vm, at_s)
    assert clauses(journal) == {(clause, "")}


def test_a_cut_on_a_kept_connection_is_counted_at_any_time():
    assert clauses(journal_of(attempt(is_kept=True))) == {("a", "")}


@pytest.mark.parametrize(
    ("lasts_s", "is_lost"), [(LOSS_SLACK_S + 0.1, True), (LOSS_SLACK_S - 0.1, False)]
)
def test_a_request_that_was_not_passed_on_may_end_at_once(lasts_s, is_lost):
    journal = journal_of(attempt(ended_s=SENT_S + lasts_s))
    journal.arrivals.clear()
    journal.runs.clear()
    assert bool(clauses(journal)) == is_lost


@pytest.mark.parametrize(
    ("values", "is_lost"),
    [
        ({"status": 504}, True),
        ({"status": 502}, True),
        ({"status": 502, "seal": "seal-i-0"}, False),
        ({"status": 502, "ended_s": SENT_S + 1.5}, False),
    ],
)
def test_an_own_answer_after_sigterm_is_counted_while_a_target_works(values, is_lost):
    journal = journal_of(attempt(ANSWERED, **values))
    assert clauses(journal) == set()
    add(journal.planned, "stop", "edge-1", SENT_S - 1.0)
    assert clauses(journal) == ({("e", "")} if is_lost else set())


@pytest.mark.parametrize(
    ("values", "counts"),
    [
        ({"end": ANSWERED, "status": 504}, "1 504, a target at work, taken by it"),
        (
            {"end": ANSWERED, "status": 502, "vm": "edge-1"},
            "1 502, a target at work, taken by another VM",
        ),
        (
            {"end": CLOSED, "ended_s": SENT_S + 1.5},
            "1 cut, a target had run it, taken by it",
        ),
    ],
)
def test_own_answers_and_cuts_are_told_apart_for_each_event(values, counts):
    journal = journal_of(attempt(**values))
    add(journal.planned, "reload", "edge-0", SENT_S)
    add(journal.planned, "reload", "edge-0", SENT_S - CONFIG_APPLY_S - 0.1)
    assert count_own_answers(journal) == [f"own answers beside reload edge-0: {counts}"]


def test_a_request_without_any_answer_is_found():
    assert clauses(journal_of(attempt(SILENT))) == {("n", "")}


def test_the_excuses_of_the_rules_are_told_apart():
    journal = journal_of(attempt())
    add(journal.unplanned, "store-busy", "", SENT_S)
    assert clauses(journal) == {("o", "")}
    add(journal.unplanned, "freeze", "edge-1", SENT_S - CONTACT_S, 0.1)
    assert clauses(journal) == {("o", "freeze elsewhere")}
    add(journal.unplanned, "kill", "edge-0", SENT_S)
    assert clauses(journal) == {("o", "kill of its VM")}


@pytest.mark.parametrize(
    "kind", ["endless tubo-lookup 200 no length", "crowd read_slowly of 20 at edge-0"]
)
def test_targets_without_end_and_crowds_excuse_no_loss(kind):
    journal = journal_of(attempt())
    add(journal.unplanned, kind, "", SENT_S)
    assert clauses(journal) == {("o", "")}
    journal.attempts[0].end = SILENT
    journal.attempts[0].ended_s = SENT_S + ORDER.deadline_s + 0.4
    assert len(check_answered(journal)) == 1


def test_a_target_that_broke_off_or_a_deadline_excuses():
    journal = journal_of(attempt())
    journal.runs["a"][0].is_broken = True
    assert clauses(journal) == {("o", "target broke off")}
    journal = journal_of(attempt(ended_s=SENT_S + ORDER.deadline_s))
    assert clauses(journal) == {("o", "deadline or timeout")}


@pytest.mark.parametrize(("sent_after_s", "is_excused"), [(2.9, True), (3.1, False)])
def test_work_in_the_last_sixth_excuses_requests_sent_early(sent_after_s, is_excused):
    sigterm_s = SENT_S - sent_after_s
    made = attempt(ended_s=sigterm_s + 5.4, timeout_s=4.0)
    journal = journal_of(made, end_s=sigterm_s + 5.6)
    add(journal.planned, "stop", "edge-0", sigterm_s)
    excuse = "at work in the last sixth" if is_excused else ""
    assert clauses(journal) == {("b", excuse)}


def test_an_order_that_ran_twice_or_was_refused_is_found():
    journal = journal_of(attempt(ANSWERED, 503))
    assert len(check_orders(journal)) == 1
    journal.runs["a"] *= 2
    assert len(check_orders(journal)) == 2


@pytest.mark.parametrize(
    ("service", "n_findings"), [("orden-taller", 0), ("tubo-lookup", 1)]
)
def test_an_order_that_ran_at_another_service_is_found(service, n_findings):
    journal = journal_of(attempt(ANSWERED, 200, seal="s"))
    journal.runs["a"][0].service = service
    assert len(check_orders(journal)) == n_findings


@pytest.mark.parametrize(
    ("kind", "n_findings"), [("kill", 0), ("cut-vm", 1), ("store-busy", 1)]
)
def test_a_cut_excuses_no_request_without_an_answer(kind, n_findings):
    journal = journal_of(attempt(SILENT, ended_s=SENT_S + ORDER.deadline_s + 0.4))
    journal.add_unplanned(kind, "edge-0").start_s = SENT_S
    assert len(check_answered(journal)) == n_findings


def test_a_cut_that_begins_later_leaves_the_excuse_of_a_freeze():
    journal = journal_of(attempt(SILENT, ended_s=SENT_S + ORDER.deadline_s + 0.4))
    journal.add_unplanned("freeze", "edge-0").start_s = SENT_S
    journal.add_unplanned("cut-store-one-way", "edge-0").start_s = SENT_S + 0.1
    assert check_answered(journal) == []


def test_a_freeze_elsewhere_excuses_no_request_at_a_vm_that_is_cut_off():
    journal = journal_of(attempt(SILENT, ended_s=SENT_S + ORDER.deadline_s + 0.4))
    journal.add_unplanned("cut-vm", "edge-0").start_s = SENT_S
    journal.add_unplanned("freeze", "edge-5").start_s = SENT_S
    assert len(check_answered(journal)) == 1


@pytest.mark.parametrize(
    ("sent_after_s", "ends_after_s", "n_findings"),
    [(1, 1.05, 0), (1, 1.2, 1), (0.2, 0.65, 1), (2, 2.05, 1), (float("inf"), 0.65, 1)],
)
def test_an_answer_counts_from_the_end_of_a_slow_request(
    sent_after_s, ends_after_s, n_findings
):
    made = attempt(ANSWERED, 408, timeout_s=0.5)
    made.sent_s = SENT_S + sent_after_s
    made.ended_s = SENT_S + ends_after_s
    assert len(check_answered(journal_of(made))) == n_findings


@pytest.mark.parametrize(("memory_mb", "n_findings"), [(1, 1), (100_000, 0)])
def test_a_vm_that_used_more_than_its_memory_is_found(memory_mb, n_findings):
    process = SimpleNamespace(pid=os.getpid(), poll=lambda: None)
    vm = SimpleNamespace(name="edge-0", process=process)
    cell = SimpleNamespace(vms=[vm], memory_mb=memory_mb)
    assert len(check_memory(cell, "the day")) == n_findings
    process.poll = lambda: 70
    assert check_memory(cell, "the day") == []


@pytest.mark.parametrize("seed", range(1, 7))
def test_a_day_ends_without_events(seed):
    events = draw_events(seed, 60.0)
    assert events
    assert all(event.at_s <= 60.0 - LAST_S - CALM_BEFORE_LAST_S for event in events)


def test_a_short_day_loses_nothing(tmp_path):
    report = run_day(DayPlan(SEED, SHORT_S, N_VMS), tmp_path)
    assert report.findings == []
    assert [loss.details for loss in report.counted()] == []
    assert report.statuses[200] > 0


def test_a_short_day_with_cuts_loses_nothing(tmp_path):
    """No order runs twice, no process ends, and each request gets an answer."""
    plan = DayPlan(CUTS_SEED, SHORT_S, N_VMS, has_cuts=True)
    assert len({event.kind for event in plan.events()} & CUTS.keys()) == 3
    report = run_day(plan, tmp_path)
    assert report.findings == []
    assert [loss.details for loss in report.counted()] == []
    assert report.statuses[200] > 0


@pytest.mark.parametrize(
    ("kind", "seed"), [("endless", ENDLESS_SEED), ("crowd", CROWD_SEED)]
)
def test_a_short_day_of_one_misbehaviour_loses_nothing(tmp_path, kind, seed):
    """No process ends or takes more than its memory, and each request is answered."""
    plan = DayPlan(seed, SINGLE_EVENT_S, N_VMS_FEW, only=kind)
    report = run_day(plan, tmp_path)
    assert report.findings == []
    assert [loss.details for loss in report.counted()] == []
    assert report.statuses[200] > 0
    assert any(line.startswith(kind) for line in report.beside)
