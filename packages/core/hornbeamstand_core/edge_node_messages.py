"""Messages between entry VMs, and between their controllers and tasks."""

from .records import Record

# What a VM watches in the store: all keys, only the operators' keys, or nothing. A
# VM that watches nothing gets new configuration versions from its peers.
WATCH_ALL = "targets"
WATCH_OPERATOR_KEYS = "operators"
WATCH_NOTHING = "nothing"


class EdgeHeartbeat(Record):
    """One VM's heartbeat to its peers; the VM is identified by its IP address.

    ``start_id`` differs between two starts of its process. ``is_serving`` is set once
    the VM has had a configuration and the targets; ``is_stopping`` if its planned stop
    has begun; ``is_settled`` if it has been up long enough to become an owner;
    ``is_preferred`` if it is among the first VMs of a service's ranking and sends
    heartbeats at the short interval; ``is_watching`` if it watches at least the
    operators' keys and has no reason to doubt that it reaches the store;
    ``is_overloaded`` if its processor does not keep up with its work. ``capacity`` is
    its size class, greater for larger VMs; ``n_peers`` is the number of peers that it
    receives heartbeats from. ``config_version`` is the version of its configuration,
    and ``revision`` the latest revision that it has seen in the store's era ``era``,
    which is 0 if the store states none.
    """

    __slots__ = (
        "ip",
        "failure_domain",
        "start_id",
        "is_serving",
        "is_stopping",
        "is_settled",
        "is_preferred",
        "is_watching",
        "is_overloaded",
        "capacity",
        "n_peers",
        "config_version",
        "revision",
        "era",
    )

    def __init__(
        self,
        ip,
        failure_domain,
        start_id,
        is_serving,
        is_stopping,
        is_settled,
        is_preferred,
        is_watching,
        is_overloaded,
        capacity,
        n_peers,
        config_version,
        revision,
        era=0,
    ):
        self.ip = ip
        self.failure_domain = failure_domain
        self.start_id = start_id
        self.is_serving = is_serving
        self.is_stopping = is_stopping
        self.is_settled = is_settled
        self.is_preferred = is_preferred
        self.is_watching = is_watching
        self.is_overloaded = is_overloaded
        self.capacity = capacity
        self.n_peers = n_peers
        self.config_version = config_version
        self.revision = revision
        self.era = era


class SendEdgeHeartbeat(Record):
    """Send a heartbeat to a peer."""

    __slots__ = ("ip", "heartbeat")

    def __init__(self, ip, heartbeat):
        self.ip = ip
        self.heartbeat = heartbeat


class Contacts(Record):
    """Addresses of the entry VMs that the sender knows."""

    __slots__ = ("ips",)

    def __init__(self, ips):
        self.ips = ips


class SendContacts(Record):
    """Send the addresses of known VMs to a peer."""

    __slots__ = ("ip", "contacts")

    def __init__(self, ip, contacts):
        self.ip = ip
        self.contacts = contacts


class SendNotice(Record):
    """Send a target's notice, as a NoticeRelayed, to a peer."""

    __slots__ = ("ip", "notice")

    def __init__(self, ip, notice):
        self.ip = ip
        self.notice = notice


class SendToPeer(Record):
    """Send a small message to a peer by a datagram, which may be lost.

    The type of ``message`` is one of ``KINDS`` in ``entry.edge.heartbeats``.
    """

    __slots__ = ("ip", "message")

    def __init__(self, ip, message):
        self.ip = ip
        self.message = message


class FetchConfig(Record):
    """Fetch the operators' configuration from a peer that has a newer version."""

    __slots__ = ("ip", "version")

    def __init__(self, ip, version):
        self.ip = ip
        self.version = version


class Resync(Record):
    """Restart the watch of the store: a peer has seen something newer.

    ``revision`` is the latest one that this VM has seen.
    """

    __slots__ = ("revision",)

    def __init__(self, revision):
        self.revision = revision


class CheckStore(Record):
    """Find out by a cheap call whether the store answers within ``timeout_ms``."""

    __slots__ = ("timeout_ms",)

    def __init__(self, timeout_ms):
        self.timeout_ms = timeout_ms


class StoreChecked(Record):
    """The result of a CheckStore."""

    __slots__ = ("is_answered",)

    def __init__(self, is_answered):
        self.is_answered = is_answered


class SetWatch(Record):
    """Set what is watched: WATCH_ALL, WATCH_OPERATOR_KEYS or WATCH_NOTHING.

    The first VM of a failure domain uses short watches (``uses_short_watch``), so
    that it notices a watch that the store never answers; the others learn of it from
    peers. If ``has_targets`` is not set, the controllers have dropped the targets that
    were read before, and they have to be read again.
    """

    __slots__ = ("scope", "uses_short_watch", "has_targets")

    def __init__(self, scope, uses_short_watch=False, has_targets=True):
        self.scope = scope
        self.uses_short_watch = uses_short_watch
        self.has_targets = has_targets


class DelayFirstRead(Record):
    """Read the store for the first time ``delay_ms`` from now, if it isn't read yet."""

    __slots__ = ("delay_ms",)

    def __init__(self, delay_ms):
        self.delay_ms = delay_ms


class RetryLimits(Record):
    """Limits of the retries and hedges of a service, over all VMs.

    Within ``window_ms``, ``ratio`` times the number of first sends are allowed, and
    ``slack`` more. ``n_owners`` is the number of VMs that own a service and count its
    requests: one for each failure domain.
    """

    __slots__ = ("ratio", "slack", "window_ms", "n_owners")

    def __init__(self, ratio, slack, window_ms, n_owners=1):
        self.ratio = ratio
        self.slack = slack
        self.window_ms = window_ms
        self.n_owners = n_owners


class EdgeTick(Record):
    """Run the periodic work of the controllers, ``delay_ms`` after its time."""

    __slots__ = ("delay_ms",)

    def __init__(self, delay_ms=0.0):
        self.delay_ms = delay_ms


class StopEdge(Record):
    """Begin a planned stop of this VM."""

    __slots__ = ()
