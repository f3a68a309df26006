"""Finds the requests that were lost, by the clauses of the rules.

Each clause has its own function, which returns whether it counts an attempt. An excuse
that the rules name is told apart: operators on real machines may not excuse it.
"""

from hornbeamstand_core.records import Record

from .records import ANSWERED, CLOSED, SILENT
from .site import CONFIG_APPLY_S, CONTACT_S, GRACE_S, LOSS_SLACK_S

# Time for which planned stops and configurations count beyond their bounds.
MARGIN_S = 1.0
# Requests sent up to this long after SIGTERM may be cut in the last part of the grace
# period, if a target is at work on them.
LATE_SENT_S = 3.0
LAST_PART_S = GRACE_S / 6.0
# Resolution of the times of the deadline and of answers.
SLACK_S = 0.02
NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])
SERVER_ERROR = 500
# Beginnings of the kinds of disruptions that excuse no loss.
UNEXCUSED_KINDS = ("store", "endless", "crowd")
MS_PER_S = 1000.0


class Loss(Record):
    """An attempt that a clause counts; ``excuse`` is empty if the rules have none."""

    __slots__ = ("clause", "attempt", "excuse", "details")

    def __init__(self, clause, attempt, excuse, details):
        self.clause = clause
        self.attempt = attempt
        self.excuse = excuse
        self.details = details


def find_losses(journal):
    """Return the losses of a day; an attempt may have one for each clause."""
    losses = []
    for attempt in journal.attempts:
        found = find_clauses(journal, attempt)
        if not found and is_cut(journal, attempt):
            found = [("other cut", None)]
        if not found and attempt.end == SILENT and is_passed_on(journal, attempt):
            found = [("no answer", None)]
        for clause, stop in found:
            excuse = find_excuse(journal, attempt, stop)
            losses.append(Loss(clause, attempt, excuse, describe(journal, attempt)))
    return losses


def find_clauses(journal, attempt):
    """Return the clauses that count an attempt, with the stop beside each or None."""
    found = []
    if is_cut(journal, attempt):
        if attempt.is_kept and is_passed_on(journal, attempt):
            found.append(("a: kept connection", None))
        stop = find_stop(journal, attempt, attempt.vm)
        if stop is not None:
            found.append(("b: around SIGTERM", stop))
        if is_beside_reload(journal, attempt):
            found.append(("c: around SIGHUP", None))
        if is_beside_config(journal, attempt):
            found.append(("d: around a configuration", None))
    elif is_own_answer_to_work(journal, attempt):
        stop = find_stop(journal, attempt)
        if stop is not None:
            found.append(("e: own answer after SIGTERM", stop))
    return found


def is_passed_on(journal, attempt):
    """Return whether a target received an attempt."""
    return attempt.attempt_id in journal.arrivals


def is_cut(journal, attempt):
    """Return whether an attempt's connection ended and the attempt had been taken."""
    if attempt.end != CLOSED or attempt.sent_s > attempt.ended_s:
        return False
    is_late = attempt.ended_s - attempt.sent_s > LOSS_SLACK_S
    return is_late or is_passed_on(journal, attempt)


def is_own_answer_to_work(journal, attempt):
    """Return whether the system answered itself while a target was at work."""
    if attempt.end != ANSWERED or attempt.seal or attempt.status < SERVER_ERROR:
        return False
    runs = journal.runs.get(attempt.attempt_id, ())
    return any(run.start_s <= attempt.ended_s < run.end_s for run in runs)


def find_stop(journal, attempt, vm=None):
    """Return the stop of a VM, or of any, around an attempt, or None."""
    for work in journal.planned:
        until_s = work.start_s + GRACE_S + MARGIN_S
        is_same = work.kind == "stop" and vm in (None, work.vm)
        if is_same and work.start_s <= attempt.ended_s and attempt.sent_s <= until_s:
            return work
    return None


def is_beside_reload(journal, attempt):
    """Return whether a reload of the attempt's VM is around it."""
    return any(
        work.kind == "reload"
        and work.vm == attempt.vm
        and attempt.sent_s <= work.start_s + CONFIG_APPLY_S
        and attempt.ended_s >= work.start_s
        for work in journal.planned
    )


def is_beside_config(journal, attempt):
    """Return whether a configuration is around an attempt."""
    return any(
        work.kind == "config"
        and work.start_s <= attempt.ended_s <= work.end_s + CONFIG_APPLY_S + MARGIN_S
        for work in journal.planned
    )


def find_excuse(journal, attempt, stop):
    """Return why the rules don't count a loss, or an empty string."""
    runs = journal.runs.get(attempt.attempt_id, ())
    if find_disruption(journal, attempt, "kill").endswith("of its VM"):
        return "kill of its VM"
    if any(run.is_broken for run in runs):
        return "target broke off"
    timeout_s = min(attempt.timeout_s, attempt.late_timeout_s)
    if attempt.ended_s >= attempt.began_s + timeout_s - SLACK_S:
        return "deadline or timeout"
    if stop is not None and attempt.sent_s <= stop.start_s + LATE_SENT_S:
        last_s = stop.start_s + GRACE_S - LAST_PART_S
        if any(run.start_s <= attempt.ended_s and run.end_s >= last_s for run in runs):
            return "at work in the last sixth"
    return find_disruption(journal, attempt)


def find_disruption(journal, attempt, kind=""):
    """Return the unplanned disruption around an attempt, the latest that began.

    That of its own VM comes first.
    """
    found = [
        work
        for work in list_disruptions(journal, attempt)
        if work.kind.startswith(kind)
    ]
    if not found:
        return ""
    found.sort(key=lambda work: (work.vm == attempt.vm, work.start_s))
    where = "of its VM" if found[-1].vm == attempt.vm else "elsewhere"
    return f"{found[-1].kind} {where}"


def list_disruptions(journal, attempt):
    """Return the unplanned disruptions around an attempt that may excuse its loss."""
    return [
        work
        for work in journal.unplanned
        if not work.kind.startswith(UNEXCUSED_KINDS)
        and work.start_s <= attempt.ended_s
        and work.end_s >= attempt.sent_s - CONTACT_S
    ]


def describe(journal, attempt):
    """Return a line about an attempt, its targets and the planned work around it."""
    lag_ms = MS_PER_S * journal.lag_s(attempt.began_s, attempt.ended_s)
    runs = [
        f"{run.server_id} {run.start_s - attempt.sent_s:.2f}"
        f" to {run.end_s - attempt.sent_s:.2f} of {run.until_s - attempt.sent_s:.2f}"
        for run in journal.runs.get(attempt.attempt_id, ())
    ]
    near = [
        f"{work.kind} {work.vm} {work.start_s - attempt.ended_s:+.2f}"
        for work in journal.planned
        if attempt.began_s - GRACE_S <= work.start_s <= attempt.ended_s
        and work.vm in ("", attempt.vm)
    ]
    return (
        f"{attempt.attempt_id} {attempt.kind.service} {attempt.vm}"
        f" {'kept' if attempt.is_kept else 'new'}"
        f" {attempt.form} {attempt.end} {attempt.status}"
        f" began {attempt.began_s - attempt.sent_s:.2f} has {attempt.timeout_s:.2f} s,"
        f" sent {attempt.sent_s:.2f} after {attempt.ended_s - attempt.sent_s:.3f} s,"
        f" runs {runs}, near {near}, lag {lag_ms:.0f} ms"
    )
