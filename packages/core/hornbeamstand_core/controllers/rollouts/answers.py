"""Judges the end of a send as good or bad for its target's version, or as neither."""

from collections import deque
from statistics import median

from ...messages import (
    BROKEN_RESPONSE,
    CANCELLED,
    STATUS_ERROR,
    TIMED_OUT,
    SendFailure,
)

GOOD = "good"
BAD = "bad"
UNJUDGED = "unjudged"
# Status of a target's answer at the request's deadline.
STATUS_DEADLINE = 504
# Multiple of the old version's median latency above which an answer counts as bad. A
# hedge cancels a slow send at about this age.
SLOW_FACTOR = 2.0
# Number of latencies of which the median is taken, and the minimum for it.
N_LATENCIES = 60
N_LATENCIES_MIN = 5
# Number of new latencies after which the median is computed again.
N_RECOMPUTE = 10


class UsualLatency:
    """The median of the old version's latest latencies on one route.

    ``slow_ms`` is the latency from which on an answer counts as bad; it is infinite
    before enough are known.
    """

    __slots__ = ("slow_ms", "_latencies_ms", "_n_new")

    def __init__(self):
        self.slow_ms = float("inf")
        self._latencies_ms = deque(maxlen=N_LATENCIES)
        self._n_new = 0

    def note(self, latency_ms):
        """Count a latency of the old version."""
        self._latencies_ms.append(latency_ms)
        self._n_new += 1
        n_known = len(self._latencies_ms)
        if n_known < N_LATENCIES_MIN:
            return
        if n_known == N_LATENCIES_MIN or self._n_new >= N_RECOMPUTE:
            self._n_new = 0
            self.slow_ms = SLOW_FACTOR * median(self._latencies_ms)


def judge_answer(result, age_ms, slow_ms, is_cold):
    """Return GOOD, BAD or UNJUDGED for the end of a send after ``age_ms``.

    A send that ended without an answer is bad if its target had ``slow_ms`` for it. A
    target in cold start is slow whatever its version is.
    """
    if is_unanswered(result):
        return BAD if age_ms >= slow_ms and not is_cold else UNJUDGED
    if isinstance(result, SendFailure):
        is_broken = result.kind == BROKEN_RESPONSE and result.may_have_run
        return BAD if is_broken else UNJUDGED
    if result.did_not_run:
        return UNJUDGED
    if result.status >= STATUS_ERROR:
        return BAD
    return BAD if age_ms >= slow_ms and not is_cold else GOOD


def is_unanswered(result):
    """Return whether the time of a send ended before its target answered."""
    if isinstance(result, SendFailure):
        return result.kind in (TIMED_OUT, CANCELLED) and result.may_have_run
    return result.status == STATUS_DEADLINE and not result.did_not_run
