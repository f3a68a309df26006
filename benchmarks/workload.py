"""Generates arrivals, service times and slow periods of targets from a seed."""

from math import log, sqrt
from random import Random

# Mean and coefficient of variation of the service times of every workload.
SERVICE_MEAN_MS = 20.0
SERVICE_VARIATION = 0.5
# Factor on the service times of a target in a slow period.
SLOW_FACTOR = 3.0
SLOW_PERIOD_MEAN_MS = 200.0
BETWEEN_SLOW_PERIODS_MEAN_MS = 4000.0


class Workload:
    """Random arrivals and service times for one service.

    Parameters
    ----------
    seed : int
        Equal seeds give equal arrivals, service times and slow periods.
    rate_per_s : float
        Mean number of requests per second.
    """

    def __init__(self, seed, rate_per_s):
        self.rng = Random(seed)
        self.rate_per_s = rate_per_s
        self._sigma = sqrt(log(1.0 + SERVICE_VARIATION**2))
        self._mu = log(SERVICE_MEAN_MS) - self._sigma**2 / 2

    def arrivals(self, end_ms):
        """Yield the time and the service time in ms of each arrival."""
        at_ms = 0.0
        while True:
            at_ms += self.rng.expovariate(self.rate_per_s) * 1000.0
            if at_ms >= end_ms:
                return
            yield at_ms, self.rng.lognormvariate(self._mu, self._sigma)

    def slow_periods(self, end_ms):
        """Yield the start and the length in ms of each slow period of one target."""
        at_ms = 0.0
        while True:
            at_ms += self.rng.expovariate(1.0 / BETWEEN_SLOW_PERIODS_MEAN_MS)
            if at_ms >= end_ms:
                return
            length_ms = self.rng.expovariate(1.0 / SLOW_PERIOD_MEAN_MS)
            yield at_ms, length_ms
            at_ms += length_ms


def capacity_per_s(n_slots):
    """Return the requests per second that slots can serve, with slow periods."""
    slow_share = SLOW_PERIOD_MEAN_MS / (
        SLOW_PERIOD_MEAN_MS + BETWEEN_SLOW_PERIODS_MEAN_MS
    )
    mean_rate_factor = (1.0 - slow_share) + slow_share / SLOW_FACTOR
    return n_slots * 1000.0 / SERVICE_MEAN_MS * mean_rate_factor


def schedule_slow_periods(world, targets, workload, end_ms):
    """Schedule the slow periods of every target."""
    for target in targets.values():
        for at_ms, length_ms in workload.slow_periods(end_ms):
            world.call_at(at_ms, lambda t=target: setattr(t, "factor", SLOW_FACTOR))
            world.call_at(at_ms + length_ms, lambda t=target: setattr(t, "factor", 1.0))


def schedule_requests(world, sender, service_name, workload, end_ms):
    """Schedule each request when the one before it arrives, to keep the queue short."""
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
