"""When a VM asks its peers for their targets, one round after another."""

from math import inf

from ...target_copy_messages import FetchTargets
from .target_sources import target_sources, watching_sources

# Time that a copy takes at most from peers that can be reached.
COPY_MAX_MS = 150.0
# Minimum and maximum interval between two rounds in which no peer had targets. It
# doubles with each.
FETCH_INTERVAL_MIN_MS = 250.0
FETCH_INTERVAL_MAX_MS = 2000.0
# Interval at which a VM that alone can't reach the store renews its copy, so that it
# learns in time of targets that leave.
REFRESH_INTERVAL_MS = 1000.0


class CopyRounds:
    """The rounds since this VM needs targets; at most one is in progress.

    Parameters
    ----------
    peers : PeerView
        The peers of this VM.
    """

    __slots__ = (
        "_peers",
        "_n_failed",
        "_due_at_ms",
        "_interval_ms",
        "_asking_since_ms",
        "_refresh_at_ms",
    )

    def __init__(self, peers):
        self._peers = peers
        # Since when peers have been asked, or None.
        self._asking_since_ms = None
        # When a copy that is used is to be renewed.
        self._refresh_at_ms = -inf
        self.reset()

    @property
    def is_asking(self):
        """Whether a round is in progress."""
        return self._asking_since_ms is not None

    def reset(self):
        """Begin anew: targets are not needed at the moment."""
        self._n_failed = 0
        self._due_at_ms = -inf
        self._interval_ms = FETCH_INTERVAL_MIN_MS

    def request(self, now_ms):
        """Return the FetchTargets of a round that is due, or None."""
        if self.is_asking or now_ms < self._due_at_ms:
            return None
        return self._ask(target_sources(self._peers, self._n_failed, now_ms), now_ms)

    def request_newer(self, now_ms):
        """Return a FetchTargets to peers that reach the store if it is due, or None."""
        if self.is_asking or now_ms < self._refresh_at_ms:
            return None
        self._refresh_at_ms = now_ms + REFRESH_INTERVAL_MS
        return self._ask(watching_sources(self._peers, now_ms), now_ms)

    def _ask(self, ips, now_ms):
        if not ips:
            return None
        self._asking_since_ms = now_ms
        return FetchTargets(ips)

    def may_succeed_soon(self, now_ms):
        """Return whether the peers of the first round may still answer soon."""
        if self._n_failed > 0 or self._asking_since_ms is None:
            return False
        return now_ms - self._asking_since_ms < COPY_MAX_MS

    def note_end(self):
        """Record the end of a round."""
        self._asking_since_ms = None

    def note_failure(self, now_ms):
        """Record that no peer of a round had targets, while they are needed."""
        self._n_failed += 1
        self._due_at_ms = now_ms + self._interval_ms
        self._interval_ms = min(FETCH_INTERVAL_MAX_MS, 2.0 * self._interval_ms)

    def note_copy(self, now_ms):
        """Record that a copy is used from now on."""
        self._refresh_at_ms = now_ms + REFRESH_INTERVAL_MS
