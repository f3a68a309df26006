"""Choice among targets with a free slot: closures over their state.

Each maker returns ``choose(states, now_ms, baseline_ms)``; ``states`` is never
empty and ``baseline_ms`` is the service's usual latency or None.
"""

from math import exp


def make_round_robin():
    """Return the naive version: each target in turn."""
    turn = 0

    def choose(states, now_ms, baseline_ms):
        nonlocal turn
        turn += 1
        return states[turn % len(states)]

    return choose


def utilisation(state):
    """Return the share of the limit in use."""
    return state.n_in_flight / state.limit


def make_least_in_flight(rng):
    """Return the target with the least share of its limit in use.

    Ties are broken at random, or every VM would turn to the same target.
    """

    def choose(states, now_ms, baseline_ms):
        return min(states, key=lambda state: (utilisation(state), rng.random()))

    return choose


def make_power_of_two(rng):
    """Return the less used of two targets drawn at random."""

    def choose(states, now_ms, baseline_ms):
        first = states[rng.randrange(len(states))]
        second = states[rng.randrange(len(states))]
        return min(first, second, key=utilisation)

    return choose


def expected_latency_ms(state, now_ms, baseline_ms, decay_ms):
    """Return a target's likely latency from its samples and work in flight.

    A sample's weight decays with its age towards the service's usual latency.
    A request in flight for longer than that is a lower bound already known.
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
    """Return the target with the least expected latency.

    ``in_flight_weight`` breaks near ties towards less used targets.
    """

    def choose(states, now_ms, baseline_ms):
        def cost_ms(state):
            latency_ms = expected_latency_ms(state, now_ms, baseline_ms, decay_ms)
            return latency_ms * (1.0 + in_flight_weight * state.n_in_flight)

        return min(states, key=cost_ms)

    return choose
