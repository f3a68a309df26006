"""Arrivals, service times and spells of slowness, from a seed."""

from math import log, sqrt
from random import Random

# Coefficient of variation of service times, and the mean, for every workload.
SERVICE_MEAN_MS = 20.0
SERVICE_VARIATION = 0.5
SLOW_FACTOR = 3.0
SLOW_PERIOD_MEAN_MS = 200.0
BETWEEN_SLOW_PERIODS_MEAN_MS = 4000.0


class Workload:
    """Random arrivals for one service.

    Parameters
    ----------
    seed : int
        Equal seeds give equal arrivals, service times and spells.
    rate_per_s : float
        Requests a second.
    """

    def __init__(self, seed, rate_per_s):
        self.rng = Random(seed)
        self.rate_per_s = rate_per_s
        self._sigma = sqrt(log(1.0 + SERVICE_VARIATION**2))
        self._mu = log(SERVICE_MEAN_MS) - self._sigma**2 / 2

    def arrivals(self, end_ms):
        """Yield (time in ms, service time in ms)."""
        at_ms = 0.0
        while True:
            at_ms += self.rng.expovariate(self.rate_per_s) * 1000.0
            if at_ms >= end_ms:
                return
            yield at_ms, self.rng.lognormvariate(self._mu, self._sigma)

    def slow_periods(self, end_ms):
        """Yield (start in ms, length in ms) of one target's slow spells."""
        at_ms = 0.0
        while True:
            at_ms += self.rng.expovariate(1.0 / BETWEEN_SLOW_PERIODS_MEAN_MS)
            if at_ms >= end_ms:
                return
            length_ms = self.rng.expovariate(1.0 / SLOW_PERIOD_MEAN_MS)
            yield at_ms, length_ms
            at_ms += length_ms


def capacity_per_s(n_slots):
    """Return the requests a second that slots can serve, spells included."""
    slow_share = SLOW_PERIOD_MEAN_MS / (
        SLOW_PERIOD_MEAN_MS + BETWEEN_SLOW_PERIODS_MEAN_MS
    )
    mean_rate_factor = (1.0 - slow_share) + slow_share / SLOW_FACTOR
    return n_slots * 1000.0 / SERVICE_MEAN_MS * mean_rate_factor


def schedule_slow_periods(world, targets, workload, end_ms):
    """Plan the slow spells of every target."""
    for target in targets.values():
        for at_ms, length_ms in workload.slow_periods(end_ms):
            world.call_at(at_ms, lambda t=target: setattr(t, "factor", SLOW_FACTOR))
            world.call_at(at_ms + length_ms, lambda t=target: setattr(t, "factor", 1.0))


def schedule_requests(world, sender, service_name, workload, end_ms):
    """Plan the requests one after the other, to keep the agenda short."""
    arrivals = workload.arrivals(end_ms)

    def schedule_next():
        arrival = next(arrivals, None)
        if arrival is None:
            return
        at_ms, service_ms = arrival

        def arrive():
            sender.request(service_name, service_ms)
            schedule_next()

        world.call_at(at_ms, arrive)

    schedule_next()
