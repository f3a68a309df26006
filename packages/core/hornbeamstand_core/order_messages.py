"""Messages of the order book: between its task, its peers and the filters."""

from .records import Record

OPEN = "open"
DONE = "done"
DROPPED = "dropped"


class StoredOrder(Record):
    """One order as VMs copy it to each other.

    ``state`` is OPEN (recorded, maybe running), DONE (``outcome`` is known) or
    DROPPED (it did not run; a resend may). ``age_ms`` is the time since it was
    first recorded; ``runner_id`` is the VM that dispatches it.
    """

    __slots__ = ("service_name", "key", "state", "outcome", "age_ms", "runner_id")

    def __init__(self, service_name, key, state, outcome, age_ms, runner_id):
        self.service_name = service_name
        self.key = key
        self.state = state
        self.outcome = outcome
        self.age_ms = age_ms
        self.runner_id = runner_id


class SendOrders(Record):
    """Copy orders to a peer, until it acknowledges or the deadline passes.

    ``transfer_version`` is a view version if, with these, the peer has all of
    the sender's orders that it should hold under that view; else 0.
    ``is_history_lost`` says that some orders of the window are known to be lost.
    """

    __slots__ = ("peer_id", "orders", "transfer_version", "is_history_lost")

    def __init__(self, peer_id, orders, transfer_version=0, is_history_lost=False):
        self.peer_id = peer_id
        self.orders = orders
        self.transfer_version = transfer_version
        self.is_history_lost = is_history_lost


class OrdersSent(Record):
    """The end of a SendOrders: acknowledged or not."""

    __slots__ = ("sent", "is_stored")

    def __init__(self, sent, is_stored):
        self.sent = sent
        self.is_stored = is_stored


class OrdersReceived(Record):
    """A peer's orders; answered once they are kept."""

    __slots__ = ("sender_id", "orders", "transfer_version", "is_history_lost")

    def __init__(self, sender_id, orders, transfer_version, is_history_lost):
        self.sender_id = sender_id
        self.orders = orders
        self.transfer_version = transfer_version
        self.is_history_lost = is_history_lost


class EpochAdopted(Record):
    """The VM adopted a view or a configuration."""

    __slots__ = ("view", "configuration")

    def __init__(self, view, configuration):
        self.view = view
        self.configuration = configuration
