"""Figures of the queues of all services of a VM, for its operators."""


def n_waiting(services):
    """Return the number of requests that wait for a slot."""
    return sum(len(service.waiting) for service in services)


def least_organisation_share(services, now_ms):
    """Return the least share of its recent requests that an organisation was served.

    It is 1 if none asked for anything of late.
    """
    return min(
        (service.shares.organisations.least_share(now_ms) for service in services),
        default=1.0,
    )
