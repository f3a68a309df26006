"""The site of a day: its services, its kinds of requests and its bounds."""

from hornbeamstand_core.records import Record

N_VMS = 17
N_SLOTS = 6
# Service -> (number of its targets, mean work time in ms).
SERVICES = {
    "tubo-lookup": (14, 220.0),
    "orden-taller": (7, 290.0),
    "archivo-fichas": (12, 550.0),
}
# Services that run orders.
ORDER_SERVICES = frozenset(["orden-taller"])
GRACE_S = 6.0
# Maximum time until a configuration or changed settings are in force.
CONFIG_APPLY_S = 2.0
# Time for which the disruption of a machine excuses it afterwards.
CONTACT_S = 3.0
# Maximum time until the end of the connection of a request that was not passed on.
LOSS_SLACK_S = 0.2
# Time from the acknowledgement that a target leaves, or that its failure domain is out
# of service, to the last request that may reach it.
BOUNDS_S = {"left": 2.0, "domain-out": 5.0}
# Maximum time from the start of a process until it is ready.
READY_S = 8.0


class RequestKind(Record):
    """A kind of requests: its path, rate and deadline."""

    __slots__ = ("prefix", "service", "is_order", "rate_per_s", "deadline_s", "goal_s")

    def __init__(self, prefix, service, is_order, rate_per_s, deadline_s, goal_s):
        self.prefix = prefix
        self.service = service
        self.is_order = is_order
        self.rate_per_s = rate_per_s
        self.deadline_s = deadline_s
        self.goal_s = goal_s

    def may_run_at(self, service):
        """Return whether a configuration may send such requests to a service.

        Routes move between the services of requests that are no orders.
        """
        is_at_orders = service in ORDER_SERVICES
        return service is None or self.is_order == is_at_orders


KINDS = (
    RequestKind("/ficha/", "tubo-lookup", False, 66.0, 1.5, 0.6),
    RequestKind("/orden/", "orden-taller", True, 25.7, 2.0, 0.8),
    RequestKind("/archivo/", "archivo-fichas", False, 22.0, 4.0, 1.5),
)
# Prefix of the route that configurations move between services.
MOVED_PREFIX = "/movida/"
# Prefixes of the routes that all configurations have.
LASTING_PREFIXES = frozenset([MOVED_PREFIX, *(kind.prefix for kind in KINDS)])
