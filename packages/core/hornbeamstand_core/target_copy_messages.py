"""Messages about targets that a VM gets from its peers or from the targets themselves.

A VM that has to serve while it can't read the store uses them; see ``TargetRecovery``.
"""

from .discovery import TargetEntry
from .records import Record


class HeldTarget(Record):
    """A target as a VM holds it: its TargetEntry and what it has said of itself.

    ``entry.cold_remaining_ms`` counts from the time of the copy. The target wants no
    requests for ``pause_ms``, and none at all once ``is_leaving`` is set.
    """

    __slots__ = ("entry", "is_leaving", "pause_ms")

    def __init__(self, entry, is_leaving=False, pause_ms=0.0):
        self.entry = entry
        self.is_leaving = is_leaving
        self.pause_ms = pause_ms


class TargetCopy(Record):
    """The targets that a VM holds, and what it knows of the failure domains.

    ``targets`` are HeldTargets and ``domains_out`` DomainOutOfService records. The VM
    last knew them to be current ``age_ms`` before, at ``revision`` in the store's era
    ``era``.
    """

    __slots__ = ("targets", "domains_out", "age_ms", "revision", "era")

    def __init__(self, targets, domains_out, age_ms, revision=0, era=0):
        self.targets = targets
        self.domains_out = domains_out
        self.age_ms = age_ms
        self.revision = revision
        self.era = era


class FetchTargets(Record):
    """Ask peers for their targets, one after another until one has some."""

    __slots__ = ("ips",)

    def __init__(self, ips):
        self.ips = ips


class TargetsFetched(Record):
    """The outcome of a FetchTargets: the copy of the peer ``ip``, or None."""

    __slots__ = ("ip", "copy")

    def __init__(self, ip, copy=None):
        self.ip = ip
        self.copy = copy


class ConfirmTarget(Record):
    """Ask a target at its health endpoint whether it still is the one of an entry."""

    __slots__ = ("entry", "path")

    def __init__(self, entry, path):
        self.entry = entry
        self.path = path

    @property
    def address(self):
        """The address of the target."""
        return self.entry.address


class ConfirmTargets(Record):
    """Ask targets that were known before, by a ConfirmTarget each."""

    __slots__ = ("targets",)

    def __init__(self, targets):
        self.targets = targets


class TargetsConfirmed(Record):
    """The outcome of a ConfirmTargets.

    ``keys`` are those of the entries whose targets answered as the same ones, and
    ``notices`` maps a key to the TargetNotice of the target's answer, if it had one.
    """

    __slots__ = ("keys", "notices")

    def __init__(self, keys, notices):
        self.keys = keys
        self.notices = notices


def with_cold_start(entry, cold_ms):
    """Return a TargetEntry whose target stays in cold start for ``cold_ms``."""
    copy = TargetEntry(*(getattr(entry, name) for name in TargetEntry.__slots__))
    copy.cold_remaining_ms = cold_ms
    return copy
