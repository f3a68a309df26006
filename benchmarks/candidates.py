"""Compares two methods of a related paper with those of the product.

The paper is "OpenAMI: Software-Defined AMI Load Balancing". Its methods are the choice
of a target by an NLMS predictor of response times, and an admission ramp between two
load levels. Run as ``python -m benchmarks.candidates``.
"""

from collections import deque
from random import Random

from hornbeamstand_core.controllers.owned_targets.limits import make_aimd
from hornbeamstand_core.messages import Refusal

from replay.chain_run import RequestResult
from replay.simulation import Simulation
from replay.world import World

from .measure import (
    HEADER,
    SERVICES,
    Row,
    format_row,
    make_configuration,
    run_clairvoyant,
    run_policy,
    run_workload,
)

RUN_MS = 20_000.0
# Number of past latencies from which the predictor computes the next one.
FILTER_ORDER = 4
# Step sizes with which the predictor adapts its weights.
STEP_SIZES = (0.1, 0.5, 1.0)
# Shares of all slots in flight at which the ramp begins to refuse, and refuses all.
RAMP_LEVELS = ((0.8, 1.0), (0.9, 1.0))


class Nlms:
    """Predicts a target's latency by a normalized least mean squares (NLMS) filter."""

    def __init__(self, step):
        self.step = step
        self.window = deque([0.0] * FILTER_ORDER, maxlen=FILTER_ORDER)
        self.weights = [0.0] * FILTER_ORDER

    def predict(self):
        """Return the predicted next latency in ms."""
        return sum(w * x for w, x in zip(self.weights, self.window, strict=True))

    def note(self, latency_ms):
        """Record a latency and adapt the weights to the error of its prediction."""
        error = latency_ms - self.predict()
        norm = sum(x * x for x in self.window)
        if norm > 0.0:
            gain = self.step * error / norm
            self.weights = [
                w + gain * x for w, x in zip(self.weights, self.window, strict=True)
            ]
        self.window.appendleft(latency_ms)


def make_nlms_policy(step):
    """Return the simulation's arguments for a choice by predicted latency."""
    predictors = {}

    def make_limit():
        adjust = make_aimd()

        def note_and_adjust(state, latency_ms, baseline, is_overload):
            predictor = predictors.setdefault(state.target_id, Nlms(step))
            predictor.note(latency_ms)
            adjust(state, latency_ms, baseline, is_overload)

        return note_and_adjust

    def choose(states, now_ms, baseline_ms):
        def predicted_ms(state):
            predictor = predictors.get(state.target_id)
            return predictor.predict() if predictor else 0.0

        return min(states, key=predicted_ms)

    return {"make_choice": lambda rng: choose, "make_limit": make_limit}


class RampedSimulation(Simulation):
    """A simulation with an admission ramp before the filter chain.

    ``low`` and ``high`` are shares of all slots. The probability of a refusal rises
    from 0 to 1 as the requests in flight rise from one to the other.
    """

    def __init__(self, world, configuration, low, high):
        super().__init__(world, configuration, seed=1)
        self.low = low
        self.high = high
        self.n_requests_seen = 0
        self.n_slots = sum(target.slots for target in self.targets.values())
        self.ramp_rng = Random(7)

    def request(self, service_name, service_ms, method="GET", path="/"):
        """Refuse the request with the ramp's probability, or else send it."""
        n_in_flight = self.count_requests() - len(self.results)
        low, high = self.low * self.n_slots, self.high * self.n_slots
        probability = (n_in_flight - low) / (high - low)
        if self.ramp_rng.random() < probability:
            refused = RequestResult(
                self.world.now_ms, 0.0, Refusal("ramp"), service_name
            )
            self.n_requests_seen += 1
            self.results.append(refused)
            return
        self.n_requests_seen += 1
        super().request(service_name, service_ms, method, path)

    def count_requests(self):
        """Return the number of requests so far, with those that were refused."""
        return self.n_requests_seen


def run_ramp(low, high, load):
    """Return the table row of the ramp on job-lookup."""
    n_targets, slots = SERVICES["tuul job-lookup"]
    world = World()
    simulation = RampedSimulation(
        world, make_configuration(n_targets, slots), low, high
    )
    run_workload(
        world, simulation, simulation.targets, n_targets * slots, load, 1, RUN_MS
    )
    n_overrun = sum(t.n_overrun for t in simulation.targets.values())
    n_forwarded = sum(vm.n_forwarded for vm in simulation.vms.values())
    label = f"ramp from {low} to {high}"
    return Row(label, simulation.results, n_overrun, n_forwarded, 0, RUN_MS)


def main():
    """Print the tables of both comparisons."""
    for name in ("tuul job-lookup", "quispe tubo-lookup"):
        n_targets, slots = SERVICES[name]
        print(f"\n{name}, load 0.8\n\n{HEADER}")
        bound = run_clairvoyant(n_targets, slots, 0.8, 1, RUN_MS)
        print(format_row(run_policy("ours", n_targets, slots, 0.8, 1, RUN_MS), bound))
        for step in STEP_SIZES:
            policy = make_nlms_policy(step)
            label = f"NLMS of order {FILTER_ORDER}, step {step}"
            row = run_policy(label, n_targets, slots, 0.8, 1, RUN_MS, **policy)
            print(format_row(row, bound))
    n_targets, slots = SERVICES["tuul job-lookup"]
    for load in (0.8, 2.0):
        print(f"\ntuul job-lookup, load {load}\n\n{HEADER}")
        bound = run_clairvoyant(n_targets, slots, load, 1, RUN_MS)
        print(format_row(run_policy("ours", n_targets, slots, load, 1, RUN_MS), bound))
        for low, high in RAMP_LEVELS:
            print(format_row(run_ramp(low, high, load), bound))


if __name__ == "__main__":
    main()
