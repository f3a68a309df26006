"""How long requests wait for a slot of a service: plain functions of its capacity."""

from .wait_order import order_waiting

# Time that must be left to run a request after its wait, as a multiple of the mean
# latency.
LATENCY_RESERVE_FACTOR = 1.3


class WaitingRequest:
    """One request that waits for a slot.

    Until ``fast_until_ms`` it does not take a target that can report its load and
    is not known to be fast. It is refused if it has no slot at ``until_ms``.
    """

    __slots__ = ("message", "since_ms", "fast_until_ms", "until_ms")

    def __init__(self, message, since_ms, fast_until_ms, until_ms):
        self.message = message
        self.since_ms = since_ms
        self.fast_until_ms = fast_until_ms
        self.until_ms = until_ms


def order(service, waiting, now_ms):
    """Return waiting requests of a service in the order in which they are served."""
    return order_waiting(
        waiting, service.shares, lambda message: reserve_ms(service, message), now_ms
    )


def usual_ms(service, message):
    """Return the usual latency of requests of the same kind as a message's."""
    return service.kind_latencies.mean_ms(message.objective_ms, service.mean_ms)


def reserve_ms(service, message):
    """Return the time that must be left to run a request after its wait."""
    return LATENCY_RESERVE_FACTOR * usual_ms(service, message)


def n_in_front(service, message, now_ms):
    """Return the number of waiting requests that go before a new one."""
    if not service.waiting:
        return 0
    arrived = WaitingRequest(message, now_ms, now_ms, now_ms)
    return order(service, [*service.waiting, arrived], now_ms).index(arrived)


def expected_wait_ms(service, n_before, now_ms):
    """Return the expected wait of a request that ``n_before`` others go before.

    It is infinite if no target is usable or all usable ones are ejected.
    """
    return (n_before + 1) * place_ms(service, now_ms)


def place_ms(service, now_ms):
    """Return the expected time in which the queue moves on by one request.

    Slots that other VMs use don't drain this queue. The time is infinite if no target
    is usable or all usable ones are ejected.
    """
    rooms = [
        service.n_room(target, now_ms)
        for target in service.usable_targets(now_ms)
        if now_ms >= target.ejected_until_ms
    ]
    if not rooms:
        return float("inf")
    return (service.mean_ms or 0.0) / max(1, sum(rooms))
