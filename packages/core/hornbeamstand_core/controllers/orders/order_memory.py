"""The memory that the orders of one VM take, and which kept answers are dropped.

Orders are kept so that none runs twice. Their answers, kept for resends, are dropped if
the memory gets short: a resend is then told that the outcome is unknown.
"""

from math import inf

from ...messages import OUTCOME_UNKNOWN, Answer, Refusal

# Size that is counted for an order without its names and its answer.
ORDER_BYTES = 1024


def count_no_bytes(answer):
    """Return 0: answers count nothing."""
    return 0


def order_bytes(service_name, key):
    """Return what an order takes without its answer."""
    return ORDER_BYTES + len(service_name) + len(key)


def refuse_dropped(key):
    """Return the outcome of an order whose answer was dropped."""
    return Refusal("answer no longer kept", OUTCOME_UNKNOWN, 503, "orders", key)


class OrderMemory:
    """Counts what orders and their answers take, and drops answers beyond a limit.

    Large answers are dropped before small ones, so that a few that are large don't cost
    the small ones of others. ``_by_size`` maps the bit length of an answer's size to
    the orders with such answers, the oldest first, and these to that size.

    Parameters
    ----------
    limit_bytes : float
        Maximum number of bytes of orders and their answers; infinity for no limit.
    answer_bytes : callable
        Returns the number of bytes that an Answer takes.
    """

    __slots__ = (
        "limit_bytes",
        "n_order_bytes",
        "n_answer_bytes",
        "n_dropped",
        "_answer_bytes",
        "_by_size",
    )

    def __init__(self, limit_bytes=inf, answer_bytes=count_no_bytes):
        self.limit_bytes = limit_bytes
        self.n_order_bytes = 0
        self.n_answer_bytes = 0
        self.n_dropped = 0
        self._answer_bytes = answer_bytes
        self._by_size = {}

    @property
    def n_bytes(self):
        """The number of bytes of orders and their answers."""
        return self.n_order_bytes + self.n_answer_bytes

    def has_room(self, service_name, key):
        """Return whether one more order may be kept; answers give way to it."""
        n_bytes = self.n_order_bytes + order_bytes(service_name, key)
        return n_bytes <= self.limit_bytes

    def add(self, order):
        """Count an order without its answer."""
        self.n_order_bytes += order_bytes(order.service_name, order.key)
        self._drop_answers()

    def remove(self, order):
        """Count an order and its answer no longer."""
        self.n_order_bytes -= order_bytes(order.service_name, order.key)
        if isinstance(order.outcome, Answer):
            self._remove_answer(order)

    def add_answer(self, order):
        """Count the answer of an order that is done, if its outcome is one."""
        if not isinstance(order.outcome, Answer):
            return
        n_bytes = self._answer_bytes(order.outcome)
        self._by_size.setdefault(n_bytes.bit_length(), {})[order] = n_bytes
        self.n_answer_bytes += n_bytes
        self._drop_answers()

    def _drop_answers(self):
        """Drop the largest answers, the oldest of a size first, down to the limit."""
        while self.n_bytes > self.limit_bytes and self._by_size:
            order = next(iter(self._by_size[max(self._by_size)]))
            self._remove_answer(order)
            order.outcome = refuse_dropped(order.key)
            self.n_dropped += 1

    def _remove_answer(self, order):
        size = self._answer_bytes(order.outcome).bit_length()
        answers = self._by_size[size]
        self.n_answer_bytes -= answers.pop(order)
        if not answers:
            del self._by_size[size]
