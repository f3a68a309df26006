"""How many of their recent requests groups of callers were served.

A group is an organisation or a priority. The counts decay, so that what a group got
long ago neither helps nor hurts it.
"""

from math import exp

from ...records import Record

# Time constant with which counts decay. It spans the deadlines of most callers, so that
# a caller's retry counts beside its first try.
DECAY_MS = 3_000.0
# Least share of its requests that a group is served, as a multiple of that of all
# requests. Callers bear a quarter; the margin is for VMs, each of which counts alone.
FLOOR_SHARE = 0.35
# Count of recent requests below which a group is forgotten.
FADED_COUNT = 0.01
# Minimum interval of the rounds that forget groups.
FORGET_INTERVAL_MS = 1000.0


class GroupCount(Record):
    """The decayed counts of a group's requests, as of ``at_ms``."""

    __slots__ = ("n_asked", "n_served", "at_ms")

    def __init__(self, at_ms):
        self.n_asked = 0.0
        self.n_served = 0.0
        self.at_ms = at_ms

    def decay(self, now_ms):
        """Bring the counts up to date."""
        weight = exp(min(0.0, (self.at_ms - now_ms) / DECAY_MS))
        self.n_asked *= weight
        self.n_served *= weight
        self.at_ms = now_ms


class ServedShares:
    """The recent requests of each group, and of all groups together."""

    __slots__ = ("_groups", "_all", "_forgot_at_ms")

    def __init__(self):
        self._groups = {}
        self._forgot_at_ms = float("-inf")
        self._all = GroupCount(0.0)

    def note_asked(self, group, now_ms):
        """Count a request of a group."""
        if group not in self._groups:
            self._forget_faded(now_ms)
            self._groups[group] = GroupCount(now_ms)
        for count in (self._groups[group], self._all):
            count.decay(now_ms)
            count.n_asked += 1.0

    def note_served(self, group, now_ms):
        """Count a request of a group that got a slot."""
        for count in (self._groups.get(group), self._all):
            if count is not None:
                count.decay(now_ms)
                count.n_served += 1.0

    def n_served(self, group, now_ms):
        """Return the number of a group's recent requests that got a slot."""
        count = self._groups.get(group)
        if count is None:
            return 0.0
        count.decay(now_ms)
        return count.n_served

    def is_below_floor(self, group, now_ms):
        """Return whether a group lacks a whole request to its least share."""
        count = self._groups.get(group)
        if count is None or len(self._groups) < 2:
            return False
        count.decay(now_ms)
        self._all.decay(now_ms)
        all_share = self._all.n_served / max(1.0, self._all.n_asked)
        return count.n_served + 1.0 <= FLOOR_SHARE * all_share * count.n_asked

    def least_share(self, now_ms):
        """Return the least share of its recent requests that a group was served.

        Groups with less than one recent request are left out.
        """
        least = 1.0
        for count in self._groups.values():
            count.decay(now_ms)
            if count.n_asked >= 1.0:
                least = min(least, count.n_served / count.n_asked)
        return least

    def _forget_faded(self, now_ms):
        if now_ms - self._forgot_at_ms < FORGET_INTERVAL_MS:
            return
        self._forgot_at_ms = now_ms
        for group, count in list(self._groups.items()):
            count.decay(now_ms)
            if count.n_asked < FADED_COUNT:
                del self._groups[group]
