"""When a VM that follows the store checks that it still reaches it.

Other VMs of its failure domain rely on it for new versions and ask the store nothing. A
watch that waits shows only after seconds that its VM is cut off, so one of the VMs that
watch makes a cheap call at short intervals. Once it says that it is cut off, the others
that watch check at once: they may be cut off too.
"""

from ...edge_node_messages import CheckStore
from ..peers.watching import is_first_watching

# Interval of the checks of the VM that makes them for its failure domain.
CHECK_INTERVAL_MS = 400.0
# Maximum wait for the answer to a check.
CHECK_TIMEOUT_MS = 300.0
# The same wait while the store is slow: as long as any call of it waits.
SLOW_CHECK_TIMEOUT_MS = 800.0
# Time for which the store counts as slow after it has answered a call but no check.
SLOW_STORE_MS = 10_000.0


class StoreChecks:
    """The checks of one VM.

    Parameters
    ----------
    peers : PeerView
        The peers of this VM, and whether it says that it watches the store.
    """

    __slots__ = ("peers", "_asked_at_ms", "_is_asking", "_has_failed", "_slow_until_ms")

    def __init__(self, peers):
        self.peers = peers
        self._asked_at_ms = float("-inf")
        self._is_asking = False
        # Set from an unanswered check until the store answers a call.
        self._has_failed = False
        self._slow_until_ms = float("-inf")

    def tick(self, is_doubtful, now_ms):
        """Return a list with a CheckStore if this VM has to make one now.

        ``is_doubtful`` is set while it watches, but can't say yet that it reaches the
        store.
        """
        if now_ms - self._asked_at_ms < CHECK_INTERVAL_MS:
            return []
        if not is_doubtful and not is_first_watching(self.peers, now_ms):
            return []
        return self.check(now_ms)

    def note_heartbeat(self, heartbeat, now_ms):
        """Return a CheckStore if a peer no longer watches, before its heartbeat counts.

        A peer that stops loses its watch by that alone.
        """
        peer = self.peers.peers.get(heartbeat.ip)
        if peer is None or not self.peers.is_local(heartbeat) or heartbeat.is_stopping:
            return []
        if heartbeat.is_watching or not peer.heartbeat.is_watching:
            return []
        return self.check(now_ms) if self.peers.is_watching else []

    def check(self, now_ms):
        """Return a list with a CheckStore, unless one is being made."""
        if self._is_asking:
            return []
        self._asked_at_ms = now_ms
        self._is_asking = True
        is_slow = now_ms < self._slow_until_ms
        return [CheckStore(SLOW_CHECK_TIMEOUT_MS if is_slow else CHECK_TIMEOUT_MS)]

    def note_checked(self, is_answered):
        """Record the end of a check."""
        self._is_asking = False
        self._has_failed = not is_answered

    def note_answer(self, now_ms):
        """Record that the store has answered a call of this VM."""
        if self._has_failed:
            self._has_failed = False
            self._slow_until_ms = now_ms + SLOW_STORE_MS
