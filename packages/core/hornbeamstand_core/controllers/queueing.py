"""Requests that wait for a slot: short, bounded, first come first served."""

from collections import OrderedDict

from ..records import Record


class WaitingRequest(Record):
    """One waiting request."""

    __slots__ = ("acquire", "since_ms")

    def __init__(self, acquire, since_ms):
        self.acquire = acquire
        self.since_ms = since_ms


class WaitQueue:
    """Waiting requests by id, in order of arrival."""

    __slots__ = ("_waiting", "_nonempty_since_ms")

    def __init__(self):
        self._waiting = OrderedDict()
        self._nonempty_since_ms = 0.0

    def __len__(self):
        return len(self._waiting)

    def __iter__(self):
        return iter(list(self._waiting.values()))

    def add(self, acquire, now_ms):
        """Put a request at the end."""
        if not self._waiting:
            self._nonempty_since_ms = now_ms
        self._waiting[acquire.request_id] = WaitingRequest(acquire, now_ms)

    def standing_ms(self, now_ms):
        """Return for how long requests have waited without a break."""
        return now_ms - self._nonempty_since_ms if self._waiting else 0.0

    def remove(self, request_id):
        """Take one request out; returns it or None."""
        return self._waiting.pop(request_id, None)

    def take_expired(self, now_ms):
        """Take out the requests whose deadline has passed."""
        expired = [
            waiting
            for waiting in self._waiting.values()
            if waiting.acquire.deadline_at_ms <= now_ms
        ]
        for waiting in expired:
            self.remove(waiting.acquire.request_id)
        return expired
