"""Configurations and simulated cells that several tests use."""

from hornbeamstand_core.config import (
    Configuration,
    FailureDomainSpec,
    ServiceSpec,
    TargetSpec,
)

from replay.cell import Cell
from replay.world import World

DEADLINE_MAX_MS = 600


def make_configuration(n_targets=6, slots=3, version=1, out=()):
    """Return a configuration with one service over three failure domains.

    ``out`` names the failure domains that are out of service.
    """
    targets = {
        f"t{i}": TargetSpec("127.0.0.1:80", f"fd{i % 3}", slots)
        for i in range(n_targets)
    }
    service = ServiceSpec(
        targets, deadline_ms=100, deadline_max_ms=DEADLINE_MAX_MS, lookup_ttl_ms=500
    )
    domains = {
        f"fd{i}": FailureDomainSpec("out" if f"fd{i}" in out else "in")
        for i in range(3)
    }
    configuration = Configuration({"service": service}, domains)
    configuration.version = version
    return configuration


def start_cell(n_vms=5, seed=1, settle_ms=8000.0):
    """Return a cell that has run without requests until its targets have owners."""
    cell = Cell(World(), make_configuration(), n_vms, seed)
    cell.world.run_until(settle_ms)
    return cell
