"""What was known of targets before the store came back from an older copy of itself.

An entry in such a copy may be of a target that has left since, or of an earlier start
of one. The start and the sequence of an entry tell which of two is the later one.
"""

from .earlier_starts import is_later, is_overtaken

# Time for which a target is remembered after it was removed, at least. It is at most
# twice as long.
REMEMBERED_MS = 60_000.0
# Maximum number of targets that are remembered for as long.
N_REMEMBERED_MAX = 1000

# An entry compared with what was known of its target when the era began.
NEWER = "newer"
SAME_START = "same start"
OUTDATED = "outdated"


class KnownTarget:
    """The latest entry of a target, and whether the target had left by then."""

    __slots__ = ("entry", "has_left")

    def __init__(self, entry, has_left):
        self.entry = entry
        self.has_left = has_left


class KnownTargets:
    """Targets that are no longer held, and those that were known as an era began.

    ``_recent`` and ``_earlier`` map the key of each target that was removed to a
    KnownTarget. ``_before_era`` has the targets, held ones too, as they were known when
    the era began, and None once the store has told a key anew. ``_last_at_address``
    maps an address to the KnownTarget that was the last one to start there.
    """

    __slots__ = (
        "_recent",
        "_earlier",
        "_rotate_at_ms",
        "_before_era",
        "_before_era_until_ms",
        "_last_at_address",
    )

    def __init__(self):
        self._recent = {}
        self._earlier = {}
        self._rotate_at_ms = float("-inf")
        self._before_era = {}
        self._before_era_until_ms = float("-inf")
        self._last_at_address = {}

    def note_removed(self, entry, has_left):
        """Remember a target that is no longer held, at most ``N_REMEMBERED_MAX``."""
        self._recent.pop(entry.key, None)
        self._recent[entry.key] = KnownTarget(entry, has_left)
        if len(self._recent) > N_REMEMBERED_MAX:
            del self._recent[next(iter(self._recent))]

    def note_added(self, key):
        """Forget that a target was removed, because it is held again."""
        self._recent.pop(key, None)
        self._earlier.pop(key, None)

    def expire(self, now_ms):
        """Forget what is too old."""
        if now_ms >= self._before_era_until_ms:
            self._before_era_until_ms = float("-inf")
            self._before_era = {}
            self._last_at_address = {}
        if now_ms >= self._rotate_at_ms:
            self._rotate_at_ms = now_ms + REMEMBERED_MS
            self._earlier = self._recent
            self._recent = {}

    def begin_era(self, held, now_ms):
        """Keep what is known now; ``held`` has the KnownTarget of each held target.

        What was known before an era that began shortly before still counts. Returns the
        keys of the targets at whose addresses later ones have started.
        """
        self.expire(now_ms)
        removed = [*self._earlier.values(), *self._recent.values()]
        self._before_era = {known.entry.key: known for known in self._known()}
        for known in [*removed, *held]:
            before = self._before_era.get(known.entry.key)
            if before is None or not is_later(before.entry, known.entry):
                self._before_era[known.entry.key] = known
        self._before_era_until_ms = now_ms + REMEMBERED_MS
        self._last_at_address = last_at_address(self._known())
        return self._mark_replaced()

    def _known(self):
        return [known for known in self._before_era.values() if known is not None]

    def _mark_replaced(self):
        replaced_keys = []
        for known in self._known():
            last = self._last_at_address[known.entry.address]
            if last.has_left and not known.has_left:
                continue
            if known.entry.started_wall_ms < last.entry.started_wall_ms:
                key = known.entry.key
                self._before_era[key] = KnownTarget(known.entry, True)
                replaced_keys.append(key)
        return replaced_keys

    def n_left(self):
        """Return the number of targets that had left when the era began."""
        return sum(known.has_left for known in self._known())

    def has_left(self, key):
        """Return whether a target had left when the era began."""
        known = self._before_era.get(key)
        return known is not None and known.has_left

    def has_left_since(self, entry):
        """Return whether the target of an entry is known to have left since."""
        key = entry.key
        known = (
            self._recent.get(key) or self._earlier.get(key) or self._before_era.get(key)
        )
        if known is None or not known.has_left:
            return False
        return not is_later(entry, known.entry)

    def is_overtaken(self, entry):
        """Return whether a removed target had left after it wrote an entry."""
        known = self._recent.get(entry.key) or self._earlier.get(entry.key)
        if known is None or not known.has_left:
            return False
        return is_overtaken(entry, known.entry)

    def compare(self, entry):
        """Return whether an entry is NEWER than what was known, or OUTDATED.

        It is SAME_START if it says no more than that the target, which had not left,
        is still the one that was known.
        """
        known = self._before_era.get(entry.key)
        if known is None or is_later(entry, known.entry):
            return NEWER
        is_outdated = known.has_left or self.is_earlier_start(entry)
        return OUTDATED if is_outdated else SAME_START

    def note_address_taken(self, entry):
        """Return whether a later target was known at the address of an unknown one.

        The target of the entry has then left. It is remembered, so that a later entry
        of it counts.
        """
        last = self._last_at_address.get(entry.address)
        if last is None or entry.key in self._before_era:
            return False
        if last.entry.started_wall_ms < entry.started_wall_ms:
            return False
        self._before_era[entry.key] = KnownTarget(entry, True)
        return True

    def is_earlier_start(self, entry):
        """Return whether an entry is of an earlier start than the known one."""
        known = self._before_era.get(entry.key)
        if known is None:
            return False
        return entry.started_wall_ms < known.entry.started_wall_ms

    def is_repeated(self, entry):
        """Return whether an entry is the same one that was known."""
        known = self._before_era.get(entry.key)
        return known is not None and known.entry.sequence == entry.sequence

    def forget(self, key):
        """Forget what was known of a target, because the store has told it anew."""
        if self._before_era_until_ms > float("-inf"):
            self._before_era[key] = None


def last_at_address(known_targets):
    """Return a dict of address to the KnownTarget that was the last to start there."""
    by_address = {}
    for known in known_targets:
        address = known.entry.address
        last = by_address.get(address)
        if last is None or last.entry.started_wall_ms < known.entry.started_wall_ms:
            by_address[address] = known
    return by_address
