"""When a VM that has started may own services and be named in lookups.

Each VM says in its heartbeats whether it is settled, so that all its peers agree on the
candidates. One that joins a domain with enough able owners lets them keep the services
until its own start is over: services that move at that moment cost reads of the
targets, connections and counts that start anew.
"""

from math import inf

# Minimum uptime of an owner.
SETTLED_MS = 2500.0
# Delay of a turn or tick from which a VM is late, and the time for which it must be in
# time then before it is settled. Later delays lengthen what is left of that time.
LATE_MS = 50.0
IN_TIME_MS = 1000.0
# Uptime from which a late VM is settled too if its domain lacks able owners.
LATE_SETTLED_MS = 8000.0
# Number of able owners in a domain with which a VM that joins them waits: the two that
# are preferred and one that may replace them.
N_ABLE_OWNERS = 3
# Minimum uptime of such a VM, and the time that it waits in addition for each VM that
# comes before it in the ranking. The first one thus changes the owner and the others
# don't.
JOINED_SETTLED_MS = 6000.0
RANK_STEP_MS = 500.0
RANK_WAIT_MAX_MS = 3000.0
# Maximum time from the moment when a VM is settled until all its peers have heard it,
# also preferred ones of other failure domains.
SETTLED_SPREAD_MS = 1250.0


class Settling:
    """Decides when this VM is settled; it remains so until its process ends.

    ``settled_at_ms`` is when it was found to be settled, or inf.

    Parameters
    ----------
    started_at_ms : float
        Start of this VM's process.
    """

    __slots__ = (
        "settled_at_ms",
        "_started_at_ms",
        "_left_late_ms",
        "_in_time_at_ms",
        "_has_joined",
        "_rank",
    )

    def __init__(self, started_at_ms):
        self.settled_at_ms = inf
        self._started_at_ms = started_at_ms
        # For how long this VM must still be in time.
        self._left_late_ms = 0.0
        # When the last tick was, if it was in time, or None.
        self._in_time_at_ms = None
        self._has_joined = False
        self._rank = 0

    def note_delay(self, delay_ms, now_ms):
        """Record the delay of a turn or tick, or that it was in time."""
        if self.is_settled(now_ms):
            return
        if delay_ms >= LATE_MS:
            is_first = self._left_late_ms == 0.0
            left_ms = IN_TIME_MS if is_first else self._left_late_ms + delay_ms
            self._left_late_ms = min(IN_TIME_MS, left_ms)
            self._in_time_at_ms = None
            return
        if self._in_time_at_ms is not None:
            since_ms = now_ms - self._in_time_at_ms
            self._left_late_ms = max(0.0, self._left_late_ms - since_ms)
        self._in_time_at_ms = now_ms

    def note_peers(self, n_able_owners, rank):
        """Record the number of able owners, and of VMs that rank before this one.

        Able owners are the VMs of its domain that were settled before it and are
        neither overloaded nor smaller.
        """
        self._has_joined = n_able_owners >= N_ABLE_OWNERS
        self._rank = rank

    def is_settled(self, now_ms):
        """Return whether this VM may own services."""
        if self.settled_at_ms == inf and self._is_due(now_ms):
            self.settled_at_ms = now_ms
        return self.settled_at_ms != inf

    def _is_due(self, now_ms):
        uptime_ms = now_ms - self._started_at_ms
        is_in_time = self._left_late_ms == 0.0
        if not self._has_joined:
            min_ms = SETTLED_MS if is_in_time else LATE_SETTLED_MS
            return uptime_ms >= min_ms
        rank_wait_ms = min(RANK_WAIT_MAX_MS, self._rank * RANK_STEP_MS)
        return is_in_time and uptime_ms >= JOINED_SETTLED_MS + rank_wait_ms
