"""A virtual clock with an agenda."""

from heapq import heappop, heappush


class World:
    """Runs actions in the order of their times; the clock is virtual."""

    __slots__ = ("now_ms", "_event_queue", "_n_scheduled")

    def __init__(self, now_ms=0.0):
        self.now_ms = now_ms
        self._event_queue = []
        self._n_scheduled = 0

    def call_later(self, delay_ms, action):
        """Plan an action; actions of one time run in the order of planning."""
        self._n_scheduled += 1
        heappush(self._event_queue, (self.now_ms + delay_ms, self._n_scheduled, action))

    def call_at(self, at_ms, action):
        """Plan an action at a time that is not past."""
        self.call_later(max(0.0, at_ms - self.now_ms), action)

    def run_until(self, end_ms):
        """Run what is planned until a time."""
        while self._event_queue and self._event_queue[0][0] <= end_ms:
            self.now_ms, _, action = heappop(self._event_queue)
            action()
        self.now_ms = end_ms
