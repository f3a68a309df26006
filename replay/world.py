"""A virtual clock and its queue of scheduled actions."""

from heapq import heappop, heappush


class World:
    """Runs scheduled actions in the order of their times on a virtual clock."""

    __slots__ = ("now_ms", "_event_queue", "_n_scheduled")

    def __init__(self, now_ms=0.0):
        self.now_ms = now_ms
        self._event_queue = []
        self._n_scheduled = 0

    def call_later(self, delay_ms, action):
        """Schedule an action; those of equal time run in the order of scheduling."""
        self._n_scheduled += 1
        heappush(self._event_queue, (self.now_ms + delay_ms, self._n_scheduled, action))

    def call_at(self, at_ms, action):
        """Schedule an action at a time, or now if the time has passed."""
        self.call_later(max(0.0, at_ms - self.now_ms), action)

    def run_until(self, end_ms):
        """Run the actions that are due by a time, and set the clock to that time."""
        while self._event_queue and self._event_queue[0][0] <= end_ms:
            self.now_ms, _, action = heappop(self._event_queue)
            action()
        self.now_ms = end_ms
