"""The order of a target's entries, and those of an earlier start than the held one.

The store may do a write late, after later ones. Within a start, sequences tell which
entry is the later one. An entry of an earlier start may be such a late write; the start
that is held then writes its own entry again within a few intervals. Otherwise the
target has started anew with a clock that had gone back.
"""

# Time within which a target that is alive writes its entry again once the store has
# another one: after three intervals of silence discovery takes it for gone.
REWRITE_MAX_MS = 4500.0


class WaitingEntry:
    """An entry, and when it counts if the start that is held stays silent."""

    __slots__ = ("entry", "due_at_ms")

    def __init__(self, entry, due_at_ms):
        self.entry = entry
        self.due_at_ms = due_at_ms


class EarlierStarts:
    """The latest entry of an earlier start of each target, by key."""

    __slots__ = ("_waiting",)

    def __init__(self):
        self._waiting = {}

    def note(self, entry, now_ms):
        """Let an entry wait; later entries of its start don't prolong the wait."""
        waiting = self._waiting.get(entry.key)
        if waiting is None:
            due_at_ms = now_ms + REWRITE_MAX_MS
            self._waiting[entry.key] = WaitingEntry(entry, due_at_ms)
        elif is_later(entry, waiting.entry):
            waiting.entry = entry

    def forget(self, key):
        """Drop what waits for a key: its target has written again, or is gone."""
        self._waiting.pop(key, None)

    def clear(self):
        """Drop everything."""
        self._waiting.clear()

    def take_due(self, now_ms):
        """Return the entries that have waited long enough, and drop them."""
        due = [
            waiting.entry
            for waiting in self._waiting.values()
            if now_ms >= waiting.due_at_ms
        ]
        for entry in due:
            del self._waiting[entry.key]
        return due


def is_later(entry, other):
    """Return whether an entry is of a later start or has a later sequence."""
    written = (entry.started_wall_ms, entry.sequence)
    return written > (other.started_wall_ms, other.sequence)


def is_earlier_start(entry, other):
    """Return whether an entry is of an earlier start; False if a start is unknown."""
    return 0 < entry.started_wall_ms < other.started_wall_ms


def is_overtaken(entry, other):
    """Return whether an entry was written before another one of the same start."""
    if not entry.started_wall_ms or entry.started_wall_ms != other.started_wall_ms:
        return False
    return entry.sequence < other.sequence
