"""Messages by which owners lend each other room on targets of their failure domains.

Durations end in ``_ms``. These messages travel as datagrams and may be lost.
"""

from .records import Record


class LeavingRules(Record):
    """What it costs to send a request to another failure domain.

    ``way_ms`` is the round trip time to a VM there. ``kb_price`` is the price of 1,024
    bytes between failure domains, as a share of what an answer in time is worth.
    """

    __slots__ = ("way_ms", "kb_price")

    def __init__(self, way_ms=3.0, kb_price=0.01):
        self.way_ms = way_ms
        self.kb_price = kb_price


class RoomWanted(Record):
    """The owner of a service lacks room, and asks an owner in another failure domain.

    It wants ``n_wanted`` slots there, those included that its requests take already.
    ``ip`` is the address of the VM that asks, at ``asked_at_ms`` of its own clock.
    """

    __slots__ = ("ip", "service_name", "n_wanted", "asked_at_ms")

    def __init__(self, ip, service_name, n_wanted, asked_at_ms):
        self.ip = ip
        self.service_name = service_name
        self.n_wanted = n_wanted
        self.asked_at_ms = asked_at_ms


class RoomOffered(Record):
    """An owner lends slots of targets in its failure domain to the VM that asked.

    ``slots`` are pairs of a target id and a number of slots. They take the place of an
    earlier offer. ``asked_at_ms`` is that of the RoomWanted, from which the loan holds.
    """

    __slots__ = ("service_name", "failure_domain", "slots", "asked_at_ms")

    def __init__(self, service_name, failure_domain, slots, asked_at_ms):
        self.service_name = service_name
        self.failure_domain = failure_domain
        self.slots = slots
        self.asked_at_ms = asked_at_ms
