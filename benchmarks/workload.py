"""Arrivals, service times and spells of slowness, from a seed."""

from math import log, sqrt
from random import Random

# Coefficient of variation of service times, and the mean, for every workload.
SERVICE_MEAN_MS = 20.0
SERVICE_VARIATION = 0.5
SPELL_FACTOR = 3.0
SPELL_MEAN_MS = 200.0
BETWEEN_SPELLS_MEAN_MS = 4000.0


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

    def spells(self, end_ms):
        """Yield (start in ms, length in ms) of one target's slow spells."""
        at_ms = 0.0
        while True:
            at_ms += self.rng.expovariate(1.0 / BETWEEN_SPELLS_MEAN_MS)
            if at_ms >= end_ms:
                return
            length_ms = self.rng.expovariate(1.0 / SPELL_MEAN_MS)
            yield at_ms, length_ms
            at_ms += length_ms


def capacity_per_s(n_slots):
    """Return the requests a second that slots can serve, spells included."""
    slow_share = SPELL_MEAN_MS / (SPELL_MEAN_MS + BETWEEN_SPELLS_MEAN_MS)
    speed = (1.0 - slow_share) + slow_share / SPELL_FACTOR
    return n_slots * 1000.0 / SERVICE_MEAN_MS * speed


def plan_spells(world, targets, workload, end_ms):
    """Plan the slow spells of every target."""
    for target in targets.values():
        for at_ms, length_ms in workload.spells(end_ms):
            world.at(at_ms, lambda t=target: setattr(t, "factor", SPELL_FACTOR))
            world.at(at_ms + length_ms, lambda t=target: setattr(t, "factor", 1.0))


def plan_requests(world, sender, service_name, workload, end_ms):
    """Plan the requests one after the other, to keep the agenda short."""
    arrivals = workload.arrivals(end_ms)

    def plan_next():
        following = next(arrivals, None)
        if following is None:
            return
        at_ms, service_ms = following

        def arrive():
            sender.request(service_name, service_ms)
            plan_next()

        world.at(at_ms, arrive)

    plan_next()
