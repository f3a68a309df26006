"""How a VM that has to serve gets targets while it can't read them from the store.

It asks peers that may hold targets. If none does, it takes those that it has dropped
itself, each after it has answered. Such targets are used like those of an old read of
the store: the store is still read as soon as it answers.
"""

from ...edge_messages import StateChange
from ...edge_node_messages import WATCH_ALL
from ...target_copy_messages import (
    HeldTarget,
    TargetCopy,
    TargetsFetched,
    with_cold_start,
)
from .copy_rounds import CopyRounds
from .dropped_targets import DroppedTargets
from .target_table import is_same_start

# Time that a read of the store takes at most while the store is in order. A store that
# is silent is known to be unavailable only much later.
STORE_READ_MAX_MS = 150.0
# Time from which on a read that is late tells that the store was away meanwhile.
SILENT_READ_MIN_MS = 500.0


class TargetRecovery:
    """Gets the targets of a VM that has to serve without the store.

    ``is_fruitless`` is whether nobody that was asked could give targets, and
    ``is_old`` whether those in the table are not from a read of the store.

    Parameters
    ----------
    peers : PeerView
        The peers of this VM.
    table : TargetTable
        The targets of this VM.
    watch_scope : WatchScope
        What this VM watches: all keys while it has to serve.
    records : StoreRecords
        Knows the failure domains that are out of service.
    routing : Routing
        Holds the configuration, with the paths of the health endpoints.
    """

    __slots__ = (
        "is_fruitless",
        "is_old",
        "_peers",
        "_table",
        "_records",
        "_routing",
        "_watch_scope",
        "_dropped",
        "_rounds",
        "_needed_since_ms",
        "_current_at_ms",
        "_copied_at",
        "_old_since_ms",
        "_was_unavailable",
    )

    def __init__(self, peers, table, watch_scope, records, routing):
        self.is_fruitless = False
        self.is_old = False
        self._peers = peers
        self._table = table
        self._records = records
        self._routing = routing
        self._watch_scope = watch_scope
        self._dropped = DroppedTargets()
        self._rounds = CopyRounds(peers)
        # Since when this VM has had to serve without targets, or None.
        self._needed_since_ms = None
        # When the targets in the table were last known to be current.
        self._current_at_ms = 0.0
        # Era and revision of the store that the domains of the latest copy are from.
        self._copied_at = (0, 0)
        # Since when old targets have been used, and whether the store was known to be
        # unavailable since.
        self._old_since_ms = 0.0
        self._was_unavailable = False

    def handle(self, message, now_ms):
        """Take the outcome of a request for targets; return messages."""
        if type(message) is TargetsFetched:
            return self._take_copy(message, now_ms)
        return self._take_confirmed(message, now_ms)

    def note_read(self, now_ms):
        """Record that the targets have been read from the store, before their use."""
        if self.is_old:
            self._begin_filling()
            self._note_silence(now_ms)
        self.is_old = False
        self._current_at_ms = now_ms
        self._dropped.forget()

    def _begin_filling(self):
        """Let no target begin a cold start because it is new to the table.

        The table is old, so a target that it lacks need not have just started.
        """
        self._table.is_filled = False

    def _note_silence(self, now_ms):
        """Let targets register again after a silence of the store that no call showed.

        Their entries may have lapsed in it.
        """
        is_late = now_ms - self._old_since_ms >= SILENT_READ_MIN_MS
        if is_late and not self._was_unavailable:
            self._table.note_store_available(now_ms)

    def keep_dropped(self, now_ms):
        """Keep the targets of the table, which are about to be dropped."""
        held = [
            item for item in held_targets(self._table, now_ms) if not item.is_leaving
        ]
        if self.is_old and self._dropped:
            self._dropped.add(held)
        else:
            self._dropped.keep(held, self._current_at_ms)
        self.is_old = False

    def copy(self, now_ms):
        """Return the TargetCopy for a peer that asks, or None without targets."""
        if not self._table.is_filled or not self._table.by_key:
            return None
        era, revision = self._domains_known_at()
        return TargetCopy(
            held_targets(self._table, now_ms),
            self._records.domains_out(),
            max(0.0, now_ms - self._current_at_ms),
            revision,
            era,
        )

    def _domains_known_at(self):
        """Return the era and revision of the store that the domains are from."""
        return max((self._peers.era, self._peers.revision), self._copied_at)

    def update(self, is_store_unavailable, now_ms):
        """Ask for targets if this VM needs them; return messages."""
        self._was_unavailable = self._was_unavailable or is_store_unavailable
        if not self._needs_targets():
            self._reset()
            return self._refresh(is_store_unavailable, now_ms)
        if self._needed_since_ms is None:
            self._needed_since_ms = now_ms
        is_late = now_ms - self._needed_since_ms >= STORE_READ_MAX_MS
        if not is_store_unavailable and not is_late:
            return []
        out = self._fetch(now_ms)
        if self._rounds.may_succeed_soon(now_ms):
            return out
        return out + self._confirm(now_ms)

    def note_store_available(self, now_ms):
        """Record that the store answers: what is watched is current or read soon."""
        self._reset()
        is_followed = self._watch_scope.scope == WATCH_ALL and self._table.is_filled
        if is_followed and not self.is_old:
            self._current_at_ms = now_ms

    def _needs_targets(self):
        return self._watch_scope.scope == WATCH_ALL and not self._table.is_filled

    def _uses_old(self):
        return self._table.is_filled and self.is_old

    def _reset(self):
        self._needed_since_ms = None
        self._rounds.reset()
        self.is_fruitless = False

    # Peers.

    def _fetch(self, now_ms):
        fetch = self._rounds.request(now_ms)
        if fetch is not None:
            detail = " ".join(fetch.ips)
            return [fetch, StateChange("targets", "asking peers", "", detail)]
        if not self._rounds.is_asking and not self._dropped:
            self.is_fruitless = True
        return []

    def _take_copy(self, message, now_ms):
        """Use the copy in a TargetsFetched; return messages.

        It is left out if the targets are no longer needed or were read meanwhile.
        Older targets, and dropped ones that were confirmed before, give way to it.
        """
        self._rounds.note_end()
        if not self._needs_targets() and not self._uses_old():
            return []
        if message.copy is None:
            if not self._needs_targets():
                return []
            self._rounds.note_failure(now_ms)
            self.is_fruitless = self.is_fruitless or not self._dropped
            return [StateChange("targets", "no copy", ""), *self._confirm(now_ms)]
        copy = message.copy
        current_at_ms = now_ms - copy.age_ms
        if self._uses_old() and current_at_ms <= self._current_at_ms:
            return []
        self._rounds.note_copy(now_ms)
        self._dropped.forget()
        out = self._take_domains(copy, now_ms)
        named = {held.entry.key for held in copy.targets}
        for key in self._table.by_key:
            if key not in named:
                self._table.close(key)
        out += self._use(copy.targets, current_at_ms, now_ms)
        detail = f"n={len(copy.targets)} age_ms={copy.age_ms:.0f}"
        detail += f" revision={copy.revision} era={copy.era}"
        return [StateChange("targets", "copied", message.ip, detail), *out]

    def _take_domains(self, copy, now_ms):
        """Take over the domains of a copy, unless it is older than what is known."""
        copied_at = (copy.era, copy.revision)
        if copied_at < self._domains_known_at():
            return []
        self._copied_at = copied_at
        if self._peers.era == 0:
            # The store's first answer to this VM may be of a later era.
            self._peers.era = copy.era
        return self._records.apply_domains(copy.domains_out, now_ms)

    def _refresh(self, is_store_unavailable, now_ms):
        """Ask for newer targets, or for the rest of those that were dropped."""
        if not self._uses_old() or self._watch_scope.scope != WATCH_ALL:
            return []
        out = self._confirm(now_ms)
        newer = self._rounds.request_newer(now_ms) if is_store_unavailable else None
        return out if newer is None else [*out, newer]

    # Targets that were dropped.

    def _confirm(self, now_ms):
        domain = self._peers.me.failure_domain
        out = self._dropped.request(self._routing.config, domain, now_ms)
        if not out:
            return []
        detail = f"n={len(out[0].targets)}"
        detail += f" age_ms={now_ms - self._dropped.held_at_ms:.0f}"
        return [*out, StateChange("targets", "asking dropped", "", detail)]

    def _take_confirmed(self, message, now_ms):
        """Use the dropped targets that have answered; return messages."""
        confirmed = self._dropped.take_confirmed(message, now_ms)
        if not self._needs_targets() and not self._uses_old():
            return []
        detail = f"n={len(confirmed)} unanswered={len(self._dropped)}"
        out = [StateChange("targets", "confirmed", "", detail)]
        if not confirmed:
            self.is_fruitless = True
            return out
        return out + self._use(confirmed, self._dropped.held_at_ms, now_ms)

    def _use(self, targets, current_at_ms, now_ms):
        """Add HeldTargets to the table; return state changes for the log."""
        if not self.is_old:
            self._old_since_ms = now_ms
            self._was_unavailable = False
        self.is_old = True
        self.is_fruitless = False
        self._current_at_ms = current_at_ms
        self._begin_filling()
        out = []
        for held in targets:
            if self._table.known_targets.has_left_since(held.entry):
                continue
            out += self._table.put(held.entry, now_ms)
            target = self._table.by_key.get(held.entry.key)
            if target is None or not is_same_start(target.entry, held.entry):
                # The copy is of another start than the one that is known.
                continue
            target.is_leaving = target.is_leaving or held.is_leaving
            if held.pause_ms > 0.0:
                target.paused_until_ms = now_ms + held.pause_ms
        self._table.is_filled = True
        return out


def held_targets(table, now_ms):
    """Return the HeldTargets of a table, without those whose entries close them."""
    return [
        HeldTarget(
            with_cold_start(target.entry, max(0.0, target.cold_until_ms - now_ms)),
            target.is_leaving,
            max(0.0, target.paused_until_ms - now_ms),
        )
        for target in table.by_key.values()
        if target.is_open
    ]
