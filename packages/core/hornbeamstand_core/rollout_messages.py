"""Messages and records of roll-outs: a service moves to a new version, or back.

Names that end in ``_at_ms`` are times on the local clock; durations end in ``_ms``
alone.
"""

from .records import Record

# Phases of a roll-out. The new version gets a counted share of the requests in the
# first one and all of them in the second one; the last two are final.
CANARY = "canary"
MOVING = "moving"
COMPLETE = "complete"
REVERTED = "reverted"
FINAL_PHASES = (COMPLETE, REVERTED)


class RolloutBounds(Record):
    """What a bad version may get, over all VMs.

    From the order to its deadline the version gets at most ``canary_share`` of the
    service's requests and ``n_slack`` more; ``rollback_ms`` after its 50th bad answer
    it gets none.
    """

    __slots__ = ("canary_share", "n_slack", "rollback_ms")

    def __init__(self, canary_share, n_slack, rollback_ms):
        self.canary_share = canary_share
        self.n_slack = n_slack
        self.rollback_ms = rollback_ms


class RolloutOrder(Record):
    """An operator orders a service's move to targets of a version.

    The move should end within ``duration_ms`` of the order. ``status_key`` is the key
    of its status. ``revision`` is that of the entry in the store and distinguishes an
    order from the next one.
    """

    __slots__ = (
        "key",
        "status_key",
        "service_name",
        "target_version",
        "duration_ms",
        "revision",
    )

    def __init__(
        self, key, status_key, service_name, target_version, duration_ms, revision=0
    ):
        self.key = key
        self.status_key = status_key
        self.service_name = service_name
        self.target_version = target_version
        self.duration_ms = duration_ms
        self.revision = revision


class InvalidRolloutOrder(Record):
    """An order that can't be decoded."""

    __slots__ = ("key", "detail")

    def __init__(self, key, detail):
        self.key = key
        self.detail = detail


class RolloutStatus(Record):
    """The state of a service's latest roll-out, as it stands in the store.

    ``phase`` is "" if the entry can't be decoded. ``order_key`` and ``order_revision``
    are those of its order. The order came at ``started_wall_ms`` by the clock of the
    VM that wrote the first status. ``revision`` is that of the status itself.
    """

    __slots__ = (
        "key",
        "order_key",
        "service_name",
        "phase",
        "target_version",
        "order_revision",
        "started_wall_ms",
        "revision",
    )

    def __init__(
        self,
        key,
        order_key,
        service_name,
        phase,
        target_version,
        order_revision,
        started_wall_ms,
        revision=0,
    ):
        self.key = key
        self.order_key = order_key
        self.service_name = service_name
        self.phase = phase
        self.target_version = target_version
        self.order_revision = order_revision
        self.started_wall_ms = started_wall_ms
        self.revision = revision

    @property
    def is_final(self):
        """Whether the roll-out has ended."""
        return self.phase in FINAL_PHASES


class RouteCounts(Record):
    """The judged answers to the requests of one route, of either version.

    ``route`` is "" for the routes that are counted together.
    """

    __slots__ = ("route", "n_old_good", "n_old_bad", "n_new_good", "n_new_bad")

    def __init__(self, route, n_old_good=0, n_old_bad=0, n_new_good=0, n_new_bad=0):
        self.route = route
        self.n_old_good = n_old_good
        self.n_old_bad = n_old_bad
        self.n_new_good = n_new_good
        self.n_new_bad = n_new_bad


class RolloutReport(Record):
    """What one VM tells the others of a roll-out, by a datagram.

    ``order_revision`` and ``target_version`` name the order, which came ``elapsed_ms``
    ago. ``phase`` is the one that the VM acts by. ``n_old_in_flight`` counts its
    requests at targets of other versions. ``counts`` are RouteCounts since the order.
    ``ip`` is the sender.
    """

    __slots__ = (
        "ip",
        "service_name",
        "target_version",
        "order_revision",
        "phase",
        "elapsed_ms",
        "n_old_in_flight",
        "counts",
    )

    def __init__(
        self,
        ip,
        service_name,
        target_version,
        order_revision,
        phase,
        elapsed_ms,
        n_old_in_flight,
        counts,
    ):
        self.ip = ip
        self.service_name = service_name
        self.target_version = target_version
        self.order_revision = order_revision
        self.phase = phase
        self.elapsed_ms = elapsed_ms
        self.n_old_in_flight = n_old_in_flight
        self.counts = counts


class WriteRolloutStatus(Record):
    """Write a status if neither it nor the order has changed meanwhile.

    ``status_revision`` is the revision that the status in the store must still have, or
    0 if the store must have none; ``order_revision`` is the same for the order.
    """

    __slots__ = ("status", "status_revision", "order_revision")

    def __init__(self, status, status_revision, order_revision):
        self.status = status
        self.status_revision = status_revision
        self.order_revision = order_revision


class RolloutWriteEnded(Record):
    """The end of a WriteRolloutStatus.

    ``written`` is the RolloutStatus if it is known to be written, or else None. Then
    ``found`` are the order and the status that the store has, as far as it has them, or
    None if it could not be read. ``detail`` says what failed.
    """

    __slots__ = ("service_name", "written", "found", "detail")

    def __init__(self, service_name, written=None, found=None, detail=""):
        self.service_name = service_name
        self.written = written
        self.found = found
        self.detail = detail
