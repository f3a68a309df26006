"""Compares routing policies on a virtual clock and prints a table for each service.

Run by ``make measure``. All rows of a table have the same arrivals, service times and
slow periods of targets. The first row is the lower bound, a clairvoyant central queue.
"""

import sys
import time
from multiprocessing import get_context

from hornbeamstand_core.config import (
    Configuration,
    FailureDomainSpec,
    ProbeSpec,
    ServiceSpec,
    TargetSpec,
)
from hornbeamstand_core.controllers.owned_targets import choice, limits

from replay.clairvoyant import Clairvoyant
from replay.simulation import Simulation
from replay.target_model import TargetModel
from replay.world import World

from .workload import Workload, capacity_per_s, schedule_requests, schedule_slow_periods

# Simulated time in which requests arrive.
RUN_MS = 20_000.0
# Simulated time at the start whose requests are left out of the latencies, the refusals
# and the goodput.
WARM_UP_MS = 2_000.0
# Span of arrivals over which latencies are averaged while a failure domain goes out of
# service and returns.
WINDOW_MS = 100.0
# Load while a failure domain goes out of service and returns, as a share of the
# capacity of all targets.
OUT_LOAD = 0.5
N_PROCESSES = 6
# Number of targets, and slots of each, by service.
SERVICES = {
    "tuul job-lookup": (10, 3),
    "tuul order-intake": (6, 3),
    "tuul spec-archive": (8, 3),
    "quispe tubo-lookup": (15, 6),
    "quispe orden-taller": (7, 6),
    "quispe archivo-fichas": (12, 6),
}


def make_configuration(n_targets, slots, n_owners=2):
    """Return a configuration with one service over three failure domains."""
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
    """One row of a table.

    ``n_overrun`` counts the requests that a target got beyond its slots,
    ``forwarded_share`` is the share of requests that were forwarded to another VM, and
    the latencies are those of successful requests after the warm-up.
    """

    def __init__(self, label, results, n_overrun, n_forwarded, n_probes, run_ms):
        measured = [r for r in results if r.arrived_at_ms >= WARM_UP_MS]
        latencies = sorted(r.latency_ms for r in measured if r.refusal is None)
        self.label = label
        self.p50_ms = quantile(latencies, 0.5)
        self.p99_ms = quantile(latencies, 0.99)
        self.p999_ms = quantile(latencies, 0.999)
        self.n_refused = len(measured) - len(latencies)
        self.goodput_per_s = len(latencies) * 1000.0 / (run_ms - WARM_UP_MS)
        self.n_overrun = n_overrun
        self.forwarded_share = n_forwarded / max(1, len(results))
        self.probes_per_s = n_probes * 1000.0 / run_ms


def quantile(ordered, share):
    """Return a quantile of sorted values, 0.0 if there are none."""
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def run_clairvoyant(n_targets, slots, load, seed, run_ms=RUN_MS):
    """Return the row of the lower bound."""
    world = World()
    targets = {
        f"t{i:02d}": TargetModel(world, f"t{i:02d}", slots) for i in range(n_targets)
    }
    clairvoyant = Clairvoyant(world, targets)
    run_workload(world, clairvoyant, targets, n_targets * slots, load, seed, run_ms)
    return Row("clairvoyant", clairvoyant.results, 0, 0, 0, run_ms)


def run_policy(
    label, n_targets, slots, load, seed, run_ms=RUN_MS, n_owners=2, **policy
):
    """Return the row of one policy."""
    world = World()
    configuration = make_configuration(n_targets, slots, n_owners)
    simulation = Simulation(world, configuration, seed=seed, **policy)
    run_workload(
        world, simulation, simulation.targets, n_targets * slots, load, seed, run_ms
    )
    vms = simulation.vms.values()
    return Row(
        label,
        simulation.results,
        sum(t.n_overrun for t in simulation.targets.values()),
        sum(vm.n_forwarded for vm in vms),
        sum(vm.n_probes for vm in vms),
        run_ms,
    )


def run_workload(world, sender, targets, n_slots, load, seed, run_ms):
    """Run one workload to its end.

    ``sender`` takes the requests, at a rate that is a share ``load`` of the capacity.
    """
    rate_per_s = capacity_per_s(n_slots) * load
    schedule_slow_periods(world, targets, Workload(seed, rate_per_s), run_ms)
    schedule_requests(world, sender, "service", Workload(seed + 1, rate_per_s), run_ms)
    world.run_until(run_ms + 5_000.0)


def policies():
    """Return a dict that maps a row's label to the simulation's keyword arguments."""
    return {
        "naive round robin, each VM alone": {
            "make_choice": lambda rng: choice.make_round_robin(),
            "make_limit": limits.make_fixed,
            "has_owners": False,
        },
        "power of two, each VM alone": {
            "make_choice": choice.make_power_of_two,
            "make_limit": limits.make_fixed,
            "has_owners": False,
        },
        "least in flight, each VM alone": {
            "make_choice": choice.make_least_in_flight,
            "make_limit": limits.make_fixed,
            "has_owners": False,
        },
        "owners, round robin": {"make_choice": lambda rng: choice.make_round_robin()},
        "owners, power of two": {"make_choice": choice.make_power_of_two},
        "owners, least in flight": {"make_choice": choice.make_least_in_flight},
        "owners, least expected latency": {},
        "  same, limit fixed at slots": {"make_limit": limits.make_fixed},
        "  same, limit by gradient": {"make_limit": limits.make_gradient},
    }


