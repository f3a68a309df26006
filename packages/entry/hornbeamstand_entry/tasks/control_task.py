"""The task that owns the controllers of an entry VM.

Other tasks post their messages to its mailbox. The messages that the controllers
return are passed on to the tasks that perform them.
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
from hornbeamstand_core.edge_messages import StateChange
from hornbeamstand_core.event_messages import AnswerMarginGrown
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
from .turns import measure_turn

# Interval of the controllers' periodic work while requests wait for a slot. It is short
# so that a request is refused soon after its deadline has passed.
BUSY_TICK_MS = 5.0
# The same interval while no request waits.
IDLE_TICK_MS = 100.0
# The value of the label "role" in the metric control_s, by type of message: the role of
# this VM in which it handles the message. Messages of other types are not counted.
ROLE_BY_MESSAGE_TYPE = {
    Heartbeat: "member",
    RoundDone: "member",
    LeaseGranted: "member",
    AdoptView: "member",
    Tick: "member",
    AdoptConfiguration: "follower",
    ProbeResult: "owner",
    CapacityReport: "router",
}


class ControlTask:
    """Owns the controllers and the mailboxes of requests that wait for a reply.

    Parameters
    ----------
    node : Node
        The controllers.
    clock : Clock
        The process's clock.
    log : structlog logger
        Logs decisions and changes of ownership and state; None turns these lines off.

    Attributes
    ----------
    n_requests : int
        Number of requests that this VM is serving.
    control_ms : dict
        Milliseconds spent on control messages since the start, by role.
    """

    __slots__ = (
        "node",
        "clock",
        "log",
        "task",
        "n_requests",
        "control_ms",
        "_reply_mailboxes",
        "_recipients",
    )

    def __init__(self, node, clock, log):
        self.node = node
        self.clock = clock
        self.log = log
        self.task = Task("control-task")
        self.n_requests = 0
        self.control_ms = dict.fromkeys(ROLE_BY_MESSAGE_TYPE.values(), 0.0)
        self._reply_mailboxes = {}
        self._recipients = {
            DeferredReply: self._reply,
            Decision: self._log_decision,
            OwnershipChange: self._log_ownership_change,
            StateChange: self._log_state_change,
            # No call is in progress before ``connect_front``.
            AnswerMarginGrown: lambda message: None,
        }

    def connect(
        self, platform_task, datagrams, prober, peer_state_fetcher, orders_task
    ):
        """Set the tasks that perform the controllers' messages."""
        self._recipients[SendProbe] = prober.post
        self._recipients[SendHeartbeat] = datagrams.post
        self._recipients[SendCapacityReport] = datagrams.post
        self._recipients[StartRound] = platform_task.post
        self._recipients[GrantLease] = platform_task.post
        self._recipients[WriteView] = platform_task.post
        self._recipients[FetchPeerState] = peer_state_fetcher.post
        self._recipients[EpochAdopted] = orders_task.task.post

    def connect_front(self, front):
        """Set the Front, whose calls in progress end sooner on a VM that is late."""
        self._recipients[AnswerMarginGrown] = front.lengthen_margins

    def start(self, stack):
        """Start the task."""
        start_loop(self.task, self._handle, self._tick, self.clock, stack)

    def _handle(self, message):
        if type(message) is Ask:
            self._handle_ask(message)
            return
        started_at_ms = self.clock.now_ms()
        self._deliver(self.node.handle(message, started_at_ms))
        self._add_control_time(ROLE_BY_MESSAGE_TYPE.get(type(message)), started_at_ms)

    def _add_control_time(self, role, started_at_ms):
        if role is not None:
            self.control_ms[role] += self.clock.now_ms() - started_at_ms

    def _handle_ask(self, ask):
        message = ask.message
        if type(message) is SpendRetry:
            # The reply comes at once, as the first item of the list.
            reply = self.node.handle(message, self.clock.now_ms())
            ask.reply_to.put(bool(reply and reply[0]))
            return
        self._reply_mailboxes[message.request_id] = ask.reply_to
        self._deliver(self.node.handle(message, self.clock.now_ms()))

    def _tick(self):
        started_at_ms = self.clock.now_ms()
        self._deliver(self.node.handle(Tick(self.n_requests), started_at_ms))
        self._add_control_time(ROLE_BY_MESSAGE_TYPE[Tick], started_at_ms)
        measure_turn(self.node.admission, self.clock)
        is_busy = self.node.balancer.has_waiting()
        return BUSY_TICK_MS if is_busy else IDLE_TICK_MS

    def _deliver(self, messages):
        for message in messages:
            self._recipients[type(message)](message)

    def _reply(self, deferred):
        reply_to = self._reply_mailboxes.pop(deferred.request_id, None)
        if reply_to is not None:
            reply_to.put(deferred.reply)

    def _log_decision(self, decision):
        self._log_line(
            f"route: {decision.action}",
            service=decision.service_name,
            request=decision.request_id,
            to=decision.to,
            detail=decision.detail,
        )

    def _log_ownership_change(self, change):
        self._log_line(
            f"place: {change.action}",
            service=change.service_name,
            target=change.target_id,
            detail=change.detail,
        )

    def _log_state_change(self, change):
        self._log_line(f"{change.component}: {change.event}", detail=change.detail)

    def _log_line(self, event, **fields):
        if self.log is not None:
            self.log.info(event, **fields)
