"""The orders that one VM holds by their key, and the requests that wait for them."""

from ...order_messages import DROPPED
from .order_memory import OrderMemory
from .order_record import Order

# Maximum number of orders kept by one VM, above which it refuses new orders.
N_ORDERS_MAX = 100_000


class OrderTable:
    """The orders that one VM holds.

    ``_with_waiters`` are the orders with resends that wait for the outcome, and
    ``_unstarted`` those that wait for a backup to store them.

    Parameters
    ----------
    retention_ms : float
        Time for which orders are kept.
    memory : OrderMemory, optional
        Counts what the orders take.
    """

    __slots__ = ("retention_ms", "memory", "_orders", "_with_waiters", "_unstarted")

    def __init__(self, retention_ms, memory=None):
        self.retention_ms = retention_ms
        self.memory = memory or OrderMemory()
        self._orders = {}
        self._with_waiters = {}
        self._unstarted = {}

    def __len__(self):
        return len(self._orders)

    def is_full_for(self, service_name, key):
        """Return whether a new order is refused."""
        if len(self._orders) >= N_ORDERS_MAX:
            return True
        return not self.memory.has_room(service_name, key)

    def has_room_for(self, stored):
        """Return whether there is memory for a copy."""
        if stored.state == DROPPED or self.find(stored.service_name, stored.key):
            return True
        return self.memory.has_room(stored.service_name, stored.key)

    def values(self):
        """Return all orders."""
        return self._orders.values()

    def find(self, service_name, key):
        """Return the order with an idempotency key, or None."""
        return self._orders.get((service_name, key))

    def add_reserved(self, message, now_ms):
        """Add and return the order of a ReserveOrder, which waits for its backup."""
        order_key = (message.service_name, message.key)
        order = Order(*order_key, now_ms)
        order.reservation = message
        self._add(order_key, order)
        self._unstarted[order_key] = order
        return order

    def store(self, stored, recorded_at_ms):
        """Return the order of a copy, which is added if there is none yet."""
        order_key = (stored.service_name, stored.key)
        order = self._orders.get(order_key)
        if order is None:
            order = Order(*order_key, recorded_at_ms)
            self._add(order_key, order)
        elif recorded_at_ms > order.recorded_at_ms:
            # The copy may be of a later attempt; the order moves to the youngest ones.
            order.recorded_at_ms = recorded_at_ms
            self._orders[order_key] = self._orders.pop(order_key)
        return order

    def _add(self, order_key, order):
        self._orders[order_key] = order
        self.memory.add(order)

    def complete(self, order, outcome):
        """Record the outcome of an attempt that may have run; return the waiters.

        They get the outcome whole. The order's answer may be dropped later, or now.
        """
        order.complete(outcome)
        self.memory.add_answer(order)
        return self.take_waiters(order)

    def remove(self, order):
        """Remove an order of which no attempt is left; return its waiters."""
        del self._orders[(order.service_name, order.key)]
        self.memory.remove(order)
        return self.take_waiters(order)

    def end_reservation(self, order):
        """Return the ReserveOrder of an unstarted order, which is answered now."""
        reservation = order.reservation
        order.reservation = None
        order.replication = None
        del self._unstarted[(order.service_name, order.key)]
        return reservation

    def add_waiter(self, order, message):
        """Let a ReserveOrder wait for the outcome of an order."""
        order.waiters.append(message)
        self._with_waiters[(order.service_name, order.key)] = order

    def take_waiters(self, order):
        """Return the waiters of an order, which are answered now: none may expire."""
        self._with_waiters.pop((order.service_name, order.key), None)
        waiters, order.waiters = order.waiters, []
        return waiters

    # Time.

    def take_late_waiters(self, now_ms):
        """Return the waiters whose deadline has passed, which wait no longer."""
        late = []
        for order in list(self._with_waiters.values()):
            late += [w for w in order.waiters if w.deadline_at_ms <= now_ms]
            order.waiters = [w for w in order.waiters if w.deadline_at_ms > now_ms]
            if not order.waiters:
                self._with_waiters.pop((order.service_name, order.key), None)
        return late

    def late_reserved(self, now_ms):
        """Return the new orders that no backup has stored by their deadline."""
        return [
            order
            for order in self._unstarted.values()
            if order.reservation.deadline_at_ms <= now_ms
        ]

    def expire(self, now_ms):
        """Remove the orders that were kept for the time of the retention."""
        # The dict keeps its entries as they were inserted, the oldest first, except for
        # copies that arrived late. Such a copy is removed a little later than it could
        # be.
        expired = []
        for order_key, order in self._orders.items():
            if now_ms - order.recorded_at_ms <= self.retention_ms:
                break
            expired.append(order_key)
        for order_key in expired:
            self.memory.remove(self._orders.pop(order_key))
