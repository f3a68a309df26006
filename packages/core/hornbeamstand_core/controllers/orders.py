"""The order book: each idempotency key runs at most once, over resends.

A key's home (by rendezvous over the serving set) and a second VM in another
failure domain both record an order before it is dispatched. A resend through
any VM reaches the home, gets the first outcome or waits for it. After a change
of the view every VM copies its records to the keys' new homes; until all have
done so, an unknown key waits. A key whose home and second both crashed has an
unknown past: it is answered "outcome unknown", not run.
"""

from ..assignment import serving_set
from ..balancer_messages import DeferredReply
from ..hashing import rank
from ..messages import (
    NOT_RUN,
    OUTCOME_UNKNOWN,
    OrderCompleted,
    OrderRedirect,
    OrderReserved,
    Refusal,
)
from ..order_messages import DONE, DROPPED, OPEN, SendOrders, StoredOrder
from ..view import View

# How long an order's outcome is kept for resends.
WINDOW_MS = 600_000.0
# Most orders kept by one VM; above it new ones are refused.
N_ORDERS_MAX = 100_000


def order_holders(view, service_name, spec, key):
    """Return the ids of a key's home and then its possible second VMs."""
    domains = {m.member_id: m.failure_domain for m in view.active_members()}
    serving = serving_set(view, service_name, spec.serving_set_size)
    if not serving:
        return []
    home = rank(serving, key)[0]
    others = [m for m in rank(domains, key) if m != home]

    def preference(member_id):
        is_same_domain = domains[member_id] == domains[home]
        return is_same_domain, member_id not in serving

    return [home, *sorted(others, key=preference)]


class Order:
    """One order at one of its holders; ``runner_id`` dispatches it."""

    __slots__ = (
        "service_name",
        "key",
        "state",
        "outcome",
        "recorded_at_ms",
        "runner_id",
        "second_id",
        "n_seconds_tried",
        "opener",
        "waiters",
    )

    def __init__(self, service_name, key, recorded_at_ms, runner_id):
        self.service_name = service_name
        self.key = key
        self.state = OPEN
        self.outcome = None
        self.recorded_at_ms = recorded_at_ms
        self.runner_id = runner_id
        self.second_id = None
        self.n_seconds_tried = 0
        self.opener = None
        self.waiters = []


