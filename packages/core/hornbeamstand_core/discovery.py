"""Records of service discovery: targets, entry VMs and operators' settings.

Each record is decoded once from an entry of the platform's store. It keeps the
entry's ``key``, by which the removal of the entry is matched later.
"""

from .records import Record

READY = "ready"
DRAINING = "draining"


class TargetEntry(Record):
    """One start of one target, as the target itself registered it.

    ``n_slots`` is the number of requests that the target runs at once; ``state`` is
    READY or DRAINING. ``started_wall_ms`` is the wall-clock time of its start and
    distinguishes one start from the next; ``cold_remaining_ms`` is how long it stays
    in cold start from the time when the entry was written. ``sequence`` rises with what
    the start writes of itself. ``version`` is that of the target's software, or "".
    ``created_revision`` is the store's revision at which the key was created, or 0 if
    it is unknown.
    """

    __slots__ = (
        "key",
        "target_id",
        "service_name",
        "address",
        "failure_domain",
        "n_slots",
        "state",
        "cold_remaining_ms",
        "started_wall_ms",
        "sequence",
        "version",
        "created_revision",
    )

    def __init__(
        self,
        key,
        target_id,
        service_name,
        address,
        failure_domain,
        n_slots,
        state=READY,
        cold_remaining_ms=0.0,
        started_wall_ms=0,
        sequence=0,
        version="",
        created_revision=0,
    ):
        self.key = key
        self.target_id = target_id
        self.service_name = service_name
        self.address = address
        self.failure_domain = failure_domain
        self.n_slots = n_slots
        self.state = state
        self.cold_remaining_ms = cold_remaining_ms
        self.started_wall_ms = started_wall_ms
        self.sequence = sequence
        self.version = version
        self.created_revision = created_revision


class InvalidEntry(Record):
    """An entry that can't be decoded; a target that it described is not used."""

    __slots__ = ("key", "detail")

    def __init__(self, key, detail):
        self.key = key
        self.detail = detail


class DomainOutOfService(Record):
    """Operators took a failure domain out of service: no new requests go there."""

    __slots__ = ("key", "failure_domain")

    def __init__(self, key, failure_domain):
        self.key = key
        self.failure_domain = failure_domain


class ConfigEntry(Record):
    """The operators' latest configuration, as a RoutingConfig.

    ``raw`` is the same configuration as it is encoded in the store; peers copy it.
    """

    __slots__ = ("key", "config", "raw")

    def __init__(self, key, config, raw=b""):
        self.key = key
        self.config = config
        self.raw = raw

    def __repr__(self):
        # The raw configuration holds the keys of organisations, which are secret.
        return f"ConfigEntry(key={self.key!r}, version={self.config.version})"


class VmEntry(Record):
    """The address at which peers reach an entry VM."""

    __slots__ = ("key", "vm_id", "ip")

    def __init__(self, key, vm_id, ip):
        self.key = key
        self.vm_id = vm_id
        self.ip = ip


class KeyRemoved(Record):
    """A key was removed from the store."""

    __slots__ = ("key",)

    def __init__(self, key):
        self.key = key


class StoreChanges(Record):
    """Records written or removed, in order, up to a revision of the store."""

    __slots__ = ("records", "revision")

    def __init__(self, records, revision):
        self.records = records
        self.revision = revision


class StoreSnapshot(Record):
    """All records of the store; keys that are not among them were removed.

    If ``has_targets`` is not set, only the operators' keys were read. The first one of
    an era may have ``removed_revisions``: by key, the revision of the removal that is
    the last event of the key in the store's history.
    """

    __slots__ = ("records", "revision", "has_targets", "removed_revisions")

    def __init__(self, records, revision, has_targets=True, removed_revisions=None):
        self.records = records
        self.revision = revision
        self.has_targets = has_targets
        self.removed_revisions = removed_revisions or {}


class StoreUnavailable(Record):
    """The store does not answer this VM."""

    __slots__ = ("detail",)

    def __init__(self, detail):
        self.detail = detail


class StoreAvailable(Record):
    """The store answers this VM again."""

    __slots__ = ()


class StoreEraNoted(Record):
    """The store's answers state an era; with each later one it has lost changes.

    The store has then come back from an older copy of itself: revisions and leases of
    ``earlier_era`` mean nothing in ``era``. ``earlier_era`` is None if no answer had
    stated an era before.
    """

    __slots__ = ("era", "earlier_era")

    def __init__(self, era, earlier_era=None):
        self.era = era
        self.earlier_era = earlier_era
