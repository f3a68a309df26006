"""Whether this VM reaches the store, what it watches there and serves with.

The store may be unavailable to this VM alone or to all. ``WatchScope`` decides what to
watch; a VM serves once it has what it needs for that.
"""

from ...edge_messages import StateChange
from ...edge_node_messages import WATCH_NOTHING, Resync, SetWatch
from ..peers.watching import set_watching
from .store_checks import StoreChecks

# Maximum age of the store's last answer with which a VM that begins to watch says so
# before it has got another one.
ANSWER_MAX_AGE_MS = 1000.0


class StoreFollowing:
    """The store as this VM sees it, and what follows for its targets and peers.

    ``is_unavailable`` is set while this VM can't reach the store, and ``is_doubtful``
    while it has not shown that it does: peers then don't rely on it for new versions.

    Parameters
    ----------
    peers : PeerView
        The peers, which learn whether this VM serves and watches the store.
    table : TargetTable
        The targets that were read.
    watch_scope : WatchScope
        Decides what to watch.
    recovery : TargetRecovery
        Keeps the targets that are dropped.
    """

    __slots__ = (
        "peers",
        "table",
        "watch_scope",
        "recovery",
        "checks",
        "is_unavailable",
        "is_doubtful",
        "_answered_at_ms",
        "_available_to_peer_at_ms",
    )

    def __init__(self, peers, table, watch_scope, recovery):
        self.peers = peers
        self.table = table
        self.watch_scope = watch_scope
        self.recovery = recovery
        self.checks = StoreChecks(peers)
        self.is_unavailable = False
        self.is_doubtful = False
        self._answered_at_ms = float("-inf")
        # When a peer's heartbeat first showed that the store, which is unavailable to
        # this VM, is available to that peer, or None.
        self._available_to_peer_at_ms = None

    def note_unavailable(self, detail, now_ms):
        """Record that the store can't be reached; return messages."""
        if self.is_unavailable:
            return []
        self.is_unavailable = True
        self.watch_scope.note_unavailable()
        self._available_to_peer_at_ms = None
        self.table.note_store_unavailable(now_ms)
        return [StateChange("store", "away", "", detail)]

    def note_answer(self, now_ms):
        """Record an answer of the store to a read or a watch."""
        self._answered_at_ms = now_ms
        self.is_doubtful = False
        self.checks.note_answer(now_ms)

    def tick(self, now_ms):
        """Return a list with a CheckStore if this VM has to make one now."""
        is_watching = self.watch_scope.scope != WATCH_NOTHING
        is_unsure = is_watching and self.is_doubtful and not self.is_unavailable
        return self.checks.tick(is_unsure, now_ms)

    def note_checked(self, message, now_ms):
        """Record whether the store has answered a check; return messages.

        Without an answer, peers are told at once not to rely on this VM. A watch that
        has lasted for a while is begun anew, which shows whether the store is there.
        """
        self.checks.note_checked(message.is_answered)
        if self.watch_scope.scope == WATCH_NOTHING:
            return []
        if message.is_answered:
            self.is_doubtful = False
            return self.update_watching(now_ms)
        self.watch_scope.note_unavailable()
        if not self.peers.is_watching:
            return []
        self.is_doubtful = True
        return [
            StateChange("store", "in doubt", "", "no answer to a check"),
            Resync(self.peers.revision),
            *self.update_watching(now_ms),
        ]

    def note_available(self, now_ms):
        """Record that the store can be reached; return messages."""
        self.note_answer(now_ms)
        return self._end_unavailable(now_ms) + self.update_watching(now_ms)

    def _end_unavailable(self, now_ms):
        if not self.is_unavailable:
            return []
        self.is_unavailable = False
        available_at_ms = (
            now_ms
            if self._available_to_peer_at_ms is None
            else self._available_to_peer_at_ms
        )
        self.table.note_store_available(available_at_ms)
        return [StateChange("store", "back", "")]

    def note_behind_peer(self, now_ms):
        """Record that a peer that watches the store has a later revision from it."""
        self.watch_scope.note_behind(now_ms)
        if self.is_unavailable and self._available_to_peer_at_ms is None:
            self._available_to_peer_at_ms = now_ms

    def begin_serving(self, has_config, now_ms):
        """Serve from now on if this VM has what it needs for that.

        A VM that serves without having read the targets says that it watches nothing,
        so that its first read of the store does not take place.
        """
        if self.peers.is_serving or not has_config:
            return []
        has_targets = self.table.is_filled
        if not has_targets and not self.watch_scope.may_serve_without_targets(now_ms):
            return []
        self.peers.is_serving = True
        self.watch_scope.note_serving(now_ms)
        if has_targets:
            return []
        return [
            SetWatch(WATCH_NOTHING, has_targets=False),
            StateChange("store", "following", WATCH_NOTHING, "started from peers"),
        ]

    def update_scope(self, is_owner, lacks_owners, now_ms):
        """Watch what this VM needs, and drop the targets that it no longer needs."""
        if self.table.is_filled and not self.watch_scope.needs_targets(now_ms):
            self.recovery.keep_dropped(now_ms)
            self.table.clear()
        # The store's changes since targets that are not from the store are unknown.
        has_targets = self.table.is_filled and not self.recovery.is_old
        was_watching = self.watch_scope.scope != WATCH_NOTHING
        out = self.watch_scope.update_scope(is_owner, lacks_owners, has_targets, now_ms)
        if not was_watching and self.watch_scope.scope != WATCH_NOTHING:
            out += self._begin_watching(now_ms)
        return out + self.update_watching(now_ms)

    def _begin_watching(self, now_ms):
        """Return a check, unless the store has answered this VM shortly before.

        The watch itself has no answer before there are changes.
        """
        if now_ms - self._answered_at_ms <= ANSWER_MAX_AGE_MS:
            return []
        self.is_doubtful = True
        return self.checks.check(now_ms)

    def update_watching(self, now_ms):
        """Let the heartbeats say whether this VM watches the store; return messages."""
        is_hindered = self.is_unavailable or self.is_doubtful
        is_watching = self.watch_scope.scope != WATCH_NOTHING and not is_hindered
        return set_watching(self.peers, is_watching, now_ms)
