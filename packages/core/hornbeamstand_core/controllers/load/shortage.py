"""Which callers are ended when what a VM holds for callers nears its limit.

It answers a load of callers that send their requests or read their responses so slowly
that the VM holds many of these for long.
"""

# Share of the limit from which stalled callers are ended, and the share that is left
# of it afterwards.
SHORT_SHARE = 0.75
RELIEVED_SHARE = 0.6
# Time for which a caller has neither sent nor read before it counts as stalled, and the
# time after which one that still sends or reads may be ended if no memory is left.
STALLED_MS = 1000.0
SLOW_MS = 5000.0


def choose_callers(callers, n_wanted_bytes, is_exhausted, now_ms):
    """Return the callers to end, so that the wanted bytes become free if they can.

    Those that are stalled come first, the longest stalled before the others. If nothing
    is left, the slowest of those that have been sending or reading for long follow.

    Parameters
    ----------
    callers : iterable
        ``n_bytes`` of each is what is held for it; ``waits_since_ms`` is the time at
        which it moved last, or None if the VM does not wait for it to send or read.
        ``began_at_ms`` is the time at which that wait began, and ``n_moved_bytes`` what
        it has sent or read since.
    n_wanted_bytes : float
        Number of bytes that are to be freed.
    is_exhausted : bool
        Whether nothing is left.
    now_ms : float
        The time.
    """
    awaited = [caller for caller in callers if caller.waits_since_ms is not None]
    stalled = [c for c in awaited if now_ms - c.waits_since_ms >= STALLED_MS]
    stalled.sort(key=lambda caller: caller.waits_since_ms)
    chosen = take_bytes(stalled, n_wanted_bytes)
    if is_exhausted and len(chosen) == len(stalled):
        n_wanted_bytes -= sum(caller.n_bytes for caller in chosen)
        slow = [
            caller
            for caller in awaited
            if now_ms - caller.waits_since_ms < STALLED_MS
            and now_ms - caller.began_at_ms >= SLOW_MS
        ]
        slow.sort(key=lambda c: c.n_moved_bytes / (now_ms - c.began_at_ms))
        chosen += take_bytes(slow, n_wanted_bytes)
    return chosen


def choose_longest_stalled(callers, n_max, now_ms):
    """Return up to ``n_max`` stalled callers to end, the longest stalled ones.

    It answers callers that stop within their requests or responses while others wait to
    connect. See ``choose_callers`` for the attributes of the callers.
    """
    awaited = [caller for caller in callers if caller.waits_since_ms is not None]
    stalled = [c for c in awaited if now_ms - c.waits_since_ms >= STALLED_MS]
    stalled.sort(key=lambda caller: caller.waits_since_ms)
    return stalled[:n_max]


def take_bytes(callers, n_wanted_bytes):
    """Return the first callers for which at least the wanted bytes are held."""
    taken = []
    for caller in callers:
        if n_wanted_bytes <= 0:
            break
        taken.append(caller)
        n_wanted_bytes -= caller.n_bytes
    return taken
