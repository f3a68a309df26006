"""Policies for the choice among targets with a free slot, as closures.

Each ``make_*`` function returns ``choose(states, now_ms, baseline_ms)``, which returns
one of ``states``. The list is never empty. ``baseline_ms`` is the service's mean
latency, or None before the first completion.
"""

from math import exp


def make_round_robin():
    """Return a policy that takes the targets in turn, without regard to their load.

    It is the naive policy that the others are compared with.
    """
    turn = 0

    def choose(states, now_ms, baseline_ms):
        nonlocal turn
        turn += 1
        return states[turn % len(states)]

    return choose


def utilisation(state):
    """Return the share of a target's limit that is in use."""
    return state.n_in_flight / state.limit


def make_least_in_flight(rng):
    """Return a policy that takes the target with the lowest utilisation.

    It breaks ties at random, since otherwise every VM would choose the same target.
    """

    def choose(states, now_ms, baseline_ms):
        return min(states, key=lambda state: (utilisation(state), rng.random()))

    return choose


def make_power_of_two(rng):
    """Return a policy that takes the less utilised of two random targets."""

    def choose(states, now_ms, baseline_ms):
        first = states[rng.randrange(len(states))]
        second = states[rng.randrange(len(states))]
        return min(first, second, key=utilisation)

    return choose


def expected_latency_ms(state, now_ms, baseline_ms, decay_ms):
    """Return the expected latency of one more request at a target.

    The estimate starts from the target's average latency and decays towards the
    service's baseline with the age of the last sample. If the oldest request in flight
    has already taken longer, the estimate is its age, a lower bound of its latency.
    """
    estimate_ms = state.latency_ms
    if baseline_ms is None:
        return estimate_ms or 0.0
    if estimate_ms is None:
        estimate_ms = baseline_ms
    else:
        weight = exp((state.sampled_at_ms - now_ms) / decay_ms)
        estimate_ms = baseline_ms + weight * (estimate_ms - baseline_ms)
    if state.started_at_ms:
        oldest_ms = now_ms - next(iter(state.started_at_ms.values()))
        if oldest_ms > estimate_ms:
            estimate_ms = oldest_ms
    return estimate_ms


def make_least_expected_latency(decay_ms=200.0, in_flight_weight=0.05):
    """Return a policy that takes the target with the lowest expected latency.

    ``decay_ms`` is the time constant with which samples lose weight.
    ``in_flight_weight`` favours the target with fewer requests in flight when the
    expected latencies are nearly equal.
    """

    def choose(states, now_ms, baseline_ms):
        def cost_ms(state):
            latency_ms = expected_latency_ms(state, now_ms, baseline_ms, decay_ms)
            return latency_ms * (1.0 + in_flight_weight * state.n_in_flight)

        return min(states, key=cost_ms)

    return choose
