"""The refused callers that are due to return, by priority.

It answers a load with a burst of refusals: if all refused callers came back as soon as
the present queue has drained, they would be refused together once more.
"""

from heapq import heappop, heappush


class ReturningCallers:
    """The times at which refused callers were told to return."""

    __slots__ = ("_return_at_ms",)

    def __init__(self):
        self._return_at_ms = {}

    def add(self, priority, return_at_ms):
        """Note that a refused caller was told to return at a time."""
        heappush(self._return_at_ms.setdefault(priority, []), return_at_ms)

    def n_before(self, priority, now_ms):
        """Return the number of callers due to return that are at least as urgent."""
        n_due = 0
        for urgency, times in self._return_at_ms.items():
            while times and times[0] <= now_ms:
                heappop(times)
            if urgency <= priority:
                n_due += len(times)
        return n_due
