"""A virtual clock with an agenda."""

from heapq import heappop, heappush


class World:
    """Runs actions in the order of their times; the clock is virtual."""

    __slots__ = ("now_ms", "_agenda", "_n_planned")

    def __init__(self, now_ms=0.0):
        self.now_ms = now_ms
        self._agenda = []
        self._n_planned = 0

    def after(self, delay_ms, action):
        """Plan an action; actions of one time run in the order of planning."""
        self._n_planned += 1
        heappush(self._agenda, (self.now_ms + delay_ms, self._n_planned, action))

    def at(self, at_ms, action):
        """Plan an action at a time that is not past."""
        self.after(max(0.0, at_ms - self.now_ms), action)

    def run_until(self, end_ms):
        """Run what is planned until a time."""
        while self._agenda and self._agenda[0][0] <= end_ms:
            self.now_ms, _, action = heappop(self._agenda)
            action()
        self.now_ms = end_ms
