"""The set of controllers of one entry VM behind one message interface.

The tasks of a process, or a test on a virtual clock, post messages here and
perform the messages that come back.
"""

from ..balancer_messages import CapacityReport
from ..membership_messages import LeaseGranted, RoundDone, RoundFailed
from ..messages import Release
from ..order_messages import EpochAdopted
from ..peer_messages import Heartbeat
from ..records import Record
from .balancer import Balancer, message_service_name
from .membership import Membership
from .ownership import Ownership
from .stopping import Stopping

# Between two failure domains of one city.
HOP_MS = 1.5


class SendCapacityReport(Record):
    """Tell a peer of a change of spare room."""

    __slots__ = ("address", "report")

    def __init__(self, address, report):
        self.address = address
        self.report = report


class AdoptConfiguration(Record):
    """A newer configuration was accepted."""

    __slots__ = ("configuration",)

    def __init__(self, configuration):
        self.configuration = configuration


class AdoptView(Record):
    """A peer or the platform has a newer view."""

    __slots__ = ("view",)

    def __init__(self, view):
        self.view = view


class BeginStop(Record):
    """A planned stop was asked for."""

    __slots__ = ("deadline_ms",)

    def __init__(self, deadline_ms):
        self.deadline_ms = deadline_ms


class Tick(Record):
    """Time has passed."""

    __slots__ = ("n_requests",)

    def __init__(self, n_requests=0):
        self.n_requests = n_requests


class Node:
    """Every controller of one entry VM.

    Parameters
    ----------
    me : Member
        This VM.
    lease_ms : float
        Lease time of the cell's members.
    configuration : Configuration
        The one to start with.
    make_choice, make_limit : callable
        Build the closures of each service.
    now_ms : float
        The present time.
    hop_ms : float
        Expected time from this VM to a peer, one way.
    """

    __slots__ = ("balancer", "ownership", "membership", "stopping")

    def __init__(
        self,
        me,
        lease_ms,
        configuration,
        make_choice,
        make_limit,
        now_ms,
        hop_ms=HOP_MS,
    ):
        self.balancer = Balancer(me.member_id, make_choice, make_limit, hop_ms)
        self.ownership = Ownership(
            me.member_id, self.balancer, lease_ms, configuration, now_ms
        )
        self.membership = Membership(me, self.ownership, lease_ms)
        self.stopping = Stopping(self.membership)

    def handle(self, message, now_ms):
        """Take one message; returns the messages it leads to."""
        handler = HANDLERS.get(type(message))
        if handler is not None:
            return self._handle_control(handler, message, now_ms)
        if type(message) is Release:
            self.ownership.note_release(message, now_ms)
        out = self.balancer.handle(message, now_ms)
        return out + self._capacity_changes(message, now_ms)

    def _handle_control(self, handler, message, now_ms):
        before = self.ownership.epoch
        out = handler(self, message, now_ms)
        self.balancer.extend_fence(self.membership.fence_end_ms(now_ms))
        if self.ownership.epoch != before:
            ownership = self.ownership
            out.append(EpochAdopted(ownership.view, ownership.configuration))
        return out + self.ownership.take_ownership_changes()

    def _capacity_changes(self, message, now_ms):
        if type(message) is CapacityReport:
            return []
        name = message_service_name(message)
        service = self.balancer.services.get(name)
        members = self.ownership.serving_sets.get(name, ())
        if service is None or len(members) < 2:
            return []
        out = []
        for report in service.changed_capacity(now_ms):
            for peer_id in members:
                peer = self.membership.view.members.get(peer_id)
                if peer_id != self.balancer.member_id and peer is not None:
                    out.append(SendCapacityReport(peer.peer_address, report))
        return out

    def tick(self, message, now_ms):
        """Send what is due; returns messages."""
        self.stopping.n_requests = message.n_requests
        self.stopping.tick(now_ms)
        self.ownership.start_pending(now_ms)
        return self.membership.tick(now_ms) + self.balancer.tick(now_ms)

    def note_heartbeat(self, message, now_ms):
        """Take a peer's heartbeat and its news; returns messages."""
        out = self.membership.note_heartbeat(message, now_ms)
        for report in message.capacity_reports:
            if report.service_name in self.balancer.services:
                out += self.balancer.handle(report, now_ms)
        return out

    def note_round(self, message, now_ms):
        """Take the platform's answers; returns messages."""
        return self.membership.note_round(message, now_ms)

    def note_round_failed(self, message, now_ms):
        """Take the platform's silence; returns messages."""
        self.membership.note_round_failed()
        return []

    def note_lease(self, message, now_ms):
        """Take a granted lease; returns messages."""
        return self.membership.note_lease(message, now_ms)

    def adopt_configuration(self, message, now_ms):
        """Take a newer configuration; returns messages."""
        return self.membership.adopt_configuration(message.configuration, now_ms)

    def adopt_view(self, message, now_ms):
        """Take a newer view; returns messages."""
        return self.membership.adopt_view(message.view, now_ms)

    def begin_stop(self, message, now_ms):
        """Start a planned stop, or end one at once; returns messages."""
        self.stopping.begin(now_ms, message.deadline_ms)
        return []


HANDLERS = {
    Tick: Node.tick,
    Heartbeat: Node.note_heartbeat,
    RoundDone: Node.note_round,
    RoundFailed: Node.note_round_failed,
    LeaseGranted: Node.note_lease,
    AdoptConfiguration: Node.adopt_configuration,
    AdoptView: Node.adopt_view,
    BeginStop: Node.begin_stop,
}
