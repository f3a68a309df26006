"""Messages between entry VMs, and between an edge's controllers and its tasks."""

from .records import Record

# What a VM follows in the store: every target and what operators write, what
# operators write alone, or nothing, because peers tell it of each new version.
WATCH_ALL = "targets"
WATCH_OPERATOR_KEYS = "operators"
WATCH_NOTHING = "nothing"


class EdgeHeartbeat(Record):
    """One VM's sign of life; its address names it.

    ``start_id`` tells one start of its process from the next; ``revision`` is
    the store's revision that it has followed. ``is_settled`` means that it has
    been up for a while; ``is_preferred`` that it beats at the short interval;
    ``is_watching`` that it follows what operators write, and the store answers it;
    ``capacity`` is a class of VM size, greater for larger ones; ``n_peers`` is how
    many peers it hears; ``config_version`` is what is in force there.
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
        "capacity",
        "n_peers",
        "config_version",
        "revision",
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
        capacity,
        n_peers,
        config_version,
        revision,
    ):
        self.ip = ip
        self.failure_domain = failure_domain
        self.start_id = start_id
        self.is_serving = is_serving
        self.is_stopping = is_stopping
        self.is_settled = is_settled
        self.is_preferred = is_preferred
        self.is_watching = is_watching
        self.capacity = capacity
        self.n_peers = n_peers
        self.config_version = config_version
        self.revision = revision


class SendEdgeHeartbeat(Record):
    """Send a sign of life to an IP address."""

    __slots__ = ("ip", "heartbeat")

    def __init__(self, ip, heartbeat):
        self.ip = ip
        self.heartbeat = heartbeat


class Contacts(Record):
    """Addresses of VMs that a peer knows."""

    __slots__ = ("ips",)

    def __init__(self, ips):
        self.ips = ips


class SendContacts(Record):
    """Send the addresses of known VMs to an IP address."""

    __slots__ = ("ip", "contacts")

    def __init__(self, ip, contacts):
        self.ip = ip
        self.contacts = contacts


class FetchConfig(Record):
    """Fetch a peer's copy of the operators' configuration."""

    __slots__ = ("ip", "version")

    def __init__(self, ip, version):
        self.ip = ip
        self.version = version


class Resync(Record):
    """Tell the follower that a peer has seen a later revision of the store."""

    __slots__ = ("revision",)

    def __init__(self, revision):
        self.revision = revision


class SetWatch(Record):
    """Tell the follower what to follow: TARGETS, OPERATORS or NOTHING.

    A VM that is ``uses_short_watch`` in its failure domain asks the store often enough
    to notice a watch that is never answered; the others learn of it from peers.
    Without ``has_targets`` the targets of an earlier read are forgotten.
    """

    __slots__ = ("scope", "uses_short_watch", "has_targets")

    def __init__(self, scope, uses_short_watch=False, has_targets=True):
        self.scope = scope
        self.uses_short_watch = uses_short_watch
        self.has_targets = has_targets


class RetryLimits(Record):
    """Limits of repeated sends to a service, over all VMs.

    ``n_owners`` is how many VMs count a service's requests: one for each
    failure domain.
    """

    __slots__ = ("ratio", "slack", "window_ms", "n_owners")

    def __init__(self, ratio, slack, window_ms, n_owners=1):
        self.ratio = ratio
        self.slack = slack
        self.window_ms = window_ms
        self.n_owners = n_owners


class EdgeTick(Record):
    """Time passes."""

    __slots__ = ()


class StopEdge(Record):
    """Begin the planned stop of this VM."""

    __slots__ = ()
