"""Reads recorded traces and replays them through the core.

A trace is a file of JSON lines. The first line, its header, describes the services and
gives the number of VMs and the seed. Each later line is an event at ``at_ms``:

- ``arrivals``, pairs of offset and service time in ms, with ``service`` and ``method``;
- ``target`` with ``set``, new values of the target's attributes, or ``restart``, the
  number of requests until the target is warm;
- ``domain`` with ``state``: a failure domain goes out of service or returns.
"""

import json

from hornbeamstand_core.config import (
    Configuration,
    FailureDomainSpec,
    ProbeSpec,
    ServiceSpec,
    TargetSpec,
)

from .clairvoyant import Clairvoyant
from .simulation import Simulation
from .target_model import TargetModel
from .world import World

DOMAINS = ["fd0", "fd1", "fd2"]
# Simulated time after the last event, in which the requests in flight end.
END_WAIT_MS = 5_000.0


def read_trace(file):
    """Return the header and the list of events of a trace file."""
    lines = [json.loads(line) for line in file.read_text().splitlines()]
    return lines[0], lines[1:]


def make_configuration(header, states=None):
    """Return the configuration that a trace's header describes.

    ``states`` maps a failure domain to ``in`` or ``out``; the default is ``in``.
    """
    services = {}
    for name, service in header["services"].items():
        targets = {
            f"{name}-{i}": TargetSpec("127.0.0.1:80", DOMAINS[i % 3], service["slots"])
            for i in range(service["n_targets"])
        }
        services[name] = ServiceSpec(
            targets,
            deadline_ms=service.get("deadline_ms", 1000),
            deadline_max_ms=5000,
            queue_max=500,
            probe=ProbeSpec(budget_per_s=service.get("probe_budget_per_s", 5.0)),
        )
    states = states or {}
    domains = {name: FailureDomainSpec(states.get(name, "in")) for name in DOMAINS}
    return Configuration(services, domains)


def replay_trace(header, events, **policy):
    """Replay a trace through the core and return the simulation at its end.

    ``policy`` holds further arguments of the simulation.
    """
    world = World()
    simulation = Simulation(
        world,
        make_configuration(header),
        n_vms=header.get("n_vms", 13),
        seed=header["seed"],
        **policy,
    )
    states = {}
    version = 0
    for event in events:
        if "domain" in event:
            version += 1
            states = {**states, event["domain"]: event["state"]}
            configuration = make_configuration(header, states)
            configuration.version = version
            world.call_at(event["at_ms"], lambda c=configuration: simulation.publish(c))
        elif "target" in event:
            target = simulation.targets[event["target"]]
            world.call_at(
                event["at_ms"], lambda t=target, e=event: apply_target_event(t, e)
            )
        else:
            schedule_arrivals(world, event, simulation.request)
    world.run_until(events[-1]["at_ms"] + END_WAIT_MS)
    return simulation


def replay_clairvoyant(header, events):
    """Replay the requests for a trace's first service through the clairvoyant queue."""
    world = World()
    name, service = next(iter(header["services"].items()))
    targets = {
        f"{name}-{i}": TargetModel(world, f"{name}-{i}", service["slots"])
        for i in range(service["n_targets"])
    }
    clairvoyant = Clairvoyant(world, targets)
    modes = {}
    for event in events:
        if "domain" in event:
            mode = "gone" if event["state"] == "out" else "ok"
            index = DOMAINS.index(event["domain"])
            modes = {t: mode for i, t in enumerate(targets) if i % 3 == index}
            for target_id, target_mode in modes.items():
                schedule_mode(world, event["at_ms"], targets[target_id], target_mode)
        elif "target" in event:
            target = targets[event["target"]]
            world.call_at(
                event["at_ms"], lambda t=target, e=event: apply_target_event(t, e)
            )
        elif event["service"] == name:
            schedule_arrivals(world, event, clairvoyant.request)
    world.run_until(events[-1]["at_ms"] + END_WAIT_MS)
    return clairvoyant


def schedule_mode(world, at_ms, target, mode):
    """Schedule a change of a target's mode."""
    world.call_at(at_ms, lambda: setattr(target, "mode", mode))


def apply_target_event(target, event):
    """Set attributes of a target or restart it, as the event says."""
    for name, value in event.get("set", {}).items():
        setattr(target, name, value)
    if "restart" in event:
        target.cold_limit = 1
        target.restart(event["restart"], event.get("is_announced", True))


def schedule_arrivals(world, event, request):
    """Schedule the requests of one event."""
    name = event["service"]
    method = event.get("method", "GET")
    for offset_ms, service_ms in event["arrivals"]:
        at_ms = event["at_ms"] + offset_ms
        world.call_at(at_ms, lambda s=service_ms: request(name, s, method))
