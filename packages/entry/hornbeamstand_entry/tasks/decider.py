"""The task that owns the controllers.

Every other task posts messages here; the messages that the controllers return
are routed to the tasks that perform them.
"""

from hornbeamstand_core.balancer_messages import (
    CapacityReport,
    Decision,
    DeferredReply,
    OwnershipChange,
    ProbeResult,
    SendProbe,
)
from hornbeamstand_core.controllers.node import (
    AdoptConfiguration,
    AdoptView,
    SendCapacityReport,
    Tick,
)
from hornbeamstand_core.membership_messages import (
    FetchPeerState,
    GrantLease,
    LeaseGranted,
    RoundDone,
    SendHeartbeat,
    StartRound,
    WriteView,
)
from hornbeamstand_core.messages import SpendRetry
from hornbeamstand_core.order_messages import EpochAdopted
from hornbeamstand_core.peer_messages import Heartbeat

from .task import Ask, Task, start_loop

# While requests wait their deadlines are looked at often, else seldom.
BUSY_TICK_MS = 5.0
IDLE_TICK_MS = 100.0


# The role that each control message's time is counted for.
ROLES = {
    Heartbeat: "member",
    RoundDone: "member",
    LeaseGranted: "member",
    AdoptView: "member",
    Tick: "member",
    AdoptConfiguration: "follower",
    ProbeResult: "owner",
    CapacityReport: "router",
}


class Decider:
    """The controllers, and the mailboxes that wait for their replies.

    Parameters
    ----------
    node : Node
        The controllers.
    clock : Clock
        The process's clock.
    log : structlog logger
        For decisions; None turns them off.

    Attributes
    ----------
    control_ms : dict
        Time spent on control messages since the start, by role.
    """

    __slots__ = (
        "node",
        "clock",
        "log",
        "task",
        "n_requests",
        "control_ms",
        "_waiting",
        "_routes",
    )

    def __init__(self, node, clock, log):
        self.node = node
        self.clock = clock
        self.log = log
        self.task = Task("decider")
        self.n_requests = 0
        self.control_ms = dict.fromkeys(ROLES.values(), 0.0)
        self._waiting = {}
        self._routes = {
            DeferredReply: self._reply,
            Decision: self._log_decision,
            OwnershipChange: self._log_placement,
        }

    def connect(self, platform, datagrams, prober, peer_fetch, orders):
        """Name the tasks that perform the controllers' messages."""
        self._routes[SendProbe] = prober.post
        self._routes[SendHeartbeat] = datagrams.post
        self._routes[SendCapacityReport] = datagrams.post
        self._routes[StartRound] = platform.post
        self._routes[GrantLease] = platform.post
        self._routes[WriteView] = platform.post
        self._routes[FetchPeerState] = peer_fetch.post
        self._routes[EpochAdopted] = orders.task.post

    def start(self, stack):
        """Start the task."""
        start_loop(self.task, self._handle, self._tick, self.clock, stack)

    def _handle(self, message):
        if type(message) is Ask:
            self._handle_ask(message)
            return
        started_at_ms = self.clock.now_ms()
        self._perform(self.node.handle(message, started_at_ms))
        self._count_control(ROLES.get(type(message)), started_at_ms)

    def _count_control(self, role, started_at_ms):
        if role is not None:
            self.control_ms[role] += self.clock.now_ms() - started_at_ms

    def _handle_ask(self, ask):
        message = ask.message
        if type(message) is SpendRetry:
            reply = self.node.handle(message, self.clock.now_ms())
            ask.reply_to.put(bool(reply and reply[0]))
            return
        self._waiting[message.request_id] = ask.reply_to
        self._perform(self.node.handle(message, self.clock.now_ms()))

    def _tick(self):
        started_at_ms = self.clock.now_ms()
        self._perform(self.node.handle(Tick(self.n_requests), started_at_ms))
        self._count_control(ROLES[Tick], started_at_ms)
        is_busy = self.node.balancer.has_waiting()
        return BUSY_TICK_MS if is_busy else IDLE_TICK_MS

    def _perform(self, messages):
        for message in messages:
            self._routes[type(message)](message)

    def _reply(self, granted):
        reply_to = self._waiting.pop(granted.request_id, None)
        if reply_to is not None:
            reply_to.put(granted.reply)

    def _log_decision(self, decision):
        self._log_line(
            f"route: {decision.action}",
            service=decision.service_name,
            request=decision.request_id,
            to=decision.to,
            detail=decision.detail,
        )

    def _log_placement(self, placement):
        self._log_line(
            f"place: {placement.action}",
            service=placement.service_name,
            target=placement.target_id,
            detail=placement.detail,
        )

    def _log_line(self, event, **fields):
        if self.log is not None:
            self.log.info(event, **fields)