class OrderBook:
    """The orders that one VM holds.

    Parameters
    ----------
    member_id : str
        This VM.
    now_ms : float
        When it started; it knows nothing from before.
    window_ms : float
        How long outcomes are kept.
    """

    __slots__ = (
        "member_id",
        "view",
        "configuration",
        "window_ms",
        "_orders",
        "_held",
        "_stable_view",
        "_transferred",
        "_waited",
        "_lost_ids",
        "_lost_view",
        "_lost_until_ms",
        "_is_all_lost",
    )

    def __init__(self, member_id, now_ms, window_ms=WINDOW_MS):
        self.member_id = member_id
        self.view = View.empty()
        self.configuration = None
        self.window_ms = window_ms
        self._orders = {}
        self._held = []
        self._stable_view = View.empty()
        self._transferred = {}
        self._waited = {}
        self._lost_ids = frozenset()
        self._lost_view = View.empty()
        self._lost_until_ms = float("-inf")
        self._is_all_lost = False

    def __len__(self):
        return len(self._orders)

    # Requests.

    def reserve(self, message, now_ms):
        """Record an order, find its outcome or its home; returns messages."""
        holders = self._holders(message.service_name, message.key)
        if not holders:
            return [refuse(message, "service not ready", OUTCOME_UNKNOWN)]
        if holders[0] != self.member_id:
            return [self._point_home(message, holders[0])]
        order = self._orders.get((message.service_name, message.key))
        if order is not None:
            return self._answer_resend(order, message)
        if not self._is_transfer_complete():
            self._held.append(message)
            return []
        if self._is_past_lost(message, now_ms):
            return [refuse(message, "earlier attempts unknown", OUTCOME_UNKNOWN)]
        return self._open(message, holders, now_ms)

    def _holders(self, service_name, key):
        if self.configuration is None:
            return []
        spec = self.configuration.services.get(service_name)
        if spec is None:
            return []
        return order_holders(self.view, service_name, spec, key)

    def _point_home(self, message, home_id):
        if message.n_hops == 0:
            return DeferredReply(message.request_id, OrderRedirect(home_id))
        certainty = NOT_RUN if message.is_first_attempt else OUTCOME_UNKNOWN
        return refuse(message, "home is moving", certainty)

    def _answer_resend(self, order, message):
        if order.state == DONE:
            return [DeferredReply(message.request_id, OrderCompleted(order.outcome))]
        if order.runner_id not in self.view.members:
            return [refuse(message, "earlier attempt unknown", OUTCOME_UNKNOWN)]
        order.waiters.append(message)
        self._waited[(order.service_name, order.key)] = order
        return []

    def _open(self, message, holders, now_ms):
        if len(self._orders) >= N_ORDERS_MAX:
            return [refuse(message, "order book full", NOT_RUN)]
        order = Order(message.service_name, message.key, now_ms, self.member_id)
        order.opener = message
        self._orders[(message.service_name, message.key)] = order
        return self._try_second(order, holders, now_ms)

    def _try_second(self, order, holders, now_ms):
        seconds = holders[1:]
        if not seconds:
            return self._start(order)
        if order.n_seconds_tried >= len(seconds):
            return self._drop_unstarted(order)
        order.second_id = seconds[order.n_seconds_tried]
        order.n_seconds_tried += 1
        return [SendOrders(order.second_id, [self._copy(order, now_ms)])]

    def _start(self, order):
        opener = order.opener
        order.opener = None
        return [DeferredReply(opener.request_id, OrderReserved())]

    def _drop_unstarted(self, order):
        opener = order.opener
        return self._drop(order, refuse(opener, "no second record", NOT_RUN))

    def _drop(self, order, reply):
        del self._orders[(order.service_name, order.key)]
        waiting = [refuse(w, "not run", NOT_RUN) for w in order.waiters]
        return [reply, *waiting]

    def settle(self, message, now_ms):
        """Keep an order's outcome; returns messages."""
        order = self._orders.get((message.service_name, message.key))
        if order is None:
            return []
        order.state = DONE
        order.outcome = message.outcome
        is_not_run = getattr(message.outcome, "certainty", "") == NOT_RUN
        if is_not_run:
            order.state = DROPPED
            del self._orders[(message.service_name, message.key)]
        copied = self._copy(order, now_ms)
        holders = self._holders(order.service_name, order.key)[:2]
        peers = {*holders, order.second_id} - {self.member_id, None}
        out = [SendOrders(peer_id, [copied]) for peer_id in sorted(peers)]
        return out + self._answer_waiters(order)

    def _answer_waiters(self, order):
        self._waited.pop((order.service_name, order.key), None)
        waiters, order.waiters = order.waiters, []
        known = OrderCompleted(order.outcome)
        return [DeferredReply(w.request_id, known) for w in waiters]

    def _copy(self, order, now_ms):
        age_ms = now_ms - order.recorded_at_ms
        return StoredOrder(
            order.service_name,
            order.key,
            order.state,
            order.outcome,
            age_ms,
            order.runner_id,
        )

    # Peers.

    def note_sent(self, message, now_ms):
        """Take the end of a copy to a peer; returns messages."""
        sent = message.sent
        if sent.transfer_version:
            return []
        stored = sent.orders[0]
        order = self._orders.get((stored.service_name, stored.key))
        if order is None or order.opener is None:
            return []
        if message.is_stored:
            return self._start(order)
        holders = self._holders(order.service_name, order.key)
        return self._try_second(order, holders, now_ms)

    def note_received(self, message, now_ms):
        """Keep a peer's orders; returns messages."""
        out = []
        for stored in message.orders:
            out += self._keep(stored, now_ms)
        if not message.transfer_version:
            return out
        self._transferred[message.sender_id] = message.transfer_version
        if message.is_history_lost and not self._stable_view.members:
            self._is_all_lost = True
            self._lost_until_ms = now_ms + self.window_ms
        return out + self._release_held(now_ms)

    def _keep(self, stored, now_ms):
        name = (stored.service_name, stored.key)
        order = self._orders.get(name)
        if order is not None and order.runner_id == self.member_id:
            return []
        if stored.state == DROPPED:
            return self._forget_copy(name, stored)
        if order is None:
            order = Order(*name, now_ms - stored.age_ms, stored.runner_id)
            self._orders[name] = order
        if stored.state != DONE:
            return []
        order.state = DONE
        order.outcome = stored.outcome
        return self._answer_waiters(order)

    def _forget_copy(self, name, stored):
        order = self._orders.pop(name, None)
        if order is None:
            return []
        order.outcome = stored.outcome
        return self._answer_waiters(order)

    # Changes of the view.

    def adopt_epoch(self, message, now_ms):
        """Take a view and configuration; returns the copies to send."""
        is_new_view = message.view.version != self.view.version
        self.configuration = message.configuration
        if is_new_view:
            self._note_lost(message.view, now_ms)
            self.view = message.view
        out = self._send_transfers(now_ms)
        return out + self._release_held(now_ms)

    def _note_lost(self, view, now_ms):
        gone = set(self._stable_view.members) - set(view.members)
        lost = gone - set(view.clean_exits)
        if len(lost) > 1:
            self._lost_ids = self._lost_ids | lost
            self._lost_view = self._stable_view
            self._lost_until_ms = now_ms + self.window_ms

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
                    copied = self._copy(order, now_ms)
                    orders_by_peer[holder_id].append(copied)
        is_lost = now_ms < self._lost_until_ms
        return [
            SendOrders(peer_id, orders, self.view.version, is_lost)
            for peer_id, orders in orders_by_peer.items()
        ]

    def _is_transfer_complete(self):
        version = self.view.version
        return all(
            self._transferred.get(member_id, 0) >= version
            for member_id in self.view.members
            if member_id != self.member_id
        )

    def _release_held(self, now_ms):
        if not self._is_transfer_complete():
            return []
        self._stable_view = self.view
        held, self._held = self._held, []
        out = []
        for message in held:
            out += self.reserve(message, now_ms)
        return out

    def _is_past_lost(self, message, now_ms):
        if message.is_first_attempt or now_ms >= self._lost_until_ms:
            return False
        if self._is_all_lost:
            return True
        spec = self.configuration.services[message.service_name]
        pair = order_holders(self._lost_view, message.service_name, spec, message.key)[
            :2
        ]
        return bool(pair) and self._lost_ids.issuperset(pair)

    # Time.

    def tick(self, now_ms):
        """Answer what has waited too long and forget old orders."""
        out = []
        still_held = []
        for message in self._held:
            if message.deadline_at_ms <= now_ms:
                out.append(refuse(message, "home is moving", OUTCOME_UNKNOWN))
            else:
                still_held.append(message)
        self._held = still_held
        for order in list(self._waited.values()):
            out += self._expire_waiters(order, now_ms)
        self._forget_old(now_ms)
        return out

    def _forget_old(self, now_ms):
        # Orders are kept in the order of recording, but for copies: a copy that
        # came late is forgotten a little later than it could be.
        old = []
        for name, order in self._orders.items():
            if now_ms - order.recorded_at_ms <= self.window_ms:
                break
            old.append(name)
        for name in old:
            del self._orders[name]

    def _expire_waiters(self, order, now_ms):
        late = [w for w in order.waiters if w.deadline_at_ms <= now_ms]
        order.waiters = [w for w in order.waiters if w.deadline_at_ms > now_ms]
        if not order.waiters:
            self._waited.pop((order.service_name, order.key), None)
        return [
            refuse(w, "first attempt still runs", OUTCOME_UNKNOWN, 504) for w in late
        ]


def refuse(message, reason, certainty, status=503):
    """Return the refusal of a ReserveOrder."""
    refusal = Refusal(reason, certainty, status, "orders", message.key)
    return DeferredReply(message.request_id, refusal)
