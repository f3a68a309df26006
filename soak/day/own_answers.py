"""Counts, for each event of planned work, what callers got in place of an answer.

The answers of the system itself are told apart by what a target had done by then, by
whether the VM that took the request is the one that the event concerns, and by whether
the deadline had come. What the kill of a VM ended is left out.
"""

from collections import Counter

from .lost import MARGIN_S, SERVER_ERROR, find_excuse, is_cut
from .records import ANSWERED
from .site import CONFIG_APPLY_S, GRACE_S

# Time for which each kind of planned work counts after it was begun or acknowledged.
SPAN_S = {"stop": GRACE_S + MARGIN_S, "reload": CONFIG_APPLY_S}
AT_WORK = "a target at work"
HAD_RUN = "a target had run it"
NOT_RUN = "no target had run it"
KILL = "kill"


def count_own_answers(journal):
    """Return a line for each event with an answer of the system itself, or a cut."""
    losses = [
        (attempt, name)
        for attempt in journal.attempts
        if (name := name_loss(journal, attempt))
    ]
    lines = []
    for work in journal.planned:
        counts = Counter(
            (name, find_progress(journal, attempt), find_taker(attempt, work), excuse)
            for attempt, name in losses
            if is_around(work, attempt)
            for excuse in [find_excuse(journal, attempt, work)]
            if not excuse.startswith(KILL)
        )
        parts = [
            f"{n} {', '.join(filter(None, key))}" for key, n in sorted(counts.items())
        ]
        if parts:
            lines.append(
                f"own answers beside {work.kind} {work.vm}: {'; '.join(parts)}"
            )
    return lines


def name_loss(journal, attempt):
    """Return the status of an own answer, "cut" without an answer, or "" otherwise."""
    if is_cut(journal, attempt):
        return "cut"
    is_own = attempt.end == ANSWERED and not attempt.seal
    return str(attempt.status) if is_own and attempt.status >= SERVER_ERROR else ""


def is_around(work, attempt):
    """Return whether planned work is around an attempt."""
    span_s = SPAN_S.get(work.kind, CONFIG_APPLY_S + MARGIN_S)
    return work.start_s <= attempt.ended_s and attempt.sent_s <= work.start_s + span_s


def find_progress(journal, attempt):
    """Return what a target had done with a request when its answer came."""
    runs = journal.runs.get(attempt.attempt_id, ())
    if any(run.start_s <= attempt.ended_s < run.end_s for run in runs):
        return AT_WORK
    return HAD_RUN if runs else NOT_RUN


def find_taker(attempt, work):
    """Return which VM took a request, in relation to that of planned work."""
    if not work.vm:
        return "any VM"
    return "taken by it" if attempt.vm == work.vm else "taken by another VM"
