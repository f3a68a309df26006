"""The requests that have spent a token and still wait for a slot."""

from collections import deque

# Maximum time for which a request counts as waiting, should its end not be reported.
COUNTED_MAX_MS = 3000.0


class UnsentRequests:
    """The times at which the waiting requests spent their tokens, the earliest first.

    Their tokens count as held until the requests are sent. Otherwise requests that wait
    and are then sent together would exceed a quota.
    """

    __slots__ = ("_spent_at_ms",)

    def __init__(self):
        self._spent_at_ms = deque()

    def begin(self, now_ms):
        """Record that a request has spent a token."""
        self._spent_at_ms.append(now_ms)

    def end_one(self):
        """Record that one of the requests is sent, or has ended."""
        if self._spent_at_ms:
            self._spent_at_ms.popleft()

    def count(self, now_ms):
        """Return the number of requests that wait."""
        while self._spent_at_ms and now_ms - self._spent_at_ms[0] >= COUNTED_MAX_MS:
            self._spent_at_ms.popleft()
        return len(self._spent_at_ms)
