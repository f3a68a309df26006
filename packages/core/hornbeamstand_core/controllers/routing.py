"""The routes in force, and the selection of a service for each request."""

from ..edge_messages import RequestPolicy, StateChange
from ..messages import NOT_RUN, Refusal
from .organisations.keys import authenticate, check_relayed, is_outdated, priority_of

# Exclusive maximum of the number of picks by which a weighted route is ahead when this
# VM first uses it.
N_PICKS_AHEAD_MAX = 256
# Retry-after time of the refusals of a VM without a configuration, or without the
# newest one: it is expected to arrive within this time.
NO_CONFIG_RETRY_MS = 300.0


class Routing:
    """The newest configuration, and the picks of its weighted routes.

    Parameters
    ----------
    rng : Random
        Draws where each weighted route begins. Each of many VMs may get only a few
        requests of a route, so they must not all begin with the same service.
    """

    __slots__ = ("config", "_rng", "_picks")

    def __init__(self, rng):
        self.config = None
        self._rng = rng
        # Maps a host and a prefix to the WeightedPicks of the route.
        self._picks = {}

    @property
    def version(self):
        """The version in force, or 0 without a configuration."""
        return self.config.version if self.config else 0

    def adopt(self, config):
        """Adopt a configuration newer than the one in force; return messages."""
        if config.version <= self.version:
            return []
        self.config = config
        self._picks = {
            key: picks
            for key, picks in self._picks.items()
            if key[1] in config.hosts.get(key[0], ())
        }
        return [StateChange("config", "in force", f"r{config.version}")]

    def find(self, message, is_behind):
        """Return the RequestPolicy for a FindRoute message, or a Refusal.

        ``is_behind`` returns whether there may be a newer configuration. That one may
        have a route or a key that this one lacks, and no caller comes back after a 404
        or 401.
        """
        host, config = message.host, self.config
        if config is None:
            return await_config("no configuration", host)
        route = config.find(host, message.path)
        if route is None:
            final = Refusal("no route", NOT_RUN, 404, "route", host)
            return final_refusal(final, host, is_behind)
        organisation = authenticate(config, route, message.key)
        if isinstance(organisation, Refusal):
            return final_refusal(organisation, host, is_behind)
        return RequestPolicy(
            self._pick_service(host, route),
            route.is_idempotent,
            route.timeout_ms,
            route.objective_ms,
            priority_of(route, organisation),
            route.n_attempts_max,
            organisation.name if organisation else "",
            config.version,
            message.key.digest if config.organisations else "",
            bool(config.organisations),
        )

    def is_outdated(self, policy):
        """Return whether a relayed request's key must be checked again here."""
        return self.config is not None and is_outdated(self.config, policy)

    def check_relayed(self, message):
        """Return the policy that applies to a relayed request, or a Refusal.

        ``message`` is a CheckKey.
        """
        if self.config is None:
            return message.policy
        return check_relayed(self.config, message)

    def _pick_service(self, host, route):
        """Return the service of the next request of a route, by weight."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service_name
        picks = self._picks.get((host, route.prefix))
        if picks is None or not picks.is_for(route.weighted_services):
            picks = WeightedPicks(route.weighted_services)
            for _ in range(self._rng.randrange(N_PICKS_AHEAD_MAX)):
                picks.next_name()
            self._picks[(host, route.prefix)] = picks
        return picks.next_name()


def final_refusal(refusal, host, is_behind):
    """Return a refusal that is final for the caller, if no version may be newer.

    Otherwise the result is a refusal after which the caller may come back.
    """
    if is_behind():
        return await_config("no newest configuration", host)
    return refusal


def await_config(reason, host):
    """Return the Refusal of a request for which a configuration is awaited."""
    return Refusal(reason, NOT_RUN, 503, "route", host, NO_CONFIG_RETRY_MS)


class WeightedPicks:
    """Picks one of several services for each request, by smooth weighted round robin.

    The credit of a service is the share of requests that it is behind.
    """

    __slots__ = ("weighted_services", "_credits")

    def __init__(self, weighted_services):
        self.weighted_services = weighted_services
        self._credits = [0.0] * len(weighted_services)

    def is_for(self, weighted_services):
        """Return whether services and weights are those of these picks."""
        return weighted_services == self.weighted_services

    def next_name(self):
        """Return the name of the next request's service."""
        credits = self._credits
        total = 0.0
        for index, weighted in enumerate(self.weighted_services):
            credits[index] += weighted.weight
            total += weighted.weight
        best = max(range(len(credits)), key=credits.__getitem__)
        credits[best] -= total
        return self.weighted_services[best].service_name
