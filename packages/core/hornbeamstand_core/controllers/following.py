"""What one VM follows in the store.

Each call of the store is paid for, so a VM follows only what it needs: the targets
while it stands by to serve them, what operators write while too few peers could
tell it of a new version, and else nothing.
"""

from ..edge_messages import StateChange
from ..edge_node_messages import (
    WATCH_ALL,
    WATCH_NOTHING,
    WATCH_OPERATOR_KEYS,
    Resync,
    SetWatch,
)

# Peers' answers to this VM's first signs of life are here by then.
HEARD_MS = 500.0
# A VM that need no longer follow the targets goes on for this long; one that
# never did forgets those of its first read by then.
UNFOLLOW_MS = 3000.0
# So many peers of the own failure domain have to hear of new versions from the store.
# One is enough: if it is cut off, its peers of other domains tell it.
N_INFORMED_MIN = 1
# For this long fewer of them may be heard. Then one VM after another asks the store
# itself: while it is down for all, most need not try.
UNINFORMED_MS = 1000.0
NEXT_ASKS_MS = 1000.0
# VMs that are not named to others as first contacts wait for their news of the
# first configuration for this long.
FIRST_CONFIG_MS = 2500.0
# A later revision or version is asked for only if it has not come by then.
BEHIND_MS = 900.0
# A VM whose peers brought a version too late follows the operators' keys itself
# for this long.
DISTRUST_MS = 10_000.0


class Following:
    """Decide what to follow, from the peers that are heard.

    Parameters
    ----------
    peers : PeerView
        The peers of this VM.
    is_seed : bool
        Whether other VMs call this one first.
    """

    __slots__ = (
        "peers",
        "is_seed",
        "scope",
        "_is_first",
        "_needed_at_ms",
        "_served_at_ms",
        "_informed_at_ms",
        "_behind_since_ms",
        "_distrust_until_ms",
    )

    def __init__(self, peers, is_seed):
        self.peers = peers
        self.is_seed = is_seed
        self.scope = WATCH_NOTHING
        self._is_first = False
        self._needed_at_ms = 0.0
        self._served_at_ms = None
        self._informed_at_ms = peers.me.started_at_ms
        self._behind_since_ms = None
        self._distrust_until_ms = float("-inf")

    def note_serving(self, now_ms):
        """Learn that this VM has a configuration and serves."""
        if self._served_at_ms is None:
            self._served_at_ms = now_ms
            self._informed_at_ms = now_ms

    def note_news(self):
        """Learn that the store or a peer brought something new."""
        self._behind_since_ms = None

    def note_behind(self, now_ms):
        """Learn that a peer has seen what this VM should have seen too."""
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms

    def change(self, is_first, has_targets, now_ms):
        """Return the messages that change what is followed, if it changes.

        ``is_first`` tells whether this VM counts a service's requests in its
        failure domain, ``has_targets`` whether it still knows those that it read.
        """
        if self.peers.is_standing_by:
            self._needed_at_ms = now_ms
        scope = self._wanted(now_ms)
        is_first = is_first and scope == WATCH_ALL
        if scope == self.scope and is_first == self._is_first:
            return []
        is_new = scope != self.scope
        self.scope = scope
        self._is_first = is_first
        follow = SetWatch(scope, is_first, has_targets)
        return (
            [follow, StateChange("store", "following", scope)] if is_new else [follow]
        )

    def _wanted(self, now_ms):
        if self._served_at_ms is None:
            is_late = now_ms - self.peers.me.started_at_ms >= FIRST_CONFIG_MS
            return WATCH_OPERATOR_KEYS if self.is_seed or is_late else WATCH_NOTHING
        if self.peers.is_standing_by:
            is_heard = now_ms - self._served_at_ms >= HEARD_MS
            return WATCH_ALL if is_heard else self.scope
        if self.scope == WATCH_ALL and now_ms - self._needed_at_ms < UNFOLLOW_MS:
            return WATCH_ALL
        return WATCH_NOTHING if self._is_informed(now_ms) else WATCH_OPERATOR_KEYS

    def _is_informed(self, now_ms):
        if self.peers.n_near_following(now_ms) >= N_INFORMED_MIN:
            self._informed_at_ms = now_ms
        if now_ms < self._distrust_until_ms:
            return False
        turn_ms = self.peers.n_ahead(now_ms) * NEXT_ASKS_MS
        return now_ms - self._informed_at_ms < UNINFORMED_MS + turn_ms

    def needs_targets(self, now_ms):
        """Tell whether the targets of the first read are still of use."""
        if self.scope == WATCH_ALL or self._served_at_ms is None:
            return True
        used_at_ms = max(self._needed_at_ms, self._served_at_ms)
        return now_ms - used_at_ms < UNFOLLOW_MS

    def ask_resync(self, revision, now_ms):
        """Return the messages that bring what peers have seen already."""
        since_ms = self._behind_since_ms
        if since_ms is None or now_ms - since_ms < BEHIND_MS:
            return []
        self._behind_since_ms = None
        if self.scope == WATCH_NOTHING:
            self._distrust_until_ms = now_ms + DISTRUST_MS
            return []
        return [Resync(revision)]
