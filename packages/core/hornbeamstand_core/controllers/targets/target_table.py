"""The table of targets, kept up to date from the records of service discovery.

A target whose entry disappears while the store is unavailable may only have been
unable to renew the entry. It is suspect and stays in use until it has had time to
register again.
"""

from ...discovery import DRAINING
from ...edge_messages import StateChange
from .discovered_target import DiscoveredTarget
from .earlier_starts import EarlierStarts, is_earlier_start, is_overtaken
from .kept_notices import KeptNotices
from .known_targets import KnownTargets

# Time for which suspect targets are kept after the store is available again. Targets
# whose entries lapsed while it was unavailable register again within this time.
REREGISTER_MS = 2000.0
# Maximum number of removed targets whose notices are kept.
N_REMOVED_MAX = 1000


class TargetTable:
    """The discovered targets by key; each is also in the targets of its service.

    ``is_filled`` is set from a read of all targets until ``clear``. ``kept_notices``
    holds the notices of targets that are not in the table, and ``known_targets`` their
    latest entries. Until ``suspect_until_ms`` removed entries make targets suspect.

    Parameters
    ----------
    find_service : callable
        Takes a service's name and returns its ServiceCapacity; creates it if needed.
    """

    __slots__ = (
        "by_key",
        "_find_service",
        "suspect_until_ms",
        "_suspect_keys",
        "_removed",
        "kept_notices",
        "known_targets",
        "is_filled",
        "_earlier_starts",
    )

    def __init__(self, find_service):
        self.by_key = {}
        self._find_service = find_service
        self.suspect_until_ms = float("-inf")
        self._suspect_keys = set()
        # Maps a key to its removed target. The entry of the same start may come back,
        # and what the target said of itself still holds.
        self._removed = {}
        self.kept_notices = KeptNotices()
        self.known_targets = KnownTargets()
        self.is_filled = False
        self._earlier_starts = EarlierStarts()

    def note_store_unavailable(self, now_ms):
        """Treat targets as suspect from now on when their entries are removed."""
        self.suspect_until_ms = float("inf")

    def note_store_available(self, available_at_ms):
        """Keep suspect targets until they have had time to register again.

        ``available_at_ms`` is when the store was first known to answer again.
        """
        self.suspect_until_ms = available_at_ms + REREGISTER_MS

    def put(self, entry, now_ms):
        """Add or update the target of an entry; return state changes for the log.

        The store may do a write late, after later ones. An entry that was overtaken by
        what is known of its start changes nothing, and one of an earlier start than the
        held one waits until that has had time to write again.
        """
        target = self.by_key.get(entry.key)
        if self._is_overtaken(target, entry):
            return [outdated(entry, "written before what is known")]
        if target is not None and is_earlier_start(entry, target.entry):
            self._earlier_starts.note(entry, now_ms)
            return [outdated(entry, "an earlier start")]
        return self._replace(target, entry, now_ms)

    def _is_overtaken(self, target, entry):
        if target is not None:
            return is_overtaken(entry, target.entry)
        return self.known_targets.is_overtaken(entry)

    def _replace(self, target, entry, now_ms):
        """Add the target of an entry, or update the one that is held, if any."""
        self._suspect_keys.discard(entry.key)
        self._earlier_starts.forget(entry.key)
        if target is not None and is_same_start(target.entry, entry):
            return self._update(target, entry, now_ms)
        if target is not None:
            self._remove_from_service(target)
        return self._add(entry, now_ms)

    def expire_earlier_starts(self, now_ms):
        """Use the entries of earlier starts whose later start has stayed silent.

        While the store is away, the later start can't write. Returns state changes for
        the log.
        """
        if now_ms < self.suspect_until_ms:
            return []
        out = []
        for entry in self._earlier_starts.take_due(now_ms):
            out += self._replace(self.by_key.get(entry.key), entry, now_ms)
        return out

    def _add(self, entry, now_ms):
        target = DiscoveredTarget(entry, now_ms)
        target.is_open = entry.state != DRAINING
        service = self._find_service(entry.service_name)
        cold_ms = entry.cold_remaining_ms
        if self.is_filled and service.rules is not None:
            # A target that appears after the first read counts as just started.
            cold_ms = max(cold_ms, service.rules.cold_ms)
        target.cold_until_ms = now_ms + cold_ms
        removed = self._removed.pop(entry.key, None)
        # Without the time of its start, the target may have started again.
        if removed is not None and entry.started_wall_ms:
            if is_same_start(removed.entry, entry):
                target.adopt_notices(removed)
        self.by_key[entry.key] = target
        self.known_targets.note_added(entry.key)
        service.targets[entry.target_id] = target
        detail = (
            f"service={entry.service_name} domain={entry.failure_domain}"
            f" cold_ms={int(cold_ms)} version={entry.version}"
        )
        seen = StateChange("target", f"seen {entry.state}", entry.target_id, detail)
        return [seen, *self._apply_kept_notice(target, now_ms)]

    def _apply_kept_notice(self, target, now_ms):
        notice = self.kept_notices.take(target.entry, now_ms)
        if notice is None:
            return []
        out = target.take_notice(notice, now_ms)
        target.shared_notices.note_shared(target)
        return out

    def _update(self, target, entry, now_ms):
        was_open = target.is_open
        target.entry = entry
        target.is_open = entry.state != DRAINING
        if entry.cold_remaining_ms > 0.0:
            target.extend_cold(entry.cold_remaining_ms, now_ms)
        if was_open == target.is_open:
            return []
        return [StateChange("target", entry.state, entry.target_id)]

    def _remove_from_service(self, target):
        service = self._find_service(target.entry.service_name)
        if service.targets.get(target.entry.target_id) is target:
            del service.targets[target.entry.target_id]

    def _keep_notices(self, target):
        """Keep a removed target if it wants no requests, at most ``N_REMOVED_MAX``."""
        if not target.has_notices:
            return
        self._removed[target.entry.key] = target
        if len(self._removed) > N_REMOVED_MAX:
            del self._removed[next(iter(self._removed))]

    def close(self, key):
        """Send nothing more to the target of a key until its entry is written again.

        The target keeps its state, because it may only be its entry that is wrong.
        """
        target = self.by_key.get(key)
        if target is not None:
            target.is_open = False

    def remove(self, key, now_ms):
        """Remove the target of a key, or mark it as suspect.

        A draining target is removed at once, also while the store is unavailable.
        Returns state changes for the log.
        """
        target = self.by_key.get(key)
        if target is None:
            return []
        if now_ms < self.suspect_until_ms and target.is_offered:
            self._suspect_keys.add(key)
            return [
                StateChange("target", "doubted", target.entry.target_id, "store away")
            ]
        del self.by_key[key]
        self._earlier_starts.forget(key)
        self._remove_from_service(target)
        self._keep_notices(target)
        self.known_targets.note_removed(target.entry, True)
        return [StateChange("target", "gone", target.entry.target_id)]

    def expire_suspects(self, now_ms):
        """Remove the suspect targets that did not register again in time.

        Returns state changes for the log.
        """
        if not self._suspect_keys or now_ms < self.suspect_until_ms:
            return []
        keys = sorted(self._suspect_keys)
        self._suspect_keys.clear()
        out = []
        for key in keys:
            out += self.remove(key, now_ms)
        return out

    def clear(self):
        """Remove every target, because this VM no longer watches them."""
        for target in self.by_key.values():
            self._remove_from_service(target)
            self._keep_notices(target)
            self.known_targets.note_removed(target.entry, not target.is_offered)
        self.by_key.clear()
        self._suspect_keys.clear()
        self._earlier_starts.clear()
        self.is_filled = False

    def replace_all(self, entries, now_ms, kept_keys=()):
        """Take over a snapshot of all entries.

        Targets that it does not contain are removed, or marked as suspect; see
        ``remove``. Those of ``kept_keys`` stay as they are. Returns state changes for
        the log.
        """
        out = []
        for entry in entries:
            out += self.put(entry, now_ms)
        named = {entry.key for entry in entries}.union(kept_keys)
        for key in [key for key in self.by_key if key not in named]:
            out += self.remove(key, now_ms)
        self.is_filled = True
        return out

    def is_suspect(self, key):
        """Return whether a target's entry was removed while the store was away."""
        return key in self._suspect_keys

    def begin_cold(self, failure_domain, now_ms):
        """Begin the cold start of all targets of a domain that is in service again."""
        for target in self.by_key.values():
            if target.entry.failure_domain != failure_domain:
                continue
            service = self._find_service(target.entry.service_name)
            if service.rules is not None:
                target.extend_cold(service.rules.cold_ms, now_ms)


def outdated(entry, detail):
    """Return the StateChange for the log of an entry that changes nothing now."""
    return StateChange("target", "outdated entry", entry.target_id, detail)


def is_same_start(old, new):
    """Return whether two entries belong to the same start of the same target."""
    if old.started_wall_ms != new.started_wall_ms or old.address != new.address:
        return False
    return old.service_name == new.service_name and old.target_id == new.target_id
