"""The names of a configuration's entries in findings and differences."""


def routes_of(config):
    """Yield the host, prefix and HostRoute of each route."""
    for host, by_prefix in config.hosts.items():
        for prefix, route in by_prefix.items():
            yield host, prefix, route


def route_place(host, prefix):
    """Return the name of a route's entry."""
    return f"route {host}{prefix}"


def service_place(name):
    """Return the name of a service's entry."""
    return f"service {name}"


def organisation_place(name):
    """Return the name of an organisation's entry."""
    return f"organisation {name}"
