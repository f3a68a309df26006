"""Messages between entry VMs, and between an edge's controllers and its tasks."""

from .records import Record


class Beat(Record):
    """One VM's sign of life; its address names it.

    ``start_id`` tells one start of its process from the next; ``revision`` is
    the store's revision that it has followed. ``is_settled`` means that it has
    been up for a while; ``is_frequent`` that it beats at the short interval;
    ``is_following`` that it follows the targets; ``capacity`` is a class of VM
    size, greater for larger ones; ``config_version`` is what is in force there.
    """

    __slots__ = (
        "ip",
        "failure_domain",
        "start_id",
        "is_serving",
        "is_stopping",
        "is_settled",
        "is_frequent",
        "is_following",
        "capacity",
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
        is_frequent,
        is_following,
        capacity,
        config_version,
        revision,
    ):
        self.ip = ip
        self.failure_domain = failure_domain
        self.start_id = start_id
        self.is_serving = is_serving
        self.is_stopping = is_stopping
        self.is_settled = is_settled
        self.is_frequent = is_frequent
        self.is_following = is_following
        self.capacity = capacity
        self.config_version = config_version
        self.revision = revision


class SendBeat(Record):
    """Send a sign of life to an IP address."""

    __slots__ = ("ip", "beat")

    def __init__(self, ip, beat):
        self.ip = ip
        self.beat = beat


class Resync(Record):
    """Tell the follower that a peer has seen a later revision of the store."""

    __slots__ = ("revision",)

    def __init__(self, revision):
        self.revision = revision


class Follow(Record):
    """Tell the follower whether to follow targets, or the operators' keys only.

    A VM that is ``is_first`` in its failure domain asks the store often enough
    to notice a watch that is never answered; the others learn of it from peers.
    """

    __slots__ = ("is_on", "is_first")

    def __init__(self, is_on, is_first=False):
        self.is_on = is_on
        self.is_first = is_first


class EdgeTick(Record):
    """Time passes."""

    __slots__ = ()


class StopEdge(Record):
    """Begin the planned stop of this VM."""

    __slots__ = ()
