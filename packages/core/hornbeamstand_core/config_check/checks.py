"""Faults of a RoutingConfig: entries without an effect, contradictory limits."""

from .findings import ERROR, WARNING, Finding
from .places import organisation_place, route_place, routes_of, service_place


def check_config(config):
    """Return the Findings of a configuration, in the order of its entries."""
    return [
        *check_limits(config.limits),
        *check_hosts(config),
        *check_services(config),
        *check_organisations(config.organisations),
    ]


def check_limits(limits):
    """Return the Findings of the limits of callers' requests."""
    return [
        Finding(ERROR, "limits", f"{name} is 0: no request can be received")
        for name in ("header_max_bytes", "header_ms", "idle_ms")
        if getattr(limits, name) <= 0
    ]


def check_hosts(config):
    """Return the Findings of all routes."""
    out = [
        Finding(WARNING, f"host {host}", "the host has no routes")
        for host, by_prefix in config.hosts.items()
        if not by_prefix
    ]
    for host, prefix, route in routes_of(config):
        place = route_place(host, prefix)
        out += check_prefix(place, prefix)
        out += check_route_limits(place, route)
        out += check_weights(place, route, config.services)
    return out


def check_prefix(place, prefix):
    """Return the Findings of a path prefix.

    A prefix is compared with a path up to one of the path's slashes.
    """
    is_possible = prefix.startswith("/") and prefix.endswith("/") and "?" not in prefix
    if is_possible:
        return []
    text = "a prefix that does not begin and end with a slash can never match"
    if "?" in prefix:
        text = "a prefix with a question mark can never match: queries are left out"
    return [Finding(ERROR, place, text)]


def check_route_limits(place, route):
    """Return the Findings of a route's timeout, objective and attempts."""
    out = []
    if route.timeout_ms <= 0.0:
        out.append(Finding(ERROR, place, "a timeout of 0 leaves no time for a request"))
    elif route.objective_ms > route.timeout_ms:
        text = (
            f"the latency objective of {route.objective_ms:.0f} ms is above the timeout"
            f" of {route.timeout_ms:.0f} ms"
        )
        out.append(Finding(WARNING, place, text))
    if route.n_attempts_max < 1:
        out.append(Finding(ERROR, place, "a maximum of 0 allows no attempt"))
    return out


def check_weights(place, route, services):
    """Return the Findings of a route's services and their weights."""
    out = []
    if not any(weighted.weight > 0.0 for weighted in route.weighted_services):
        out.append(Finding(ERROR, place, "each of its services has a weight of 0"))
    for weighted in route.weighted_services:
        if weighted.service_name not in services:
            text = f"service {weighted.service_name} has no rules in this version"
            out.append(Finding(WARNING, place, text))
    return out


def check_services(config):
    """Return the Findings of the services' rules."""
    used_names = {
        weighted.service_name
        for _, _, route in routes_of(config)
        for weighted in route.weighted_services
    }
    out = []
    for name, rules in config.services.items():
        place = service_place(name)
        if name not in used_names:
            out.append(Finding(WARNING, place, "no route uses the service"))
        if rules.cold_ms > 0.0 and rules.cold_rate_per_s <= 0.0:
            text = f"a cold start of {rules.cold_ms:.0f} ms has a rate of 0"
            out.append(Finding(WARNING, place, text))
    return out


def check_organisations(organisations):
    """Return the Findings of the organisations' keys and quotas; no key is shown."""
    out = []
    # Maps the digest of a key to the first organisation that has it.
    name_by_digest = {}
    for name, organisation in organisations.items():
        place = organisation_place(name)
        if not organisation.key_digests:
            out.append(Finding(WARNING, place, "it has no keys: no caller can be its"))
        if organisation.rate_per_s > 0.0 and organisation.n_burst <= 0.0:
            text = f"a rate of {organisation.rate_per_s:g}/s has a burst of 0"
            out.append(Finding(WARNING, place, text))
        others = {
            name_by_digest.setdefault(digest, name)
            for digest in organisation.key_digests
        }
        for other in sorted(others - {name}):
            out.append(Finding(ERROR, place, f"it has a key of organisation {other}"))
    return out
