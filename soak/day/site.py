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


def changing_key(version):
    """Return the only key of CHANGING_ORGANISATION in a version."""
    return f"key-visita-{version}"


def key_headers(organisation, key=None):
    """Return the headers of a request of an organisation, by default with its key."""
    return {
        "Authorization": f"Token {key or KEYS[organisation]}",
        EXPECTED_HEADER: organisation,
    }


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
# Organisations of the callers and of the probes, and the key of each.
KEYS = {"taller": "key-taller", "archivo": "key-archivo", "sondas": "key-sondas"}
CALLER_ORGANISATIONS = ("taller", "archivo")
PROBE_ORGANISATION = "sondas"
# Organisation that gets another key with each version.
CHANGING_ORGANISATION = "visita"
# Header in which a request says, to targets, which organisation they should be told.
EXPECTED_HEADER = "Soak-Organisation"
# Prefix of the route that configurations move between services.
MOVED_PREFIX = "/movida/"
# Prefixes of the routes that all configurations have.
LASTING_PREFIXES = frozenset([MOVED_PREFIX, *(kind.prefix for kind in KINDS)])
