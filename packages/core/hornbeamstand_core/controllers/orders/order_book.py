"""The order book, which ensures that an order runs at most once.

An order is a request with an idempotency key that may run only once. Two VMs record it
before it is dispatched: the key's primary, chosen by rendezvous hashing over the
serving set, and a backup, if possible in another failure domain. A cell of one VM has
no backup. A resend through any VM reaches the primary, and gets the outcome of the
first attempt or waits for it. After a view change every VM copies its records to the
new holders of the keys. Until the primary has received the copies of all VMs, it holds
requests with an unknown key. If the primary and the backup of a key both crashed, its
history is lost: a request is answered "outcome unknown" and is not run, unless its
caller states that it is the first attempt.

Each reservation begins an attempt, which the id of its VM and a number name. An attempt
that did not run is withdrawn: its VM removes it, and tells the VMs that hold copies of
it. Messages between VMs may arrive late and in any order. They act only on the attempt
that they name, or on an earlier one of the same VM. The key is free once no attempt is
recorded.
"""

from ...assignment import order_holders
from ...balancer_messages import DeferredReply
from ...messages import NOT_RUN, OUTCOME_UNKNOWN
from ...order_messages import (
    DONE,
    DROPPED,
    OPEN,
    OrderRedirect,
    OrderReserved,
    SendOrders,
)
from ...view import View
from .order_history import OrderHistory
from .order_replies import refuse, refuse_moving, reply_completed
from .order_table import OrderTable
from .order_transfers import OrderTransfers

# Time for which an order is kept, so that resends get its outcome.
RETENTION_MS = 600_000.0


