"""Messages between the membership controller and the tasks around it."""

from .records import Record


class SendHeartbeat(Record):
    """Send a heartbeat to a peer."""

    __slots__ = ("address", "heartbeat")

    def __init__(self, address, heartbeat):
        self.address = address
        self.heartbeat = heartbeat


class StartRound(Record):
    """Read the view, then renew some leases and check others.

    ``heartbeat_at_ms`` maps members to the heartbeat times that the round confirms.
    """

    __slots__ = ("renew_ids", "check_ids", "heartbeat_at_ms")

    def __init__(self, renew_ids, check_ids, heartbeat_at_ms):
        self.renew_ids = renew_ids
        self.check_ids = check_ids
        self.heartbeat_at_ms = heartbeat_at_ms


class RoundDone(Record):
    """The platform's answers to one round."""

    __slots__ = ("view", "revision", "lapsed_ids", "heartbeat_at_ms")

    def __init__(self, view, revision, lapsed_ids, heartbeat_at_ms):
        self.view = view
        self.revision = revision
        self.lapsed_ids = lapsed_ids
        self.heartbeat_at_ms = heartbeat_at_ms


class RoundFailed(Record):
    """The platform did not answer a round."""

    __slots__ = ()


class GrantLease(Record):
    """Ask the platform for a lease for this VM."""

    __slots__ = ()


class LeaseGranted(Record):
    """The platform granted a lease."""

    __slots__ = ("lease_id",)

    def __init__(self, lease_id):
        self.lease_id = lease_id


class WriteView(Record):
    """Write the next view if the platform still holds ``revision``."""

    __slots__ = ("view", "revision")

    def __init__(self, view, revision):
        self.view = view
        self.revision = revision


class FetchPeerState(Record):
    """Ask a peer for its view and configuration; it has newer ones."""

    __slots__ = ("member_id", "address")

    def __init__(self, member_id, address):
        self.member_id = member_id
        self.address = address
