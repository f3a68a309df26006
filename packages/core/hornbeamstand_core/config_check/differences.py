"""How two versions of a RoutingConfig differ, entry by entry."""

from .findings import ADDED, CHANGED, REMOVED, Difference
from .places import organisation_place, route_place, routes_of, service_place


def compare_configs(old, new):
    """Return the Differences of a version from an older one."""
    out = []
    if old.version != new.version:
        text = f"{old.version} -> {new.version}"
        out.append(Difference(CHANGED, "version", text))
    return out + compare_entries(entries_of(old), entries_of(new))


def entries_of(config):
    """Return a dict that maps each entry's place to its record."""
    entries = {"limits": config.limits}
    for host, prefix, route in routes_of(config):
        entries[route_place(host, prefix)] = route
    for name, rules in config.services.items():
        entries[service_place(name)] = rules
    for name, organisation in config.organisations.items():
        entries[organisation_place(name)] = organisation
    return entries


def compare_entries(old, new):
    """Return the Differences of two dicts that ``entries_of`` returned."""
    out = []
    for place in [*old, *(place for place in new if place not in old)]:
        if place not in new:
            out.append(Difference(REMOVED, place))
        elif place not in old:
            out.append(Difference(ADDED, place))
        elif old[place] != new[place]:
            text = describe_change(old[place], new[place])
            out.append(Difference(CHANGED, place, text))
    return out


def describe_change(old, new):
    """Return which fields of two records differ, and how."""
    names = [n for n in old.__slots__ if getattr(old, n) != getattr(new, n)]
    return "; ".join(
        f"{name}: {describe_field(name, getattr(old, name), getattr(new, name))}"
        for name in names
    )


def describe_field(name, old, new):
    """Return how the values of a field differ; keys are counted and not shown."""
    if name == "key_digests":
        return f"{len(new - old)} added, {len(old - new)} removed"
    if name == "weighted_services":
        return f"{describe_weights(old)} -> {describe_weights(new)}"
    return f"{old} -> {new}"


def describe_weights(weighted_services):
    """Return the services of a route and their weights."""
    return ", ".join(
        f"{item.service_name} {item.weight:g}" for item in weighted_services
    )
