"""Which entries of targets count after the store came back from an older copy.

What was known when the era began is kept for a provisional time. Targets that the copy
lacks write themselves again within it; those that don't are gone then. Entries that are
older than what was known change nothing, also after that time.
"""

from ...discovery import DRAINING
from ...edge_messages import StateChange
from .known_targets import NEWER, OUTDATED, SAME_START, KnownTarget
from .target_table import REREGISTER_MS


class EraTargets:
    """The targets that only the store's copy lacks, and the choice of its entries.

    ``_provisional_keys`` has the keys of the targets that are held although the store
    does not name them.

    Parameters
    ----------
    table : TargetTable
        Holds the targets, and remembers those that were removed.
    """

    __slots__ = (
        "_table",
        "_known",
        "_is_begun",
        "_until_ms",
        "_provisional_keys",
        "_ignored_keys",
    )

    def __init__(self, table):
        self._table = table
        self._known = table.known_targets
        # Set from the begin of an era until its provisional time is found to be over.
        self._is_begun = False
        self._until_ms = float("-inf")
        self._provisional_keys = set()
        # Keys of entries that were logged as outdated in this era.
        self._ignored_keys = set()

    def begin(self, served_at_ms, now_ms):
        """Begin the provisional time; return text for the log about what is kept.

        ``served_at_ms`` is when the store was first known to serve in this era.
        """
        self._is_begun = True
        self._until_ms = served_at_ms + REREGISTER_MS
        self._provisional_keys.clear()
        self._ignored_keys.clear()
        # Another target answers at the address of one that was replaced.
        for key in self._known.begin_era(self._held(), now_ms):
            self._table.close(key)
        n_held = len(self._table.by_key)
        return f"targets={n_held} left={self._known.n_left()}"

    def is_provisional(self, now_ms):
        """Return whether what was known still holds although the store lacks it.

        It does so for as long as targets that lapsed in an outage are kept, too.
        """
        until_ms = max(self._until_ms, self._table.suspect_until_ms)
        return self._is_begun and now_ms < until_ms

    def _held(self):
        """Return the KnownTarget of each target that is held.

        One that is closed because its entry could not be read is left out: any entry of
        it that can be read counts.
        """
        held = []
        for key, target in self._table.by_key.items():
            has_left = has_announced_end(target) or self._table.is_suspect(key)
            if target.is_open or has_left:
                held.append(KnownTarget(target.entry, has_left))
        return held

    def choose(self, entries, removed_revisions, now_ms):
        """Choose among the entries of a StoreSnapshot with its ``removed_revisions``.

        Returns the entries that count, the keys of the targets that stay as they are,
        and state changes for the log.
        """
        counting = []
        kept_keys = set()
        out = []
        for entry in entries:
            is_held = entry.key in self._table.by_key
            order = self._compare(entry)
            if order == NEWER or (order == SAME_START and not is_held):
                counting.append(entry)
                self._known.forget(entry.key)
            elif order == SAME_START or self._known.has_left(entry.key):
                kept_keys.add(entry.key)
                self._renumber(entry)
            if order == OUTDATED:
                out += self._note_ignored(entry)
            else:
                out += self._confirm(entry.key)
        missing_keys = self._keep_missing(counting, kept_keys, now_ms)
        missing_keys -= self._removed_keys(removed_revisions)
        out += self._note_missing(missing_keys)
        return counting, kept_keys | missing_keys, out

    def _renumber(self, entry):
        """Adopt this era's revision of the creation of a kept target's key."""
        target = self._table.by_key.get(entry.key)
        if target is not None:
            target.entry.created_revision = entry.created_revision

    def _removed_keys(self, removed_revisions):
        """Return the keys of the targets that were removed since the return.

        A key that was held before the return had not been removed since its creation,
        so a removal at a later revision came after the return.
        """
        return {
            key
            for key, revision in removed_revisions.items()
            if key in self._table.by_key
            and 0 < self._table.by_key[key].entry.created_revision < revision
        }

    def _compare(self, entry):
        is_held = entry.key in self._table.by_key
        if not is_held and self._known.note_address_taken(entry):
            return OUTDATED
        return self._known.compare(entry)

    def _keep_missing(self, counting, kept_keys, now_ms):
        """Return the keys of the targets that stay although the copy lacks them.

        A target whose address is another one's by now does not.
        """
        if not self.is_provisional(now_ms):
            return set()
        named = kept_keys.union(entry.key for entry in counting)
        addresses = {entry.address for entry in counting}
        return {
            key
            for key, target in self._table.by_key.items()
            if key not in named
            and target.is_offered
            and target.entry.address not in addresses
        }

    def _note_missing(self, keys):
        out = []
        for key in sorted(keys - self._provisional_keys):
            self._provisional_keys.add(key)
            target_id = self._table.by_key[key].entry.target_id
            out.append(StateChange("target", "kept", target_id, "missing in the copy"))
        return out

    def accepts(self, entry):
        """Return whether an entry that was written in this era counts.

        It does unless it is older than what was known, or of a target that had left. An
        earlier start can only be of a target whose clock has gone back.
        """
        order = self._known.compare(entry)
        if order == NEWER or not entry.started_wall_ms:
            return True
        if order == OUTDATED:
            return self._known.is_earlier_start(entry)
        return self._known.is_repeated(entry) or entry.key not in self._table.by_key

    def note_change(self, entry):
        """Record an entry that was written in this era; return state changes."""
        if self.accepts(entry):
            self._known.forget(entry.key)
        elif self._known.compare(entry) == OUTDATED:
            return self._note_ignored(entry)
        return self._confirm(entry.key)

    def note_removal(self, key):
        """Record that the store has removed a key in this era."""
        self._known.forget(key)
        self._provisional_keys.discard(key)

    def _note_ignored(self, entry):
        if entry.key in self._ignored_keys:
            return []
        self._ignored_keys.add(entry.key)
        return [StateChange("target", "outdated entry", entry.target_id)]

    def _confirm(self, key):
        if key not in self._provisional_keys:
            return []
        self._provisional_keys.discard(key)
        target = self._table.by_key.get(key)
        if target is None:
            # This VM has dropped its targets since.
            return []
        return [StateChange("target", "confirmed", target.entry.target_id)]

    def expire(self, now_ms):
        """Remove the targets that the store still lacks after the provisional time.

        Returns state changes for the log.
        """
        self._known.expire(now_ms)
        if self.is_provisional(now_ms):
            return []
        self._is_begun = False
        out = []
        for key in sorted(self._provisional_keys):
            out += self._table.remove(key, now_ms)
        self._provisional_keys.clear()
        return out + self._table.expire_suspects(now_ms)


def has_announced_end(target):
    """Return whether a target's entry or its answers have said that it leaves."""
    return target.is_leaving or target.entry.state == DRAINING
