"""The routes in force, and the draw of a service for each request."""

from ..edge_messages import Belief, Terms
from ..messages import NOT_RUN, Refusal

# A VM without a configuration expects one within this time.
NO_CONFIG_RETRY_MS = 300.0


class Routing:
    """The newest configuration and the turns of its weighted routes."""

    __slots__ = ("config", "_turns")

    def __init__(self):
        self.config = None
        self._turns = {}

    @property
    def version(self):
        """Return the version in force, or 0."""
        return self.config.version if self.config else 0

    def adopt(self, config):
        """Take a configuration unless it is older; returns messages."""
        if config.version <= self.version:
            return []
        self.config = config
        self._turns.clear()
        return [Belief("config", "in force", f"r{config.version}")]

    def find(self, host, path):
        """Return the Terms of a request, or a Refusal."""
        if self.config is None:
            return Refusal(
                "no configuration", NOT_RUN, 503, "route", host, NO_CONFIG_RETRY_MS
            )
        route = self.config.find(host, path)
        if route is None:
            return Refusal("no route", NOT_RUN, 404, "route", host)
        return Terms(
            self._draw(host, route),
            route.is_idempotent,
            route.timeout_ms,
            route.objective_ms,
            route.priority,
            route.n_attempts_max,
        )

    def _draw(self, host, route):
        """Return the service whose turn it is, by smooth weighted round robin."""
        if len(route.parts) == 1:
            return route.parts[0].service_name
        turns = self._turns.setdefault((host, route.prefix), [0.0] * len(route.parts))
        total = 0.0
        for index, part in enumerate(route.parts):
            turns[index] += part.weight
            total += part.weight
        best = max(range(len(turns)), key=turns.__getitem__)
        turns[best] -= total
        return route.parts[best].service_name
