"""What one VM watches in the store.

Each call to the store is billed, so a VM watches only what it needs: all keys,
including the targets, while it is preferred for a service or can't use those that are;
only the operators' keys while too few peers could inform it of a new version; otherwise
nothing.
"""

from ...edge_messages import StateChange
from ...edge_node_messages import (
    WATCH_ALL,
    WATCH_NOTHING,
    WATCH_OPERATOR_KEYS,
    DelayFirstRead,
    Resync,
    SetWatch,
)
from ..peers.watching import watching_peers

# Wait from the start of serving until a preferred VM watches all keys. Peers have
# replied to its first heartbeats by then, so it knows whether it is still preferred.
FIRST_HEARTBEATS_MS = 500.0
# Time for which a VM that no longer needs the targets keeps watching them. A VM that
# never watched them drops those of its first read after this time.
UNWATCH_DELAY_MS = 3000.0
# Minimum number of peers of the same failure domain that must watch the store, so that
# this VM learns of new versions from them. One is enough: if that peer is cut off from
# the store, its own peers in other domains inform it.
N_INFORMED_PEERS_MIN = 1
# Maximum time with fewer informed peers before a VM watches the operators' keys itself.
UNINFORMED_MAX_MS = 1000.0
# The same time, and the additional one, for the first try after all informed peers were
# lost. They may be cut off while this VM is not, so it must not wait for long.
FIRST_TRY_MS = 100.0
FIRST_TRY_STAGGER_MS = 25.0
# Number of VMs that make such a try. If the store is down for all, it is in vain.
N_FIRST_TRIES_MAX = 16
# Additional time for each VM that is not preferred and ranks before this one. The VMs
# thus call the store one after another. While the store is down for all of them, most
# need not try.
WATCH_STAGGER_MS = 1000.0
# Time that a VM other than a seed waits for its peers to announce the first
# configuration, before it watches the operators' keys itself.
FIRST_CONFIG_WAIT_MS = 2500.0
# Size class up to which a VM first waits for its peers to start without the store. Such
# VMs are owners only in a domain without larger ones.
SMALL_CAPACITY_MAX = -2
# Time that such a VM waits before it reads the store like the others.
FIRST_READ_WAIT_MS = 1500.0
# The same time if it hears a larger VM of its failure domain, which watches the store
# soon after it has read the targets.
FIRST_READ_WAIT_LONG_MS = 2300.0
# Maximum time that this VM stays behind a peer's revision or version. Only then does it
# turn to the store: the update may still arrive by itself.
BEHIND_MAX_MS = 900.0
# Time for which a VM watches the operators' keys itself after its peers delivered a
# version too late.
SELF_WATCH_MS = 10_000.0


