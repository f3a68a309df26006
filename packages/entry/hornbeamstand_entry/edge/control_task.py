"""The task that owns the controllers of an edge process."""

import gevent
from hornbeamstand_core.balancer_messages import Decision, DeferredReply
from hornbeamstand_core.edge_messages import StateChange
from hornbeamstand_core.edge_node_messages import EdgeTick
from hornbeamstand_core.messages import (
    CANCELLED,
    Permit,
    Release,
    SendFailure,
    Withdraw,
)
from hornbeamstand_core.quota_messages import (
    CheckQuotas,
    ProcessSuspended,
    QuotaRequest,
    ScheduleQuotaCheck,
    SpendQuota,
)
from hornbeamstand_core.records import Record
from hornbeamstand_core.relay_messages import CheckPeerAlive, FindOwner

from ..tasks.task import Ask, Task, start_loop
from ..tasks.turns import measure_turn

# Interval of the controllers' periodic work while requests wait for a target.
BUSY_TICK_MS = 10.0
# The same interval while no request waits.
IDLE_TICK_MS = 100.0
# Messages that are not handled before a suspension is: their handling relies on tokens
# that may have lapsed in it.
TOKEN_MESSAGES = (SpendQuota, QuotaRequest)
MS_PER_S = 1000.0


class AbandonedReply(Record):
    """A request for a slot, whose requester reads no reply any more.

    ``reply_to`` is the mailbox that the reply goes to, or has come to.
    """

    __slots__ = ("service_name", "request_id", "reply_to")

    def __init__(self, service_name, request_id, reply_to):
        self.service_name = service_name
        self.request_id = request_id
        self.reply_to = reply_to


class EdgeControlTask:
    """Owns the controllers and the mailboxes of requests that wait for a reply.

    Parameters
    ----------
    node : EdgeNode
        The controllers.
    clock : Clock
        The process's clock.
    log : EdgeLog
        Logs decisions and state changes.
    suspensions : Suspensions
        Notes at each tick that the process runs.
    """

    __slots__ = (
        "node",
        "clock",
        "log",
        "suspensions",
        "task",
        "_reply_mailboxes",
        "_recipients",
        "_due_at_ms",
        "_n_suspensions",
    )

    def __init__(self, node, clock, log, suspensions):
        self.node = node
        self.clock = clock
        self.log = log
        self.suspensions = suspensions
        self.task = Task("control-task")
        self._reply_mailboxes = {}
        # When the next tick is due.
        self._due_at_ms = clock.now_ms()
        # Number of suspensions that the controllers were told of.
        self._n_suspensions = 0
        self._recipients = {
            DeferredReply: self._reply,
            Decision: log.decision,
            StateChange: log.state_change,
            ScheduleQuotaCheck: self._schedule_quota_check,
        }

    def connect(self, message_type, post):
        """Set the function that takes the controllers' messages of one type."""
        self._recipients[message_type] = post

    def post(self, message):
        """Put a message into the task's mailbox."""
        self.task.post(message)

    def ask(self, message, reply_to):
        """Put a message into the task's mailbox; the reply goes to another mailbox."""
        self.task.post(Ask(message, reply_to))

    def abandon(self, effect, reply_to):
        """Take back an AcquireSlot whose requester reads no reply any more."""
        self.task.post(AbandonedReply(effect.service_name, effect.request_id, reply_to))

    def start(self, stack):
        """Start the task."""
        start_loop(self.task, self._handle, self._tick, self.clock, stack)

    def _handle(self, message):
        if type(message) is Ask:
            self._handle_ask(message)
            return
        if type(message) is AbandonedReply:
            self._handle_abandoned(message)
            return
        if type(message) in TOKEN_MESSAGES:
            self._note_run()
        self._deliver(self.node.handle(message, self.clock.now_ms()))

    def _handle_ask(self, ask):
        message = ask.message
        if type(message) in (CheckPeerAlive, FindOwner):
            # The node replies at once, with a list of one item. Every other reply is a
            # DeferredReply, which names its request.
            ask.reply_to.put(self.node.handle(message, self.clock.now_ms())[0])
            return
        if type(message) in TOKEN_MESSAGES:
            self._note_run()
        self._reply_mailboxes[message.request_id] = ask.reply_to
        self._deliver(self.node.handle(message, self.clock.now_ms()))

    def _handle_abandoned(self, message):
        """Withdraw a request for a slot; return the slot that it has got."""
        self._reply_mailboxes.pop(message.request_id, None)
        now_ms = self.clock.now_ms()
        withdraw = Withdraw(message.service_name, message.request_id)
        self._deliver(self.node.handle(withdraw, now_ms))
        while not message.reply_to.empty():
            reply = message.reply_to.get_nowait()
            if type(reply) is Permit:
                failure = SendFailure(CANCELLED, False, reply.target_id)
                self._deliver(self.node.handle(Release(reply, failure), now_ms))

    def _tick(self):
        self._note_run()
        now_ms = self.clock.now_ms()
        delay_ms = max(0.0, now_ms - self._due_at_ms)
        self._deliver(self.node.handle(EdgeTick(delay_ms), now_ms))
        measure_turn(self.node.admission, self.clock)
        is_busy = any(service.waiting for service in self.node.services.values())
        interval_ms = BUSY_TICK_MS if is_busy else IDLE_TICK_MS
        self._due_at_ms = now_ms + interval_ms
        return interval_ms

    def _note_run(self):
        """Note that the process runs; tell the controllers of a suspension."""
        self.suspensions.note_run()
        if self._n_suspensions != self.suspensions.n_ended:
            self._n_suspensions = self.suspensions.n_ended
            self._deliver(self.node.handle(ProcessSuspended(), self.clock.now_ms()))

    def _schedule_quota_check(self, message):
        gevent.spawn_later(message.delay_ms / MS_PER_S, self.post, CheckQuotas())

    def _deliver(self, messages):
        for message in messages:
            self._recipients[type(message)](message)

    def _reply(self, deferred):
        reply_to = self._reply_mailboxes.pop(deferred.request_id, None)
        if reply_to is not None:
            reply_to.put(deferred.reply)
