"""The operators' configuration, as plain data.

Every class but ``Bounds`` is one object in the JSON files of the operators' folder. Its
schema, that is type, bounds and default of each field, is taken from the annotations of
``__init__``. ``Bounds`` gives the least and greatest allowed value, or the pattern of a
text, and a description for the reference page.
"""

from typing import Annotated

from .records import Record


class Bounds(Record):
    """Limits of one field and its description."""

    __slots__ = ("minimum", "maximum", "description", "pattern")

    def __init__(self, minimum=None, maximum=None, description="", pattern=None):
        self.minimum = minimum
        self.maximum = maximum
        self.description = description
        self.pattern = pattern


ADDRESS_PATTERN = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"
STATE_PATTERN = "^(in|out)$"


class TargetSpec(Record):
    """One server of a service."""

    __slots__ = ("address", "failure_domain", "slots", "state")

    def __init__(
        self,
        address: Annotated[
            str, Bounds(pattern=ADDRESS_PATTERN, description="IP address and TCP port")
        ],
        failure_domain: Annotated[
            str, Bounds(description="name of its failure domain")
        ],
        slots: Annotated[
            int | None,
            Bounds(1, 1024, "requests it can run at once; null means learned"),
        ] = None,
        state: Annotated[
            str, Bounds(pattern=STATE_PATTERN, description="`out` stops new work")
        ] = "in",
    ):
        self.address = address
        self.failure_domain = failure_domain
        self.slots = slots
        self.state = state


class RouteSpec(Record):
    """Marks requests of one method and path prefix as idempotent or not."""

    __slots__ = ("method", "path_prefix", "idempotent")

    def __init__(
        self,
        method: Annotated[str, Bounds(description="HTTP method, upper case")],
        path_prefix: Annotated[str, Bounds(description="first part of the path")],
        idempotent: Annotated[bool, Bounds(description="whether it may run twice")],
    ):
        self.method = method
        self.path_prefix = path_prefix
        self.idempotent = idempotent


class RetrySpec(Record):
    """Rules for sending a request again."""

    __slots__ = ("n_attempts_max", "budget_ratio")

    def __init__(
        self,
        n_attempts_max: Annotated[
            int, Bounds(1, 10, "dispatches of one request, the first included")
        ] = 3,
        budget_ratio: Annotated[
            float, Bounds(0.0, 1.0, "retries allowed per first dispatch")
        ] = 0.1,
    ):
        self.n_attempts_max = n_attempts_max
        self.budget_ratio = budget_ratio


class ColdStartSpec(Record):
    """How a target in cold start is loaded."""

    __slots__ = ("limit", "n_completions_per_step")

    def __init__(
        self,
        limit: Annotated[int, Bounds(1, 1024, "requests in flight at first")] = 1,
        n_completions_per_step: Annotated[
            int, Bounds(1, 10000, "good completions before the limit grows by one")
        ] = 5,
    ):
        self.limit = limit
        self.n_completions_per_step = n_completions_per_step


class ProbeSpec(Record):
    """The service's budget for measuring its targets."""

    __slots__ = ("budget_per_s", "path")

    def __init__(
        self,
        budget_per_s: Annotated[
            float, Bounds(0.0, 10000.0, "probes a second over all VMs")
        ] = 5.0,
        path: Annotated[
            str, Bounds(description="path of the health endpoint")
        ] = "/health",
    ):
        self.budget_per_s = budget_per_s
        self.path = path


class ServiceSpec(Record):
    """One service: its targets and the rules for its requests."""

    __slots__ = (
        "targets",
        "routes",
        "retry",
        "cold_start",
        "probe",
        "deadline_ms",
        "deadline_max_ms",
        "queue_max",
        "priority",
        "serving_set_size",
        "lookup_ttl_ms",
    )

    def __init__(
        self,
        targets: Annotated[dict[str, TargetSpec], Bounds(description="by target id")],
        routes: Annotated[
            list[RouteSpec],
            Bounds(description="first match decides; else GET, HEAD, OPTIONS repeat"),
        ] = (),
        retry: Annotated[RetrySpec, Bounds(description="retry rules")] = None,
        cold_start: Annotated[
            ColdStartSpec, Bounds(description="cold start rules")
        ] = None,
        probe: Annotated[ProbeSpec, Bounds(description="probe budget")] = None,
        deadline_ms: Annotated[
            int, Bounds(1, 600000, "deadline of a request that names none")
        ] = 1000,
        deadline_max_ms: Annotated[
            int, Bounds(1, 600000, "longest deadline a request may ask for")
        ] = 2000,
        queue_max: Annotated[
            int, Bounds(0, 100000, "requests that may wait at one VM")
        ] = 64,
        priority: Annotated[
            int, Bounds(0, 9, "9 is kept longest when a VM is overloaded")
        ] = 5,
        serving_set_size: Annotated[
            int, Bounds(1, 64, "entry VMs that own the targets")
        ] = 2,
        lookup_ttl_ms: Annotated[
            int, Bounds(100, 600000, "how long a caller may keep a lookup answer")
        ] = 2000,
    ):
        self.targets = targets
        self.routes = routes
        self.retry = retry or RetrySpec()
        self.cold_start = cold_start or ColdStartSpec()
        self.probe = probe or ProbeSpec()
        self.deadline_ms = deadline_ms
        self.deadline_max_ms = deadline_max_ms
        self.queue_max = queue_max
        self.priority = priority
        self.serving_set_size = serving_set_size
        self.lookup_ttl_ms = lookup_ttl_ms


class FailureDomainSpec(Record):
    """One failure domain, in or out of service."""

    __slots__ = ("state",)

    def __init__(
        self,
        state: Annotated[
            str, Bounds(pattern=STATE_PATTERN, description="`out` stops new work")
        ] = "in",
    ):
        self.state = state


class Configuration(Record):
    """The merged content of the operators' folder.

    ``version`` is set when the configuration is published, and can't be set in a file.
    """

    __slots__ = ("services", "failure_domains", "version")

    def __init__(
        self,
        services: Annotated[
            dict[str, ServiceSpec], Bounds(description="by service name")
        ],
        failure_domains: Annotated[
            dict[str, FailureDomainSpec], Bounds(description="by name")
        ],
    ):
        self.services = services
        self.failure_domains = failure_domains
        self.version = 0

    @classmethod
    def empty(cls):
        """Return the configuration that applies until one is published: version 0."""
        return cls({}, {})

    def is_open(self, target):
        """Return whether a target and its failure domain accept new requests."""
        domain = self.failure_domains[target.failure_domain]
        return target.state == "in" and domain.state == "in"

    def find_inconsistency(self):
        """Return (field path, problem) of the first inconsistency, or None."""
        for service_name, service in self.services.items():
            path = f"services.{service_name}"
            if service.deadline_ms > service.deadline_max_ms:
                problem = (
                    f"found {service.deadline_ms}, expected at most deadline_max_ms,"
                    f" which is {service.deadline_max_ms}"
                )
                return f"{path}.deadline_ms", problem
            for target_id, target in service.targets.items():
                target_path = f"{path}.targets.{target_id}"
                if target.failure_domain not in self.failure_domains:
                    problem = (
                        f"names unknown failure domain {target.failure_domain!r},"
                        f" expected one of {sorted(self.failure_domains)}"
                    )
                    return f"{target_path}.failure_domain", problem
                if int(target.address.rpartition(":")[2]) > 65535:
                    problem = f"found {target.address}, expected a port up to 65535"
                    return f"{target_path}.address", problem
        return None
