"""The queue of requests that wait for a slot, served in order of arrival.

The service controller bounds the length and the expected wait, to keep the queue short.
"""

from collections import OrderedDict

from ...records import Record


class WaitingRequest(Record):
    """An Acquire and the time when it was queued."""

    __slots__ = ("acquire", "since_ms")

    def __init__(self, acquire, since_ms):
        self.acquire = acquire
        self.since_ms = since_ms


class WaitQueue:
    """Waiting requests by id, in order of arrival.

    ``_nonempty_since_ms`` is the time when a request last entered an empty queue.
    """

    __slots__ = ("_waiting", "_nonempty_since_ms")

    def __init__(self):
        self._waiting = OrderedDict()
        self._nonempty_since_ms = 0.0

    def __len__(self):
        return len(self._waiting)

    def __iter__(self):
        return iter(list(self._waiting.values()))

    def add(self, acquire, now_ms):
        """Append a request."""
        if not self._waiting:
            self._nonempty_since_ms = now_ms
        self._waiting[acquire.request_id] = WaitingRequest(acquire, now_ms)

    def standing_ms(self, now_ms):
        """Return how long the queue has not been empty."""
        return now_ms - self._nonempty_since_ms if self._waiting else 0.0

    def remove(self, request_id):
        """Remove a request; return its WaitingRequest, or None if it does not wait."""
        return self._waiting.pop(request_id, None)

    def take_expired(self, now_ms):
        """Remove and return the requests whose deadline has passed."""
        expired = [
            waiting
            for waiting in self._waiting.values()
            if waiting.acquire.deadline_at_ms <= now_ms
        ]
        for waiting in expired:
            self.remove(waiting.acquire.request_id)
        return expired
