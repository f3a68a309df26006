"""Messages of orders: between filter chain, order book, its task and the peers.

An order is a request with an idempotency key that may run only once. Its primary is the
entry VM that records it before its dispatch.
"""

from .records import Record

OPEN = "open"
DONE = "done"
DROPPED = "dropped"


class StoredOrder(Record):
    """One order as it is replicated between VMs.

    ``state`` is OPEN (an attempt is recorded and may be running), DROPPED (that attempt
    did not run; a resend may run) or DONE (``outcome`` is known, of whichever attempt).
    ``runner_id`` and ``attempt`` name the attempt: the VM that dispatches the order,
    and the number that it gave the attempt, greater for later ones. ``age_ms`` is the
    time since the order was first recorded.
    """

    __slots__ = (
        "service_name",
        "key",
        "state",
        "outcome",
        "age_ms",
        "runner_id",
        "attempt",
    )

    def __init__(self, service_name, key, state, outcome, age_ms, runner_id, attempt=0):
        self.service_name = service_name
        self.key = key
        self.state = state
        self.outcome = outcome
        self.age_ms = age_ms
        self.runner_id = runner_id
        self.attempt = attempt


class SendOrders(Record):
    """Replicate orders to a peer, until it acknowledges or the deadline passes.

    A VM that adopts a view or configuration transfers to each peer all orders that the
    peer should hold; ``transfer_version`` is then the version of the view, and
    ``config_version`` that of the configuration. Both are 0 outside such a transfer.
    ``is_history_lost`` is set if some orders of the retention window are known to be
    lost.
    """

    __slots__ = (
        "peer_id",
        "orders",
        "transfer_version",
        "is_history_lost",
        "config_version",
    )

    def __init__(
        self,
        peer_id,
        orders,
        transfer_version=0,
        is_history_lost=False,
        config_version=0,
    ):
        self.peer_id = peer_id
        self.orders = orders
        self.transfer_version = transfer_version
        self.is_history_lost = is_history_lost
        self.config_version = config_version


class OrdersSent(Record):
    """The end of the SendOrders ``sent``; ``is_stored`` if the peer acknowledged it.

    ``is_refused`` is set if the sender is no member of the peer's view.
    """

    __slots__ = ("sent", "is_stored", "is_refused")

    def __init__(self, sent, is_stored, is_refused=False):
        self.sent = sent
        self.is_stored = is_stored
        self.is_refused = is_refused


class OrdersReceived(Record):
    """Orders that a peer replicated to this VM; acknowledged once they are stored.

    The fields are those of SendOrders. ``config_version`` is None if the peer's release
    does not send it.
    """

    __slots__ = (
        "sender_id",
        "orders",
        "transfer_version",
        "is_history_lost",
        "config_version",
    )

    def __init__(
        self, sender_id, orders, transfer_version, is_history_lost, config_version=None
    ):
        self.sender_id = sender_id
        self.orders = orders
        self.transfer_version = transfer_version
        self.is_history_lost = is_history_lost
        self.config_version = config_version


class EpochAdopted(Record):
    """A new view or configuration was adopted by this VM."""

    __slots__ = ("view", "configuration")

    def __init__(self, view, configuration):
        self.view = view
        self.configuration = configuration


class ReserveOrder(Record):
    """Record an order before its dispatch.

    The reply is an OrderReserved, OrderCompleted, OrderRedirect or Refusal.
    """

    __slots__ = (
        "service_name",
        "key",
        "request_id",
        "deadline_at_ms",
        "n_hops",
        "is_first_attempt",
    )

    def __init__(
        self, service_name, key, request_id, deadline_at_ms, n_hops, is_first_attempt
    ):
        self.service_name = service_name
        self.key = key
        self.request_id = request_id
        self.deadline_at_ms = deadline_at_ms
        self.n_hops = n_hops
        self.is_first_attempt = is_first_attempt


class OrderReserved(Record):
    """The order is recorded, also at a backup if any; it may be dispatched here.

    ``attempt`` is the number of this VM's attempt, to be named in the RecordOutcome.
    """

    __slots__ = ("attempt",)

    def __init__(self, attempt):
        self.attempt = attempt


class OrderCompleted(Record):
    """The order has ended before; ``outcome`` is its Answer or Refusal."""

    __slots__ = ("outcome",)

    def __init__(self, outcome):
        self.outcome = outcome


class OrderRedirect(Record):
    """The idempotency key's primary is another entry VM."""

    __slots__ = ("peer_id",)

    def __init__(self, peer_id):
        self.peer_id = peer_id


class RecordOutcome(Record):
    """Store the outcome of an order's attempt, to answer resends with it; no reply."""

    __slots__ = ("service_name", "key", "outcome", "attempt")

    def __init__(self, service_name, key, outcome, attempt):
        self.service_name = service_name
        self.key = key
        self.outcome = outcome
        self.attempt = attempt
