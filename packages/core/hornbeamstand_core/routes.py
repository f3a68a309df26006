"""Routes by host and path prefix, as plain data with one lookup."""

from .records import Record


class WeightedService(Record):
    """One service of a route; ``weight`` is its share of the route's requests."""

    __slots__ = ("service_name", "weight")

    def __init__(self, service_name, weight=1.0):
        self.service_name = service_name
        self.weight = weight


class HostRoute(Record):
    """The services and the rules for the requests of one path prefix.

    ``timeout_ms`` limits the whole time spent on a request; ``objective_ms`` is the
    latency objective. ``priority`` 0 is the most urgent, unlike the priority of a
    ``ServiceSpec``. ``n_attempts_max`` limits the sends of one request; those that
    certainly did not run don't count. Requests on a route that ``is_public`` need no
    key, also if the configuration has organisations.
    """

    __slots__ = (
        "name",
        "prefix",
        "weighted_services",
        "is_idempotent",
        "timeout_ms",
        "objective_ms",
        "priority",
        "n_attempts_max",
        "is_public",
    )

    def __init__(
        self,
        name,
        prefix,
        weighted_services,
        is_idempotent=False,
        timeout_ms=30_000.0,
        objective_ms=1000.0,
        priority=0,
        n_attempts_max=1,
        is_public=False,
    ):
        self.name = name
        self.prefix = prefix
        self.weighted_services = weighted_services
        self.is_idempotent = is_idempotent
        self.timeout_ms = timeout_ms
        self.objective_ms = objective_ms
        self.priority = priority
        self.n_attempts_max = n_attempts_max
        self.is_public = is_public


class Organisation(Record):
    """One organisation whose callers identify themselves by keys.

    ``key_digests`` is the set of the digests of its keys; the keys themselves are not
    kept. ``priority`` takes the place of the route's, unless it is None. Over all VMs,
    its callers may send ``rate_per_s`` requests a second and ``n_burst`` more at once;
    a rate of 0 stands for no limit.
    """

    __slots__ = ("name", "key_digests", "priority", "rate_per_s", "n_burst")

    def __init__(
        self,
        name,
        key_digests=frozenset(),
        priority=None,
        rate_per_s=0.0,
        n_burst=0.0,
    ):
        self.name = name
        self.key_digests = key_digests
        self.priority = priority
        self.rate_per_s = rate_per_s
        self.n_burst = n_burst


class ServiceRules(Record):
    """Settings that all targets of a service share.

    ``cold_ms`` is how long a target's cold start lasts, and ``cold_rate_per_s`` the
    maximum number of requests a second to a target in cold start.
    ``n_connections_max`` is the configured maximum of connections.
    """

    __slots__ = (
        "name",
        "health_path",
        "n_connections_max",
        "cold_ms",
        "cold_rate_per_s",
    )

    def __init__(
        self,
        name,
        health_path="/health",
        n_connections_max=100,
        cold_ms=0.0,
        cold_rate_per_s=0.0,
    ):
        self.name = name
        self.health_path = health_path
        self.n_connections_max = n_connections_max
        self.cold_ms = cold_ms
        self.cold_rate_per_s = cold_rate_per_s


class CallerLimits(Record):
    """Limits of the size and duration of callers' requests and of idle connections.

    ``header_ms`` is the maximum time in which a request's header arrives, ``idle_ms``
    the maximum time that a connection stays open without a request.
    """

    __slots__ = ("header_max_bytes", "body_max_bytes", "header_ms", "idle_ms")

    def __init__(
        self,
        header_max_bytes=16_384,
        body_max_bytes=64 << 20,
        header_ms=3000.0,
        idle_ms=15_000.0,
    ):
        self.header_max_bytes = header_max_bytes
        self.body_max_bytes = body_max_bytes
        self.header_ms = header_ms
        self.idle_ms = idle_ms


class RoutingConfig(Record):
    """One version of the operators' routes and services.

    ``hosts`` maps a host name to a dict of path prefix to HostRoute; each prefix
    begins and ends with a slash. ``services`` maps a service name to its ServiceRules,
    and ``limits`` is a CallerLimits. ``organisations`` maps a name to an Organisation;
    without any, requests need no key. ``prefix_max`` is the length of the longest
    prefix.
    """

    __slots__ = (
        "version",
        "hosts",
        "services",
        "limits",
        "organisations",
        "prefix_max",
        "_organisation_by_digest",
        "_longest_timeouts_ms",
    )

    def __init__(self, version, hosts, services, limits, organisations=None):
        self.version = version
        self.hosts = hosts
        self.services = services
        self.limits = limits
        self.organisations = organisations or {}
        self._organisation_by_digest = {
            digest: organisation
            for organisation in self.organisations.values()
            for digest in organisation.key_digests
        }
        self._longest_timeouts_ms = {}
        prefixes = (prefix for by_prefix in hosts.values() for prefix in by_prefix)
        self.prefix_max = max(map(len, prefixes), default=0)

    def find(self, host, path):
        """Return the route with the longest prefix of the path, or None."""
        by_prefix = self.hosts.get(host)
        if by_prefix is None:
            return None
        # What is beyond the longest prefix can't matter, and may be very long.
        plain = path[: self.prefix_max].partition("?")[0]
        end = plain.rfind("/")
        while end >= 0:
            route = by_prefix.get(plain[: end + 1])
            if route is not None:
                return route
            end = plain.rfind("/", 0, end)
        return None

    def find_organisation(self, key_digest):
        """Return the Organisation that holds a key, or None."""
        return self._organisation_by_digest.get(key_digest)

    def longest_timeout_ms(self, service_name):
        """Return the longest timeout of the routes that may use a service, or 0."""
        known_ms = self._longest_timeouts_ms.get(service_name)
        if known_ms is not None:
            return known_ms
        longest_ms = max(
            (
                route.timeout_ms
                for by_prefix in self.hosts.values()
                for route in by_prefix.values()
                for weighted in route.weighted_services
                if weighted.service_name == service_name
            ),
            default=0.0,
        )
        self._longest_timeouts_ms[service_name] = longest_ms
        return longest_ms

    def main_service(self, host):
        """Return the name of the service with the largest share of a host's routes.

        The result is None if the host has no routes.
        """
        by_prefix = self.hosts.get(host)
        if not by_prefix:
            return None
        weights = {}
        for route in by_prefix.values():
            total = sum(weighted.weight for weighted in route.weighted_services) or 1.0
            for weighted in route.weighted_services:
                share = weighted.weight / total
                weights[weighted.service_name] = (
                    weights.get(weighted.service_name, 0) + share
                )
        return max(weights, key=lambda name: (weights[name], name))