class OrderBook:
    """The orders that one VM holds.

    Parameters
    ----------
    member_id : str
        This VM.
    now_ms : float
        When the VM started. Orders from before that time are unknown to it.
    retention_ms : float
        Time for which orders are kept.
    memory : OrderMemory, optional
        Counts what the orders take, and drops answers beyond its limit.

    ``_transferred_view`` is the latest view for which all members have transferred
    their orders. ``_held_messages`` are the ReserveOrder messages that wait for
    transfers. ``_n_attempts`` is the number of attempts that this VM has begun.
    """

    __slots__ = (
        "member_id",
        "view",
        "configuration",
        "retention_ms",
        "_orders",
        "_held_messages",
        "_transferred_view",
        "_transfers",
        "_history",
        "_n_attempts",
    )

    def __init__(self, member_id, now_ms, retention_ms=RETENTION_MS, memory=None):
        self.member_id = member_id
        self.view = View.empty()
        self.configuration = None
        self.retention_ms = retention_ms
        self._orders = OrderTable(retention_ms, memory)
        self._held_messages = []
        self._transferred_view = View.empty()
        self._transfers = OrderTransfers(member_id)
        self._history = OrderHistory(retention_ms)
        self._n_attempts = 0

    def __len__(self):
        return len(self._orders)

    @property
    def memory(self):
        """What the orders take, as an OrderMemory."""
        return self._orders.memory

    # Requests.

    def reserve(self, message, now_ms):
        """Record the new order of a ReserveOrder, and return the messages that follow.

        A new order is replicated to a backup before it may run. The request is
        answered at once if the outcome is known, if another VM is the primary, or if
        the order must not run. A resend of a running order waits for its outcome.
        """
        holders = self._holders(message.service_name, message.key)
        if not holders:
            return [refuse(message, "service not ready", OUTCOME_UNKNOWN)]
        if holders[0] != self.member_id:
            return [self._redirect_to_primary(message, holders[0])]
        order = self._orders.find(message.service_name, message.key)
        if order is not None:
            return self._answer_resend(order, message)
        if not self._has_all_of_key(message):
            self._held_messages.append(message)
            return []
        if self._is_history_lost(message, now_ms):
            return [refuse(message, "earlier attempts unknown", OUTCOME_UNKNOWN)]
        return self._open(message, holders, now_ms)

    def _holders(self, service_name, key):
        if self.configuration is None:
            return []
        spec = self.configuration.services.get(service_name)
        if spec is None:
            return []
        return order_holders(self.view, service_name, spec, key)

    def _has_all_of_key(self, message):
        return self._transfers.has_all_of_key(
            self.view, self.configuration, message.service_name, message.key
        )

    def _redirect_to_primary(self, message, primary_id):
        if message.n_hops == 0:
            return DeferredReply(message.request_id, OrderRedirect(primary_id))
        return refuse_moving(message)

    def _answer_resend(self, order, message):
        if order.state == DONE:
            return reply_completed([message], order.outcome)
        if not self.view.members.keys() >= order.attempts.keys():
            return [refuse(message, "earlier attempt unknown", OUTCOME_UNKNOWN)]
        self._orders.add_waiter(order, message)
        return []

    def _open(self, message, holders, now_ms):
        if self._orders.is_full_for(message.service_name, message.key):
            return [refuse(message, "order book full", NOT_RUN)]
        self._n_attempts += 1
        order = self._orders.add_reserved(message, now_ms)
        order.note_attempt(self.member_id, self._n_attempts)
        return self._try_backup(order, holders, now_ms)

    def _try_backup(self, order, holders, now_ms):
        backups = holders[1:]
        if not backups:
            return self._start(order)
        if order.n_backups_tried >= len(backups):
            return self._drop(order, "no second record")
        order.backup_id = backups[order.n_backups_tried]
        order.n_backups_tried += 1
        order.replication = SendOrders(order.backup_id, order.copies(now_ms))
        return [order.replication]

    def _start(self, order):
        if len(order.attempts) > 1:
            # A late copy has shown that another VM may run the order.
            return self._drop(order, "earlier attempt unknown")
        attempt = order.attempts[self.member_id]
        reservation = self._orders.end_reservation(order)
        return [DeferredReply(reservation.request_id, OrderReserved(attempt))]

    def _drop(self, order, reason):
        """Refuse an unstarted order; return the replies."""
        reservation = self._orders.end_reservation(order)
        del order.attempts[self.member_id]
        if order.attempts:
            return [refuse(reservation, reason, OUTCOME_UNKNOWN)]
        waiters = self._orders.remove(order)
        replies = [refuse(w, "not run", NOT_RUN) for w in waiters]
        return [refuse(reservation, reason, NOT_RUN), *replies]

    def _drop_outdated(self, order):
        """Refuse an unstarted order of whose key another VM is the primary by now.

        That VM may have run an earlier send of it.
        """
        reservation = self._orders.end_reservation(order)
        del order.attempts[self.member_id]
        waiters = [] if order.attempts else self._orders.remove(order)
        return [refuse_moving(message) for message in (reservation, *waiters)]

    def record_outcome(self, message, now_ms):
        """Process a RecordOutcome; return the copies and the replies to resends.

        An attempt that did not run is withdrawn, so that a resend may run.
        """
        order = self._orders.find(message.service_name, message.key)
        if order is None:
            return []
        is_not_run = getattr(message.outcome, "certainty", "") == NOT_RUN
        if is_not_run and order.state == OPEN:
            return self._withdraw_own(order, message, now_ms)
        replies = self._complete(order, message.outcome)
        return self._send_to_holders(order, order.copies(now_ms)) + replies

    def _withdraw_own(self, order, message, now_ms):
        if not order.withdraw(self.member_id, message.attempt):
            return []
        withdrawn = order.withdrawal(
            self.member_id, message.attempt, message.outcome, now_ms
        )
        out = self._send_to_holders(order, [withdrawn])
        return out + self._free_if_withdrawn(order, message.outcome)

    def _free_if_withdrawn(self, order, outcome):
        """Remove an order if all its attempts are withdrawn; answer the resends."""
        if order.attempts:
            return []
        return reply_completed(self._orders.remove(order), outcome)

    def _complete(self, order, outcome):
        """Record the first outcome of an order; return the replies that it allows."""
        if order.state == DONE:
            return []
        waiters = self._orders.complete(order, outcome)
        if order.reservation is not None:
            waiters = [self._orders.end_reservation(order), *waiters]
        return reply_completed(waiters, outcome)

    def _send_to_holders(self, order, copies):
        holders = self._holders(order.service_name, order.key)[:2]
        peers = {*holders, order.backup_id} - {self.member_id, None}
        return [SendOrders(peer_id, copies) for peer_id in sorted(peers)]

    # Peers.

    def note_sent(self, message, now_ms):
        """Process an OrdersSent that is not part of a transfer.

        The order may run if the backup has stored it. Otherwise the next backup is
        tried. The end of a copy of an earlier attempt with the same key is ignored.
        """
        sent = message.sent
        if sent.transfer_version:
            return []
        stored = sent.orders[0]
        order = self._orders.find(stored.service_name, stored.key)
        # Copies of two attempts may have equal values.
        if order is None or order.replication is not sent:
            return []
        if message.is_stored:
            return self._start(order)
        if message.is_refused:
            return self._drop_outdated(order)
        holders = self._holders(order.service_name, order.key)
        return self._try_backup(order, holders, now_ms)

    def may_store(self, message):
        """Return whether the orders of an OrdersReceived are stored and acknowledged.

        A VM that was removed from the view may not know this yet. Its new attempts are
        not stored: those who took over its keys would not learn of them.
        """
        if message.transfer_version or message.sender_id in self.view.members:
            return True
        return all(stored.state != OPEN for stored in message.orders)

    def has_room_for(self, message):
        """Return whether there is memory for the orders of an OrdersReceived.

        Parts of a transfer, which have a version, are stored in any case: without them
        no new order of their keys could run.
        """
        if message.config_version != 0:
            return True
        return all(map(self._orders.has_room_for, message.orders))

    def note_received(self, message, now_ms):
        """Store the orders of an OrdersReceived; return the replies that they allow."""
        out = []
        for stored in message.orders:
            out += self._store_copy(stored, now_ms)
        if not message.transfer_version:
            return out
        self._transfers.note_transfer(message)
        # A VM that joined after the loss does not know which keys it concerns.
        if message.is_history_lost and not self._transferred_view.members:
            self._history.note_all_lost(now_ms)
        return out + self._release_held(now_ms)

    def _store_copy(self, stored, now_ms):
        if stored.runner_id == self.member_id:
            # This VM's own records of its attempts are newer than any copy.
            return []
        if stored.state == DROPPED:
            return self._withdraw_copy(
                self._orders.find(stored.service_name, stored.key), stored
            )
        order = self._orders.store(stored, now_ms - stored.age_ms)
        if stored.state == DONE:
            return self._complete(order, stored.outcome)
        if order.state == OPEN:
            order.note_attempt(stored.runner_id, stored.attempt)
        return []

    def _withdraw_copy(self, order, stored):
        if order is None or not order.withdraw(stored.runner_id, stored.attempt):
            return []
        return self._free_if_withdrawn(order, stored.outcome)

    # Changes of the view.

    def adopt_epoch(self, message, now_ms):
        """Process an EpochAdopted; return the copies and replies to send."""
        is_new_view = message.view.version != self.view.version
        self._transfers.note_configuration(self.configuration, message.configuration)
        self.configuration = message.configuration
        if is_new_view:
            self._history.note_view(self._transferred_view, message.view, now_ms)
            self.view = message.view
            self._transfers.note_view(message.view)
        out = self._send_transfers(now_ms)
        return out + self._release_held(now_ms)

    def _send_transfers(self, now_ms):
        orders_by_peer = {
            member_id: []
            for member_id in self.view.members
            if member_id != self.member_id
        }
        for order in self._orders.values():
            holders = self._holders(order.service_name, order.key)
            for holder_id in holders[:2]:
                if holder_id in orders_by_peer:
                    orders_by_peer[holder_id] += order.copies(now_ms)
        is_history_lost = self._history.is_any_lost(now_ms)
        return [
            SendOrders(
                peer_id,
                orders,
                self.view.version,
                is_history_lost,
                self.configuration.version,
            )
            for peer_id, orders in orders_by_peer.items()
        ]

    def _release_held(self, now_ms):
        if not self._transfers.has_all(self.view):
            return []
        self._transferred_view = self.view
        held, self._held_messages = self._held_messages, []
        out = []
        for message in held:
            out += self.reserve(message, now_ms)
        return out

    def _is_history_lost(self, message, now_ms):
        if message.is_first_attempt:
            return False
        spec = self.configuration.services[message.service_name]
        return self._history.is_lost(message.service_name, spec, message.key, now_ms)

    # Time.

    def tick(self, now_ms):
        """Refuse requests whose deadline has passed, and remove expired orders."""
        out = []
        still_held = []
        for message in self._held_messages:
            if message.deadline_at_ms <= now_ms:
                out.append(refuse(message, "home is moving", OUTCOME_UNKNOWN))
            else:
                still_held.append(message)
        self._held_messages = still_held
        out += [
            refuse(waiter, "first attempt still runs", OUTCOME_UNKNOWN, 504)
            for waiter in self._orders.take_late_waiters(now_ms)
        ]
        # No backup stored these in time, so they don't run.
        for order in self._orders.late_reserved(now_ms):
            out += self._drop(order, "deadline passed")
        self._orders.expire(now_ms)
        return out
