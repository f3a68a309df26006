"""The routes in force, and the selection of a service for each request."""

from ..edge_messages import RequestPolicy, StateChange
from ..messages import NOT_RUN, Refusal

# Retry-after time of the refusals of a VM without a configuration: its first
# configuration is expected to arrive within this time.
NO_CONFIG_RETRY_MS = 300.0


class Routing:
    """The newest configuration, and the round-robin credits of its weighted routes."""

    __slots__ = ("config", "_credits")

    def __init__(self):
        self.config = None
        self._credits = {}

    @property
    def version(self):
        """The version in force, or 0 without a configuration."""
        return self.config.version if self.config else 0

    def adopt(self, config):
        """Adopt a configuration newer than the one in force; return messages."""
        if config.version <= self.version:
            return []
        self.config = config
        self._credits.clear()
        return [StateChange("config", "in force", f"r{config.version}")]

    def find(self, host, path):
        """Return the RequestPolicy for a host and path, or a Refusal."""
        if self.config is None:
            return Refusal(
                "no configuration", NOT_RUN, 503, "route", host, NO_CONFIG_RETRY_MS
            )
        route = self.config.find(host, path)
        if route is None:
            return Refusal("no route", NOT_RUN, 404, "route", host)
        return RequestPolicy(
            self._pick_service(host, route),
            route.is_idempotent,
            route.timeout_ms,
            route.objective_ms,
            route.priority,
            route.n_attempts_max,
        )

    def _pick_service(self, host, route):
        """Return the service of the next request, by smooth weighted round robin."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service_name
        credits = self._credits.setdefault(
            (host, route.prefix), [0.0] * len(route.weighted_services)
        )
        total = 0.0
        for index, weighted in enumerate(route.weighted_services):
            credits[index] += weighted.weight
            total += weighted.weight
        best = max(range(len(credits)), key=credits.__getitem__)
        credits[best] -= total
        return route.weighted_services[best].service_name
