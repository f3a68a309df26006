"""Which callers are ended when memory for callers is short."""

from types import SimpleNamespace

from hornbeamstand_core.controllers.load.shortage import (
    SLOW_MS,
    STALLED_MS,
    choose_callers,
    choose_longest_stalled,
)

NOW_MS = 10_000.0


def caller(age_ms, n_bytes=100, began_ms=0.0, n_moved_bytes=0):
    """Return a caller that has not moved for a time; None is one not waited for."""
    since_ms = None if age_ms is None else NOW_MS - age_ms
    return SimpleNamespace(
        n_bytes=n_bytes,
        waits_since_ms=since_ms,
        began_at_ms=NOW_MS - began_ms,
        n_moved_bytes=n_moved_bytes,
    )


def test_those_that_have_not_moved_for_longest_are_ended_first():
    """Guards against a caller that moves and is ended for one that does not."""
    oldest, older = caller(3 * STALLED_MS), caller(2 * STALLED_MS)
    moving, served = caller(STALLED_MS / 2), caller(None)
    callers = [older, moving, oldest, served]
    assert choose_callers(callers, 50, True, NOW_MS) == [oldest]
    assert choose_callers(callers, 150, True, NOW_MS) == [oldest, older]
    assert choose_callers(callers, 1000, True, NOW_MS) == [oldest, older]
    assert choose_callers(callers, 0, True, NOW_MS) == []


def test_the_slowest_are_ended_once_nothing_is_left():
    """Guards against callers that keep all memory by sending a little at a time."""
    slow = caller(0.0, began_ms=SLOW_MS, n_moved_bytes=10)
    faster = caller(0.0, began_ms=SLOW_MS, n_moved_bytes=1000)
    recent = caller(0.0, began_ms=SLOW_MS / 2)
    stalled = caller(STALLED_MS, began_ms=SLOW_MS)
    callers = [faster, recent, slow, stalled]
    assert choose_callers(callers, 1000, False, NOW_MS) == [stalled]
    assert choose_callers(callers, 150, True, NOW_MS) == [stalled, slow]
    assert choose_callers(callers, 1000, True, NOW_MS) == [stalled, slow, faster]


def test_the_longest_stalled_callers_make_room_for_others():
    """Answers callers that stop in their bodies while others wait to connect."""
    oldest, older = caller(3 * STALLED_MS), caller(2 * STALLED_MS)
    callers = [older, caller(STALLED_MS / 2), oldest, caller(None)]
    assert choose_longest_stalled(callers, 1, NOW_MS) == [oldest]
    assert choose_longest_stalled(callers, 9, NOW_MS) == [oldest, older]