def format_row(row, bound):
    """Return a row as text; ratios are those to the row of the lower bound."""
    return (
        f"| {row.label:34} | {row.p50_ms:6.1f} | {row.p99_ms:7.1f} |"
        f" {row.p99_ms / bound.p99_ms:5.2f} | {row.p999_ms:7.1f} |"
        f" {row.p999_ms / bound.p999_ms:5.2f} | {row.n_refused:6} |"
        f" {row.goodput_per_s:7.0f} | {row.n_overrun:6} | {row.forwarded_share:6.3f} |"
        f" {row.probes_per_s:5.2f} |"
    )


HEADER = (
    "| policy | p50 ms | p99 ms | ratio | p99.9 ms | ratio | refused |"
    " goodput/s | beyond a slot | handed | probes/s |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
)


def measure_service(name, load=0.8, seed=1, run_ms=RUN_MS):
    """Return one service's table as text."""
    n_targets, slots = SERVICES[name]
    lines = [
        f"\n{name}: {n_targets} targets x {slots} slots, load {load}, seed {seed}\n"
    ]
    lines.append(HEADER)
    bound = run_clairvoyant(n_targets, slots, load, seed, run_ms)
    lines.append(format_row(bound, bound))
    for label, policy in policies().items():
        row = run_policy(label, n_targets, slots, load, seed, run_ms, **policy)
        lines.append(format_row(row, bound))
    return "\n".join(lines)


def measure_overload(name, load, run_ms=10_000.0):
    """Return a table row on the goodput at a load at or above the capacity."""
    n_targets, slots = SERVICES[name]
    capacity = capacity_per_s(n_targets * slots)
    row = run_policy("owners", n_targets, slots, load, 1, run_ms)
    share = row.goodput_per_s / capacity
    return f"| {name} | {load:g} | {share:.2f} | {row.p50_ms:.0f} | {row.p99_ms:.0f} |"


def run_domain_out_and_back(label, policy):
    """Return a table row on a failure domain that goes out of service and returns."""
    n_targets, slots = SERVICES["quispe tubo-lookup"]
    world = World()
    simulation = Simulation(
        world, make_configuration(n_targets, slots), seed=1, **policy
    )
    for at_ms, state, version in ((5000.0, "out", 1), (10_000.0, "in", 2)):
        configuration = make_configuration(n_targets, slots)
        configuration.failure_domains["fd1"].state = state
        configuration.version = version
        world.call_at(at_ms, lambda c=configuration: simulation.publish(c))
    for i in range(1, n_targets, 3):
        target = simulation.targets[f"t{i:02d}"]
        world.call_at(9999.0, lambda t=target: t.restart(30))
    run_workload(
        world,
        simulation,
        simulation.targets,
        n_targets * slots,
        OUT_LOAD,
        1,
        15_000.0,
    )
    n_failed = sum(r.refusal is not None for r in simulation.results)
    n_cold = sum(t.n_cold_overrun for t in simulation.targets.values())
    leaving = worst_window_ms(simulation.results, 5000.0, 7000.0)
    returning = worst_window_ms(simulation.results, 10_000.0, 12_000.0)
    calm = worst_window_ms(simulation.results, 2500.0, 4500.0)
    return (
        f"| {label} | {n_failed} | {calm:.1f} | {leaving:.1f} | {returning:.1f} |"
        f" {n_cold} |"
    )


def worst_window_ms(results, from_ms, to_ms):
    """Return the greatest mean latency in ms of the arrivals in any 100 ms."""
    worst_ms = 0.0
    at_ms = from_ms
    while at_ms < to_ms:
        inside = [
            r.latency_ms
            for r in results
            if at_ms <= r.arrived_at_ms < at_ms + WINDOW_MS
        ]
        if inside:
            worst_ms = max(worst_ms, sum(inside) / len(inside))
        at_ms += WINDOW_MS
    return worst_ms


def domain_out_policies():
    """Return the policies that ``run_domain_out_and_back`` compares."""
    all_policies = policies()
    labels = (
        "naive round robin, each VM alone",
        "power of two, each VM alone",
        "owners, round robin",
        "owners, least expected latency",
    )
    return {label: all_policies[label] for label in labels}


def main():
    """Print every table; each service is measured in a process of its own."""
    started_s = time.monotonic()
    with get_context("spawn").Pool(N_PROCESSES) as pool:
        tables = pool.imap(measure_service, SERVICES)
        overload = [
            pool.apply_async(measure_overload, (name, load))
            for name in ("tuul order-intake", "quispe orden-taller")
            for load in (1.0, 2.0, 5.0)
        ]
        for table in tables:
            print(table)
            sys.stdout.flush()
        print("\nAbove the capacity, owners:\n")
        print("| service | load | goodput / capacity | p50 ms | p99 ms |")
        print("| --- | --- | --- | --- | --- |")
        for line in overload:
            print(line.get())
    print(f"\nquispe tubo-lookup, fd1 out at 5 s, back cold at 10 s, load {OUT_LOAD}\n")
    print("| policy | failed | calm | leaving | returning | sent beyond cold limit |")
    print("| --- | --- | --- | --- | --- | --- |")
    for label, policy in domain_out_policies().items():
        print(run_domain_out_and_back(label, policy))
    print("\ncalm, leaving, returning: mean latency of the worst 100 ms, in ms")
    print(f"\ntook {time.monotonic() - started_s:.0f} s")


if __name__ == "__main__":
    main()
