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
FIRST_HEARTBEATS_MS = 500.0
# A VM that need no longer follow the targets goes on for this long; one that
# never did forgets those of its first read by then.
UNWATCH_DELAY_MS = 3000.0
# So many peers of the own failure domain have to hear of new versions from the store.
# One is enough: if it is cut off, its peers of other domains tell it.
N_INFORMED_PEERS_MIN = 1
# For this long fewer of them may be heard. Then one VM after another asks the store
# itself: while it is down for all, most need not try.
UNINFORMED_MAX_MS = 1000.0
WATCH_STAGGER_MS = 1000.0
# VMs that are not named to others as first contacts wait for their news of the
# first configuration for this long.
FIRST_CONFIG_WAIT_MS = 2500.0
# A later revision or version is asked for only if it has not come by then.
BEHIND_MAX_MS = 900.0
# A VM whose peers brought a version too late follows the operators' keys itself
# for this long.
SELF_WATCH_MS = 10_000.0


class WatchScope:
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
        "_uses_short_watch",
        "_preferred_at_ms",
        "_serving_since_ms",
        "_informed_at_ms",
        "_behind_since_ms",
        "_self_watch_until_ms",
    )

    def __init__(self, peers, is_seed):
        self.peers = peers
        self.is_seed = is_seed
        self.scope = WATCH_NOTHING
        self._uses_short_watch = False
        self._preferred_at_ms = 0.0
        self._serving_since_ms = None
        self._informed_at_ms = peers.me.started_at_ms
        self._behind_since_ms = None
        self._self_watch_until_ms = float("-inf")

    def note_serving(self, now_ms):
        """Learn that this VM has a configuration and serves."""
        if self._serving_since_ms is None:
            self._serving_since_ms = now_ms
            self._informed_at_ms = now_ms

    def note_update(self):
        """Learn that the store or a peer brought something new."""
        self._behind_since_ms = None

    def note_behind(self, now_ms):
        """Learn that a peer has seen what this VM should have seen too."""
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms

    def update_scope(self, is_owner, has_targets, now_ms):
        """Return the messages that change what is followed, if it changes.

        ``is_owner`` tells whether this VM counts a service's requests in its
        failure domain, ``has_targets`` whether it still knows those that it read.
        """
        if self.peers.is_preferred:
            self._preferred_at_ms = now_ms
        scope = self._needed_scope(now_ms)
        uses_short_watch = is_owner and scope == WATCH_ALL
        if scope == self.scope and uses_short_watch == self._uses_short_watch:
            return []
        is_new = scope != self.scope
        self.scope = scope
        self._uses_short_watch = uses_short_watch
        set_watch = SetWatch(scope, uses_short_watch, has_targets)
        return (
            [set_watch, StateChange("store", "following", scope)]
            if is_new
            else [set_watch]
        )

    def _needed_scope(self, now_ms):
        if self._serving_since_ms is None:
            is_late = now_ms - self.peers.me.started_at_ms >= FIRST_CONFIG_WAIT_MS
            return WATCH_OPERATOR_KEYS if self.is_seed or is_late else WATCH_NOTHING
        if self.peers.is_preferred:
            has_heartbeats = now_ms - self._serving_since_ms >= FIRST_HEARTBEATS_MS
            return WATCH_ALL if has_heartbeats else self.scope
        if (
            self.scope == WATCH_ALL
            and now_ms - self._preferred_at_ms < UNWATCH_DELAY_MS
        ):
            return WATCH_ALL
        return (
            WATCH_NOTHING if self._has_informed_peers(now_ms) else WATCH_OPERATOR_KEYS
        )

    def _has_informed_peers(self, now_ms):
        if self.peers.n_local_watching(now_ms) >= N_INFORMED_PEERS_MIN:
            self._informed_at_ms = now_ms
        if now_ms < self._self_watch_until_ms:
            return False
        delay_ms = self.peers.n_ranked_before(now_ms) * WATCH_STAGGER_MS
        return now_ms - self._informed_at_ms < UNINFORMED_MAX_MS + delay_ms

    def needs_targets(self, now_ms):
        """Tell whether the targets of the first read are still of use."""
        if self.scope == WATCH_ALL or self._serving_since_ms is None:
            return True
        needed_at_ms = max(self._preferred_at_ms, self._serving_since_ms)
        return now_ms - needed_at_ms < UNWATCH_DELAY_MS

    def request_resync(self, revision, now_ms):
        """Return the messages that bring what peers have seen already."""
        since_ms = self._behind_since_ms
        if since_ms is None or now_ms - since_ms < BEHIND_MAX_MS:
            return []
        self._behind_since_ms = None
        if self.scope == WATCH_NOTHING:
            self._self_watch_until_ms = now_ms + SELF_WATCH_MS
            return []
        return [Resync(revision)]
