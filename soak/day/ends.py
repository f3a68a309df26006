"""Counts how requests ended, as callers see it."""

from collections import Counter

from .exchange import WAIT_MARGIN_S
from .lost import MARGIN_S, describe, list_disruptions
from .records import ANSWERED, NOT_CONNECTED, SILENT

# Time by which an answer may be noticed late.
ANSWER_MARGIN_S = 0.1
# Maximum time in which a caller sends a body piece by piece.
SEND_MAX_S = 1.5
NO_ANSWER = "no answer"


def name_end(attempt, lag_s=0.0):
    """Return how an attempt ended: a status, or what came in place of an answer.

    The trial was late by ``lag_s`` meanwhile, and may have noticed the end so late.
    """
    if attempt.end == NOT_CONNECTED:
        return "not connected"
    if attempt.end == SILENT and lag_s < WAIT_MARGIN_S:
        return NO_ANSWER
    limit_s = attempt.began_s + attempt.timeout_s
    if attempt.sent_s <= attempt.began_s + SEND_MAX_S:
        # A caller reads its answer once it has sent its whole request.
        limit_s = max(limit_s, attempt.sent_s)
    if attempt.ended_s > limit_s + ANSWER_MARGIN_S + lag_s:
        return NO_ANSWER
    return str(attempt.status) if attempt.end == ANSWERED else "closed"


def name_end_in(journal, attempt):
    """Return how an attempt of a journal ended, with the trial's lag around it."""
    return name_end(attempt, journal.lag_s(attempt.began_s, attempt.ended_s))


def check_answered(journal):
    """Return findings for requests without an answer by their deadline.

    A disruption of a VM or target excuses those around it; what happened to their own
    VM counts alone. Planned work excuses none, nor does a cut: a VM that is cut off
    still has its callers.
    """
    findings = []
    for attempt in journal.attempts:
        if name_end_in(journal, attempt) != NO_ANSWER:
            continue
        works = list_disruptions(journal, attempt)
        works = [work for work in works if work.vm == attempt.vm] or works
        if all(work.kind.startswith("cut") for work in works):
            findings.append(f"no answer in time: {describe(journal, attempt)}")
    return findings


def count_beside(journal, work):
    """Return the ends of the attempts that began during planned work, or soon after."""
    until_s = work.end_s + MARGIN_S
    ends = Counter(
        name_end_in(journal, attempt)
        for attempt in journal.attempts
        if work.start_s <= attempt.began_s <= until_s
    )
    return dict(sorted(ends.items()))
