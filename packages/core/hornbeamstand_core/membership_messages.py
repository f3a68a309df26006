"""Messages between the membership controller and the tasks around it."""

from .records import Record


class SendHeartbeat(Record):
    """Send a heartbeat to a peer."""

    __slots__ = ("address", "heartbeat")

    def __init__(self, address, heartbeat):
        self.address = address
        self.heartbeat = heartbeat


class StartRound(Record):
    """Read the view from the platform, then renew some leases and check others.

    ``renew_ids`` and ``check_ids`` are lease ids. ``heartbeat_at_ms`` maps the member
    id of each lease that is renewed to the send time of the member's latest heartbeat,
    on that member's clock.
    """

    __slots__ = ("renew_ids", "check_ids", "heartbeat_at_ms")

    def __init__(self, renew_ids, check_ids, heartbeat_at_ms):
        self.renew_ids = renew_ids
        self.check_ids = check_ids
        self.heartbeat_at_ms = heartbeat_at_ms


class RoundDone(Record):
    """The result of a round; ``lapsed_ids`` are the lease ids that have lapsed.

    ``revision`` is the platform's revision of the view, and ``heartbeat_at_ms`` that of
    the StartRound.
    """

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
    """Request a lease for this VM from the platform."""

    __slots__ = ()


class LeaseGranted(Record):
    """The platform granted a lease."""

    __slots__ = ("lease_id",)

    def __init__(self, lease_id):
        self.lease_id = lease_id


class WriteView(Record):
    """Write the next view by compare-and-swap against ``revision``."""

    __slots__ = ("view", "revision")

    def __init__(self, view, revision):
        self.view = view
        self.revision = revision


class FetchPeerState(Record):
    """Fetch the view and configuration of a peer that has a newer one."""

    __slots__ = ("member_id", "address")

    def __init__(self, member_id, address):
        self.member_id = member_id
        self.address = address
