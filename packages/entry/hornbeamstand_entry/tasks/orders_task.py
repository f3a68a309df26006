"""The task that owns the order book and replicates orders to peers."""

import gevent
from hornbeamstand_core.balancer_messages import DeferredReply
from hornbeamstand_core.messages import Answer
from hornbeamstand_core.order_messages import (
    EpochAdopted,
    OrdersReceived,
    OrdersSent,
    RecordOutcome,
    ReserveOrder,
)

from ..encoding import encode_request
from ..peer_codec import (
    KeptResponse,
    decode_orders,
    encode_orders,
    orders_bytes,
    orders_path,
    split_transfer,
    without_answers,
)
from ..responses import respond_json
from .byte_budget import ByteBudget
from .exchange import Exchange
from .failures import spawn_supervised
from .task import Ask, Task, receive, start_loop

# Timeout for sending orders to a peer and receiving its acknowledgement.
REPLICATION_TIMEOUT_MS = 300.0
# Delay before a failed transfer is repeated. A transfer replicates the orders that a
# peer should hold after a change of view or configuration. It is repeated until the
# peer acknowledges it or the view changes.
TRANSFER_RETRY_MS = 250.0
# Interval of the order book's periodic work.
TICK_MS = 100.0
# Timeout for storing a peer's orders, after which the peer gets status 503. It is
# shorter than REPLICATION_TIMEOUT_MS, for which the peer waits.
ACK_TIMEOUT_MS = 200.0
# Statuses of a peer's responses: the orders are stored, the sender is no member, or
# they can't be stored now.
STORED = 200
REFUSED = 409
UNAVAILABLE = 503
ACKNOWLEDGEMENTS = {
    STORED: {},
    REFUSED: {"error": "not a member"},
    UNAVAILABLE: {"error": "busy"},
}
# Maximum size of the body of a peer's acknowledgement.
ACK_MAX_BYTES = 4096
# Number of copies of orders in memory while they are sent: encoded, and as a request.
N_SENT_COPIES = 2


class OrdersTask:
    """Owns the order book and the mailboxes of requests that wait for its reply.

    Parameters
    ----------
    book : OrderBook
        The controller.
    pools : Pools
        Connections to peers.
    clock : Clock
        The process's clock.
    budget : ByteBudget, optional
        Counts what the orders take.
    """

    __slots__ = (
        "book",
        "pools",
        "clock",
        "task",
        "budget",
        "_hold",
        "_reply_mailboxes",
        "_handlers",
    )

    def __init__(self, book, pools, clock, budget=None):
        self.book = book
        self.pools = pools
        self.clock = clock
        self.task = Task("orders")
        self.budget = budget or ByteBudget()
        self._hold = self.budget.hold()
        self._reply_mailboxes = {}
        self._handlers = {
            ReserveOrder: book.reserve,
            RecordOutcome: book.record_outcome,
            OrdersSent: book.note_sent,
            OrdersReceived: book.note_received,
            EpochAdopted: book.adopt_epoch,
        }

    def start(self, stack):
        """Start the task."""
        start_loop(self.task, self._handle, self._tick, self.clock, stack)

    def _handle(self, message):
        acknowledge_to = None
        if type(message) is Ask:
            ask, message = message, message.message
            if type(message) is not OrdersReceived:
                self._reply_mailboxes[message.request_id] = ask.reply_to
            elif not self.book.may_store(message):
                ask.reply_to.put(REFUSED)
                return
            elif not self.book.has_room_for(message):
                ask.reply_to.put(UNAVAILABLE)
                return
            else:
                acknowledge_to = ask.reply_to
        elif type(message) is RecordOutcome:
            keep_payload(message)
        messages = self._handlers[type(message)](message, self.clock.now_ms())
        self._count_memory()
        if acknowledge_to is not None:
            acknowledge_to.put(STORED)
        self._deliver(messages)

    def _tick(self):
        self._deliver(self.book.tick(self.clock.now_ms()))
        self._count_memory()
        return TICK_MS

    def _count_memory(self):
        """Count what the orders take now; their answers are limited by the book."""
        self._hold.add(self.book.memory.n_bytes - self._hold.n_bytes)

    def _deliver(self, messages):
        for message in messages:
            if type(message) is DeferredReply:
                reply_to = self._reply_mailboxes.pop(message.request_id, None)
                if reply_to is not None:
                    reply_to.put(message.reply)
            else:
                spawn_supervised("orders-copy", self._replicate, message)

    def _replicate(self, message):
        """Replicate orders; a transfer is repeated until it is stored or outdated."""
        if not message.transfer_version:
            status = self._send_orders(message)
            self.task.post(OrdersSent(message, status == STORED, status == REFUSED))
            return
        for part in split_transfer(message):
            while self._send_orders(part) != STORED:
                if self.book.view.version != message.transfer_version:
                    return
                gevent.sleep(TRANSFER_RETRY_MS / 1000.0)
        self.task.post(OrdersSent(message, True))

    def _send_orders(self, message):
        """Send orders to a peer; return the status of its response, 0 without one.

        Answers for whose copies no memory is left are not sent with their orders.
        """
        peer = self.book.view.members.get(message.peer_id)
        if peer is None:
            return 0
        hold = self.budget.hold()
        if not hold.grow_to(N_SENT_COPIES * orders_bytes(message)):
            message = without_answers(message)
        try:
            return self._send_encoded(peer, message)
        finally:
            hold.release()

    def _send_encoded(self, peer, message):
        address = peer.front_address
        body = encode_orders(self.book.member_id, message)
        request_bytes = encode_request(
            "POST", orders_path(message), [("Host", address)], body
        )
        mailbox = Task("copy").mailbox
        not_after_ms = self.clock.now_ms() + REPLICATION_TIMEOUT_MS
        exchange = Exchange(
            "POST", request_bytes, not_after_ms, True, ACK_MAX_BYTES, mailbox
        )
        self.pools.post(address, exchange)
        response = exchange.receive_result(REPLICATION_TIMEOUT_MS)
        if response is None:
            exchange.cancel(has_timed_out=True)
        return getattr(response, "status_code", 0)

    def answer_peer(self, raw, query, start_response):
        """Store a peer's orders and acknowledge them; returns a WSGI response."""
        message = decode_orders(raw, query)
        if message is None:
            return respond_json(start_response, 400, {"error": "malformed orders"})
        mailbox = Task("ack").mailbox
        self.task.post(Ask(message, mailbox))
        status = receive(mailbox, ACK_TIMEOUT_MS) or UNAVAILABLE
        return respond_json(start_response, status, ACKNOWLEDGEMENTS[status])


def keep_payload(message):
    """Replace the response of an outcome by a copy that can be stored for resends."""
    outcome = message.outcome
    if isinstance(outcome, Answer) and not isinstance(outcome.payload, KeptResponse):
        kept = KeptResponse.from_response(outcome.payload)
        message.outcome = Answer(outcome.status, kept, outcome.target_id)
