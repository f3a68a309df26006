"""Compares routing policies on a virtual clock; prints one table.

Run by ``make measure``. Every row has the same arrivals, service times and slow
spells; the first is the clairvoyant lower bound.
"""

import sys
import time

from hornbeamstand_core.config import (
    Configuration,
    FailureDomainSpec,
    ProbeSpec,
    ServiceSpec,
    TargetSpec,
)
from hornbeamstand_core.controllers import choice, limits

from replay.clairvoyant import Clairvoyant
from replay.player import Player
from replay.target_model import TargetModel
from replay.world import World

from .workload import Workload, capacity_per_s, plan_requests, plan_spells

RUN_MS = 60_000.0
WARM_UP_MS = 2_000.0
SERVICES = {
    "tuul job-lookup": (10, 3),
    "tuul order-intake": (6, 3),
    "tuul spec-archive": (8, 3),
    "quispe tubo-lookup": (15, 6),
    "quispe orden-taller": (7, 6),
    "quispe archivo-fichas": (12, 6),
}


def make_configuration(n_targets, slots, n_owners=2):
    """Return a configuration with one service."""
    targets = {
        f"t{i:02d}": TargetSpec("127.0.0.1:80", f"fd{i % 3}", slots)
        for i in range(n_targets)
    }
    service = ServiceSpec(
        targets,
        deadline_ms=1000,
        queue_max=500,
        serving_set_size=n_owners,
        probe=ProbeSpec(budget_per_s=5.0),
    )
    domains = {f"fd{i}": FailureDomainSpec() for i in range(3)}
    return Configuration({"service": service}, domains)


class Row:
    """One line of the table."""

    def __init__(self, label, results, n_overrun, n_handed, n_probes, run_ms):
        measured = [r for r in results if r.at_ms >= WARM_UP_MS]
        latencies = sorted(r.latency_ms for r in measured if r.refusal is None)
        self.label = label
        self.p50_ms = quantile(latencies, 0.5)
        self.p99_ms = quantile(latencies, 0.99)
        self.p999_ms = quantile(latencies, 0.999)
        self.n_refused = len(measured) - len(latencies)
        self.goodput_per_s = len(latencies) * 1000.0 / (run_ms - WARM_UP_MS)
        self.n_overrun = n_overrun
        self.handed_share = n_handed / max(1, len(results))
        self.probes_per_s = n_probes * 1000.0 / run_ms


def quantile(ordered, share):
    """Return a quantile of sorted values."""
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def run_clairvoyant(n_targets, slots, load, seed, run_ms=RUN_MS):
    """Return the row of the lower bound."""
    world = World()
    targets = {
        f"t{i:02d}": TargetModel(world, f"t{i:02d}", slots) for i in range(n_targets)
    }
    central = Clairvoyant(world, targets)
    play(world, central, targets, n_targets * slots, load, seed, run_ms)
    return Row("clairvoyant", central.results, 0, 0, 0, run_ms)


def run_player(
    label, n_targets, slots, load, seed, run_ms=RUN_MS, n_owners=2, **policy
):
    """Return the row of one policy."""
    world = World()
    configuration = make_configuration(n_targets, slots, n_owners)
    player = Player(world, configuration, seed=seed, **policy)
    play(world, player, player.targets, n_targets * slots, load, seed, run_ms)
    vms = player.vms.values()
    return Row(
        label,
        player.results,
        sum(t.n_overrun for t in player.targets.values()),
        sum(vm.n_handed_over for vm in vms),
        sum(vm.n_probes for vm in vms),
        run_ms,
    )


def play(world, sender, targets, n_slots, load, seed, run_ms):
    """Run one workload to its end."""
    rate_per_s = capacity_per_s(n_slots) * load
    plan_spells(world, targets, Workload(seed, rate_per_s), run_ms)
    plan_requests(world, sender, "service", Workload(seed + 1, rate_per_s), run_ms)
    world.run_until(run_ms + 5_000.0)


def policies():
    """Return a dict of label to the player's keyword arguments."""
    return {
        "naive round robin, each VM alone": {
            "make_choice": lambda rng: choice.make_round_robin(),
            "make_limit": limits.make_fixed,
            "is_shared": False,
        },
        "power of two, each VM alone": {
            "make_choice": choice.make_power_of_two,
            "make_limit": limits.make_fixed,
            "is_shared": False,
        },
        "least in flight, each VM alone": {
            "make_choice": choice.make_least_in_flight,
            "make_limit": limits.make_fixed,
            "is_shared": False,
        },
        "owners, round robin": {"make_choice": lambda rng: choice.make_round_robin()},
        "owners, power of two": {"make_choice": choice.make_power_of_two},
        "owners, least in flight": {"make_choice": choice.make_least_in_flight},
        "owners, least expected latency": {},
        "  same, limit fixed at slots": {"make_limit": limits.make_fixed},
        "  same, limit by gradient": {"make_limit": limits.make_gradient},
    }


def print_row(row, bound):
    """Print one line of the table."""
    print(
        f"| {row.label:34} | {row.p50_ms:6.1f} | {row.p99_ms:7.1f} |"
        f" {row.p99_ms / bound.p99_ms:5.2f} | {row.p999_ms:7.1f} |"
        f" {row.p999_ms / bound.p999_ms:5.2f} | {row.n_refused:6} |"
        f" {row.goodput_per_s:7.0f} | {row.n_overrun:6} | {row.handed_share:6.3f} |"
        f" {row.probes_per_s:5.2f} |"
    )


HEADER = (
    "| policy | p50 ms | p99 ms | ratio | p99.9 ms | ratio | refused |"
    " goodput/s | beyond a slot | handed | probes/s |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
)


def measure_service(name, load, seed, run_ms=RUN_MS):
    """Print the table of one service at one load."""
    n_targets, slots = SERVICES[name]
    print(f"\n{name}: {n_targets} targets x {slots} slots, load {load}, seed {seed}\n")
    print(HEADER)
    bound = run_clairvoyant(n_targets, slots, load, seed, run_ms)
    print_row(bound, bound)
    for label, policy in policies().items():
        row = run_player(label, n_targets, slots, load, seed, run_ms, **policy)
        print_row(row, bound)
        sys.stdout.flush()


def main():
    """Print every table."""
    started_s = time.monotonic()
    for name in SERVICES:
        measure_service(name, 0.8, seed=1)
    print(f"\ntook {time.monotonic() - started_s:.0f} s")


if __name__ == "__main__":
    main()
