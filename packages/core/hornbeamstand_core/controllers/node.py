"""The controllers of one entry VM, behind one message interface.

The tasks of a process, or a test on a virtual clock, pass messages to the node and
perform the messages that it returns.
"""

from random import Random

from ..balancer_messages import CapacityReport
from ..membership_messages import LeaseGranted, RoundDone, RoundFailed
from ..messages import Release
from ..order_messages import EpochAdopted
from ..peer_messages import Heartbeat
from ..records import Record
from .cell.membership import Membership
from .load.admission import Admission
from .owned_targets.balancer import Balancer, message_service_name
from .owned_targets.ownership import Ownership
from .stopping import Stopping

# Expected one-way time between two failure domains of one city.
HOP_MS = 1.5


class SendCapacityReport(Record):
    """Report a change of this VM's free capacity to a peer."""

    __slots__ = ("address", "report")

    def __init__(self, address, report):
        self.address = address
        self.report = report


class AdoptConfiguration(Record):
    """Adopt an accepted configuration if it is newer than the one in force."""

    __slots__ = ("configuration",)

    def __init__(self, configuration):
        self.configuration = configuration


class AdoptView(Record):
    """Adopt a view of a peer or the platform if it is newer than the adopted one."""

    __slots__ = ("view",)

    def __init__(self, view):
        self.view = view


class BeginStop(Record):
    """A planned stop was requested, to last ``deadline_ms`` at most.

    A second request ends the stop at once.
    """

    __slots__ = ("deadline_ms",)

    def __init__(self, deadline_ms):
        self.deadline_ms = deadline_ms


class ConnectionsClosed(Record):
    """No connection of a caller is open, and none is accepted any more."""

    __slots__ = ()


class Tick(Record):
    """Time has passed. ``n_requests`` is the number of requests in progress."""

    __slots__ = ("n_requests",)

    def __init__(self, n_requests=0):
        self.n_requests = n_requests


class Node:
    """The controllers of one entry VM, except the order book.

    Each handler takes a message and the current time, and returns the messages that
    the tasks have to perform.

    Parameters
    ----------
    me : Member
        This VM.
    lease_ms : float
        Lease time of the cell's members.
    configuration : Configuration
        The configuration in force at the start.
    make_choice, make_limit : callable
        Functions that build the closures of a service: the choice of a target and the
        adjustment of the concurrency limits.
    now_ms : float
        The current time.
    hop_ms : float
        Expected time from this VM to a peer, one way.
    """

    __slots__ = ("admission", "balancer", "ownership", "membership", "stopping")

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
        self.admission = Admission(Random(f"{me.member_id}-admission"))
        self.balancer = Balancer(me.member_id, make_choice, make_limit, hop_ms)
        self.ownership = Ownership(
            me.member_id, self.balancer, lease_ms, configuration, now_ms
        )
        self.membership = Membership(me, self.ownership, lease_ms)
        self.stopping = Stopping(self.membership)

    def handle(self, message, now_ms):
        """Process one message and return the messages that it leads to."""
        handler = HANDLERS.get(type(message))
        if handler is not None:
            return self._handle_control(handler, message, now_ms)
        if type(message) is Release:
            self.ownership.former_targets.note_release(message, now_ms)
        out = self.balancer.handle(message, now_ms)
        return out + self._capacity_changes(message, now_ms)

    def _handle_control(self, handler, message, now_ms):
        before = self.ownership.epoch
        out = handler(self, message, now_ms)
        self.balancer.set_fence_end(self.membership.fence_end_at_ms(now_ms))
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
        """Return the messages that are due, and advance a planned stop."""
        self.stopping.n_requests = message.n_requests
        self.stopping.tick(now_ms)
        self.ownership.activate_pending(now_ms)
        out = self.admission.note_tick(now_ms)
        return out + self.membership.tick(now_ms) + self.balancer.tick(now_ms)

    def note_heartbeat(self, message, now_ms):
        """Process a peer's heartbeat and the capacity reports in it."""
        out = self.membership.note_heartbeat(message, now_ms)
        for report in message.capacity_reports:
            if report.service_name in self.balancer.services:
                out += self.balancer.handle(report, now_ms)
        return out

    def note_round(self, message, now_ms):
        """Process the result of a round at the platform."""
        return self.membership.note_round(message, now_ms)

    def note_round_failed(self, message, now_ms):
        """Process the failure of a round at the platform."""
        self.membership.note_round_failed()
        return []

    def note_lease(self, message, now_ms):
        """Record the lease that the platform granted."""
        return self.membership.note_lease(message, now_ms)

    def adopt_configuration(self, message, now_ms):
        """Adopt a configuration if it is newer."""
        return self.membership.adopt_configuration(message.configuration, now_ms)

    def adopt_view(self, message, now_ms):
        """Adopt a view if it is newer."""
        return self.membership.adopt_view(message.view, now_ms)

    def begin_stop(self, message, now_ms):
        """Start a planned stop, or end the one in progress at once."""
        self.stopping.begin(now_ms, message.deadline_ms)
        return []

    def note_connections_closed(self, message, now_ms):
        """Note that a planned stop has closed the connections of callers."""
        self.stopping.has_connections = False
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
    ConnectionsClosed: Node.note_connections_closed,
}
