"""Generates the recorded traces from seeds: ``python -m replay.record``.

The traces are committed. Running this module writes the same files again.
"""

import json
from math import log, sqrt
from pathlib import Path
from random import Random

FOLDER = Path(__file__).parent / "traces"
# Time whose arrivals share one line of a trace.
LINE_SPAN_MS = 100.0
# Mean of the service times, which are log-normal, and standard deviation of their
# logarithm. The latter gives a coefficient of variation of 0.5.
SERVICE_MEAN_MS = 20.0
SERVICE_SIGMA = sqrt(log(1.25))
TUUL_JOBS = {"job-lookup": {"n_targets": 10, "slots": 3}}
TUUL_ORDERS = {"order-intake": {"n_targets": 6, "slots": 3}}
QUISPE_TUBO = {"tubo-lookup": {"n_targets": 15, "slots": 6}}


def name_and_slots(services):
    """Return the name of the first service and the number of its slots."""
    name, service = next(iter(services.items()))
    return name, service["n_targets"] * service["slots"]


def arrival_lines(services, load_at, end_ms, rng, method="GET"):
    """Return the lines of arrivals; ``load_at`` maps a time to a share of capacity."""
    name, slots = name_and_slots(services)
    lines = []
    at_ms = 0.0
    while at_ms < end_ms:
        rate_per_ms = load_at(at_ms) * slots / SERVICE_MEAN_MS
        pairs = []
        offset_ms = rng.expovariate(rate_per_ms)
        while offset_ms < LINE_SPAN_MS:
            service_ms = rng.lognormvariate(
                log(SERVICE_MEAN_MS) - SERVICE_SIGMA**2 / 2, SERVICE_SIGMA
            )
            pairs.append([round(offset_ms, 2), round(service_ms, 2)])
            offset_ms += rng.expovariate(rate_per_ms)
        lines.append(
            {"at_ms": at_ms, "service": name, "method": method, "arrivals": pairs}
        )
        at_ms += LINE_SPAN_MS
    return lines


def slow_period_lines(services, end_ms, rng):
    """Return events that slow each target down threefold, about 5% of the time."""
    name, service = next(iter(services.items()))
    lines = []
    for i in range(service["n_targets"]):
        at_ms = rng.expovariate(1.0 / 4000.0)
        while at_ms < end_ms:
            length_ms = rng.expovariate(1.0 / 200.0)
            for when_ms, factor in ((at_ms, 3.0), (at_ms + length_ms, 1.0)):
                lines.append(
                    {
                        "at_ms": round(when_ms, 1),
                        "target": f"{name}-{i}",
                        "set": {"factor": factor},
                    }
                )
            at_ms += length_ms + rng.expovariate(1.0 / 4000.0)
    return lines


def target_change(at_ms, target, **values):
    """Return an event that sets attributes of a target."""
    return {"at_ms": at_ms, "target": target, "set": values}


def morning_rush(at_ms):
    """Return the load in a morning rush: low, then a steep rise, then constant."""
    if at_ms < 800:
        return 0.3
    return min(0.8, 0.3 + (at_ms - 800) / 800 * 0.5)


def domain_out_and_back(name, out_ms, back_ms, restart_ids=()):
    """Return events that take a failure domain out of service and back in.

    The targets of ``restart_ids`` are cold when it returns.
    """
    lines = [{"at_ms": out_ms, "domain": name, "state": "out"}]
    lines += [
        {"at_ms": back_ms - 1.0, "target": target_id, "restart": 20}
        for target_id in restart_ids
    ]
    lines.append({"at_ms": back_ms, "domain": name, "state": "in"})
    return lines


def for_every_target(services, **event):
    """Return a copy of an event for each target of the first service."""
    name, service = next(iter(services.items()))
    return [{"target": f"{name}-{i}", **event} for i in range(service["n_targets"])]


def steady_load(load):
    """Return a function of constant load."""
    return lambda at_ms: load


def make_traces():
    """Return a dict of trace name to lines, the first of which is the header."""
    restarted_ids = [f"tubo-lookup-{i}" for i in range(1, 15, 3)]
    affected_ids = [f"job-lookup-{i}" for i in (0, 3, 6)]
    traces = {}

    def add(name, services, load_at, end_ms, seed, events=(), method="GET"):
        rng = Random(seed)
        lines = arrival_lines(services, load_at, end_ms, rng, method)
        lines += list(events) if events != "slow-periods" else []
        if events == "slow-periods":
            lines += slow_period_lines(services, end_ms, rng)
        lines.sort(key=lambda line: line["at_ms"])
        header = {"services": services, "seed": seed, "n_vms": 13}
        traces[name] = [header, *lines]

    add("tuul-rush-job-lookup", TUUL_JOBS, morning_rush, 4000, 11, "slow-periods")
    add(
        "tuul-rush-order-intake",
        TUUL_ORDERS,
        morning_rush,
        4000,
        12,
        "slow-periods",
        "POST",
    )
    add(
        "quispe-domain-leaves-and-returns",
        QUISPE_TUBO,
        steady_load(0.45),
        3000,
        13,
        domain_out_and_back("fd1", 800.0, 1800.0, restarted_ids),
    )
    neighbours = [target_change(800.0, t, n_stolen=2) for t in affected_ids]
    neighbours += [target_change(2000.0, t, n_stolen=0) for t in affected_ids]
    add("noisy-neighbour", TUUL_JOBS, steady_load(0.5), 3000, 14, neighbours)
    failing = [
        target_change(500.0, "job-lookup-4", mode="fail"),
        target_change(2000.0, "job-lookup-4", mode="ok"),
    ]
    add("fail-fast-target", TUUL_JOBS, steady_load(0.6), 3000, 15, failing)
    restarts = for_every_target(TUUL_JOBS, at_ms=700.0, restart=30)
    add("mass-cold-start", TUUL_JOBS, steady_load(0.12), 3000, 16, restarts)
    unannounced = [
        {"at_ms": 700.0, "target": t, "restart": 20, "is_announced": False}
        for t in affected_ids
    ]
    add("unannounced-cold-start", TUUL_JOBS, steady_load(0.4), 2500, 17, unannounced)
    add("overload-2x", TUUL_ORDERS, steady_load(2.0), 2500, 18, method="POST")
    add("overload-5x", TUUL_ORDERS, steady_load(5.0), 2000, 19, method="POST")
    domain_and_targets = domain_out_and_back("fd2", 900.0, 1900.0)
    domain_and_targets += [
        target_change(900.0, "job-lookup-0", mode="fail"),
        target_change(900.0, "job-lookup-3", factor=3.0),
        target_change(1900.0, "job-lookup-0", mode="ok"),
        target_change(1900.0, "job-lookup-3", factor=1.0),
    ]
    add(
        "domain-out-while-another-fails",
        TUUL_JOBS,
        steady_load(0.4),
        3000,
        20,
        domain_and_targets,
    )
    return traces


def main():
    """Write the file of every trace."""
    for name, lines in make_traces().items():
        text = "\n".join(json.dumps(line, separators=(",", ":")) for line in lines)
        (FOLDER / f"{name}.jsonl").write_text(text + "\n")


if __name__ == "__main__":
    main()