class WatchScope:
    """Decides what to watch, from the state of the peers.

    Parameters
    ----------
    peers : PeerView
        The peers of this VM.
    is_seed : bool
        Whether other VMs contact this one first after their start.
    """

    __slots__ = (
        "peers",
        "is_seed",
        "scope",
        "_uses_short_watch",
        "_needed_at_ms",
        "_serving_since_ms",
        "_informed_at_ms",
        "_behind_since_ms",
        "_self_watch_until_ms",
        "_has_delayed_read",
        "_peer_era",
        "_may_try_first",
    )

    def __init__(self, peers, is_seed):
        self.peers = peers
        self.is_seed = is_seed
        self.scope = WATCH_NOTHING
        self._uses_short_watch = False
        self._needed_at_ms = 0.0
        self._serving_since_ms = None
        self._informed_at_ms = peers.me.started_at_ms
        self._behind_since_ms = None
        self._self_watch_until_ms = float("-inf")
        self._has_delayed_read = False
        # The latest era of the store that a peer has stated.
        self._peer_era = 0
        # Set while peers are informed, and after that until this VM has found that it
        # can't reach the store either.
        self._may_try_first = False

    def note_serving(self, now_ms):
        """Record that this VM has read a configuration and the targets, and serves."""
        if self._serving_since_ms is None:
            self._serving_since_ms = now_ms
            self._informed_at_ms = now_ms

    @property
    def first_read_delay_ms(self):
        """Time from the start of this VM until it reads the store.

        Most VMs of a large fleet are small and need no targets: they relay requests to
        the owners. They start with a peer's copy of the configuration and save the
        store two calls each.
        """
        is_small = self.peers.me.capacity <= SMALL_CAPACITY_MAX
        return FIRST_READ_WAIT_MS if is_small and not self.is_seed else 0.0

    def may_serve_without_targets(self, now_ms):
        """Return whether this VM may serve although it never read the targets."""
        return (
            self.first_read_delay_ms > 0.0
            and len(watching_peers(self.peers, now_ms)) >= N_INFORMED_PEERS_MIN
        )

    def note_unavailable(self):
        """Record that this VM can't reach the store."""
        self._may_try_first = False

    def note_update(self):
        """Record that the store or a peer delivered an update."""
        self._behind_since_ms = None

    def note_behind(self, now_ms):
        """Record that a peer has a revision or version that this VM still lacks."""
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms

    def note_peer_era(self, peer_era, own_era):
        """Return a list with a Resync if a peer is the first to state a later era.

        The answer to the watch that it begins states the era. An earlier watch may
        wait for changes on a connection that the store knows nothing of any more.
        """
        if peer_era <= max(own_era, self._peer_era):
            return []
        self._peer_era = peer_era
        return [] if self.scope == WATCH_NOTHING else [Resync(self.peers.revision)]

    def update_scope(self, is_owner, lacks_owners, has_targets, now_ms):
        """Update what is watched; return messages if it changes.

        ``is_owner`` is set if this VM owns a service in its failure domain, or serves
        it in place of owners that it can't use, for which ``lacks_owners`` is set.
        ``has_targets`` is set if it still holds the targets that it has read.
        """
        serves = self.peers.is_preferred or lacks_owners
        if serves:
            self._needed_at_ms = now_ms
        scope = self._needed_scope(serves, now_ms)
        uses_short_watch = is_owner and scope == WATCH_ALL
        if scope == self.scope and uses_short_watch == self._uses_short_watch:
            return self._delay_first_read(now_ms)
        is_new = scope != self.scope
        self.scope = scope
        self._uses_short_watch = uses_short_watch
        set_watch = SetWatch(scope, uses_short_watch, has_targets)
        return (
            [set_watch, StateChange("store", "following", scope)]
            if is_new
            else [set_watch]
        )

    def _delay_first_read(self, now_ms):
        """Return a DelayFirstRead once a larger VM of this failure domain is heard."""
        if self._has_delayed_read or self._serving_since_ms is not None:
            return []
        if not self.first_read_delay_ms or not self._hears_larger_vm():
            return []
        self._has_delayed_read = True
        uptime_ms = now_ms - self.peers.me.started_at_ms
        return [DelayFirstRead(FIRST_READ_WAIT_LONG_MS - uptime_ms)]

    def _hears_larger_vm(self):
        return any(
            peer.heartbeat.capacity > SMALL_CAPACITY_MAX
            and peer.heartbeat.failure_domain == self.peers.me.failure_domain
            for peer in self.peers.peers.values()
        )

    def _needed_scope(self, serves, now_ms):
        if self._serving_since_ms is None:
            is_late = now_ms - self.peers.me.started_at_ms >= FIRST_CONFIG_WAIT_MS
            return WATCH_OPERATOR_KEYS if self.is_seed or is_late else WATCH_NOTHING
        if serves:
            has_heartbeats = now_ms - self._serving_since_ms >= FIRST_HEARTBEATS_MS
            return WATCH_ALL if has_heartbeats else self.scope
        if self.scope == WATCH_ALL and now_ms - self._needed_at_ms < UNWATCH_DELAY_MS:
            return WATCH_ALL
        return (
            WATCH_NOTHING if self._has_informed_peers(now_ms) else WATCH_OPERATOR_KEYS
        )

    def _has_informed_peers(self, now_ms):
        if self._n_informed_peers(now_ms) >= N_INFORMED_PEERS_MIN:
            self._informed_at_ms = now_ms
            self._may_try_first = True
        if now_ms < self._self_watch_until_ms:
            return False
        return now_ms - self._informed_at_ms < self._uninformed_max_ms(now_ms)

    def _n_informed_peers(self, now_ms):
        """Return how many peers this VM can learn new versions from.

        Of several VMs that watch only because no other one did, the first one goes on.
        """
        watching = watching_peers(self.peers, now_ms)
        if self.scope != WATCH_OPERATOR_KEYS:
            return len(watching)
        own_ip = self.peers.me.ip
        return sum(item.is_preferred or item.ip < own_ip for item in watching)

    def _uninformed_max_ms(self, now_ms):
        """Return the time without informed peers after which this VM watches itself."""
        n_before = self.peers.n_ranked_before(now_ms)
        if self._may_try_first and n_before < N_FIRST_TRIES_MAX:
            return FIRST_TRY_MS + n_before * FIRST_TRY_STAGGER_MS
        return UNINFORMED_MAX_MS + n_before * WATCH_STAGGER_MS

    def needs_targets(self, now_ms):
        """Return whether the targets that were read are still needed."""
        if self.scope == WATCH_ALL or self._serving_since_ms is None:
            return True
        needed_at_ms = max(self._needed_at_ms, self._serving_since_ms)
        return now_ms - needed_at_ms < UNWATCH_DELAY_MS

    def request_resync(self, revision, now_ms):
        """Return a list with a Resync if this VM was behind its peers for too long.

        If this VM watches nothing, the list is empty, and the next update of the scope
        makes this VM watch the operators' keys for ``SELF_WATCH_MS``.
        """
        since_ms = self._behind_since_ms
        if since_ms is None or now_ms - since_ms < BEHIND_MAX_MS:
            return []
        self._behind_since_ms = None
        if self.scope == WATCH_NOTHING:
            self._self_watch_until_ms = now_ms + SELF_WATCH_MS
            return []
        return [Resync(revision)]
