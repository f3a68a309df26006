"""What discovery tells of targets, entry VMs and operators' wishes.

Each record is decoded once from a key of the platform's store; ``key`` names
it, so that its removal can be matched.
"""

from .records import Record

READY = "ready"
DRAINING = "draining"


class TargetEntry(Record):
    """One start of one target, as the target itself registered it.

    ``started_wall_ms`` is the wall-clock time of its start and tells one start from
    the next; ``cold_remaining_ms`` is how long it stays cold from the entry's
    writing.
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


class InvalidEntry(Record):
    """An entry that can't be read; it names no target."""

    __slots__ = ("key", "detail")

    def __init__(self, key, detail):
        self.key = key
        self.detail = detail


class DomainOutOfService(Record):
    """Operators took a failure domain out: its targets get nothing new."""

    __slots__ = ("key", "failure_domain")

    def __init__(self, key, failure_domain):
        self.key = key
        self.failure_domain = failure_domain


class ConfigEntry(Record):
    """The operators' newest routes; ``raw`` is the value as peers copy it."""

    __slots__ = ("key", "config", "raw")

    def __init__(self, key, config, raw=b""):
        self.key = key
        self.config = config
        self.raw = raw


class VmEntry(Record):
    """Where one entry VM can be reached by its peers."""

    __slots__ = ("key", "vm_id", "ip")

    def __init__(self, key, vm_id, ip):
        self.key = key
        self.vm_id = vm_id
        self.ip = ip


class KeyRemoved(Record):
    """A key is gone."""

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
    """All records of the store; a key that is missing is gone."""

    __slots__ = ("records", "revision")

    def __init__(self, records, revision):
        self.records = records
        self.revision = revision


class StoreUnavailable(Record):
    """The store stopped to answer this VM."""

    __slots__ = ("detail",)

    def __init__(self, detail):
        self.detail = detail


class StoreAvailable(Record):
    """The store answers this VM again."""

    __slots__ = ()
