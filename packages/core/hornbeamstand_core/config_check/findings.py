"""Results of a check of a configuration, and of a comparison of two versions."""

from ..records import Record

# Severity of a finding. An error keeps the version or the entry from being used. With a
# warning it is used, but contradicts itself or has no effect.
ERROR = "error"
WARNING = "warning"

# Kinds of differences.
ADDED = "added"
REMOVED = "removed"
CHANGED = "changed"


class Finding(Record):
    """One fault of a configuration; ``place`` names the entry that has it."""

    __slots__ = ("severity", "place", "text")

    def __init__(self, severity, place, text):
        self.severity = severity
        self.place = place
        self.text = text


class Difference(Record):
    """One entry that two versions differ in; ``text`` tells how, without any key."""

    __slots__ = ("kind", "place", "text")

    def __init__(self, kind, place, text=""):
        self.kind = kind
        self.place = place
        self.text = text
