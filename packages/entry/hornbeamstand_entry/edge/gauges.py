"""The gauges of one edge process: functions that read them, by name."""

from hornbeamstand_core.controllers.load.queue_figures import (
    least_organisation_share,
    n_waiting,
)


def load_gauges(node, clock):
    """Return the gauges of the queues, and of how late this VM is."""
    admission, services = node.admission, node.services
    return {
        "requests_refused_late": lambda: admission.n_refused,
        "turn_ms": lambda: admission.turn_ms(clock.now_ms()),
        "requests_waiting": lambda: n_waiting(services.values()),
        "organisation_share_min": lambda: least_organisation_share(
            services.values(), clock.now_ms()
        ),
    }


def quota_gauges(quotas, clock):
    """Return the gauges of the quotas of organisations."""
    return {
        "quota_requests_counted": lambda: quotas.n_spent,
        "quota_requests_refused": lambda: quotas.n_refused,
        "quota_tokens": lambda: quotas.n_tokens(clock.now_ms()),
        "quota_tokens_lent": lambda: quotas.n_lent(clock.now_ms()),
        "quota_holder": lambda: int(quotas.holding.is_holder),
    }


def store_gauges(store, routing):
    """Return the gauges of the store's calls and era, and of the configuration."""
    return {
        "store_calls": lambda: store.n_calls,
        "store_era": lambda: store.eras.era or 0,
        "config_version": lambda: routing.version,
    }


def connection_gauges(caller_servers, limited_servers):
    """Return the gauges of requests read ahead and of connections held back."""
    return {
        "requests_ahead": lambda: sum(server.n_ahead for server in caller_servers),
        "connections_held_back": lambda: sum(
            server.n_held_back for server in limited_servers
        ),
    }
