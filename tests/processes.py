"""Test helpers: a small cluster of real processes with one service, shop."""

import json

from standins.cluster import Cluster, free_addresses, request

DOMAINS = ["fd0", "fd1", "fd2"]


def make_folder(path, targets, **service):
    """Write a configuration folder with one service over stand-in targets.

    ``service`` are further fields of the service. Returns the folder's path.
    """
    path.mkdir(exist_ok=True)
    domains = {name: {"state": "in"} for name in DOMAINS}
    (path / "10-domains.json").write_text(json.dumps({"failure_domains": domains}))
    specs = {
        spec["target_id"]: {
            "address": spec["address"],
            "failure_domain": DOMAINS[i % 3],
            "slots": spec["slots"],
        }
        for i, spec in enumerate(targets)
    }
    body = {
        "targets": specs,
        "deadline_ms": 1000,
        "deadline_max_ms": 1500,
        "lookup_ttl_ms": 500,
        "routes": [{"method": "POST", "path_prefix": "/orders", "idempotent": False}],
        **service,
    }
    (path / "20-shop.json").write_text(json.dumps({"services": {"shop": body}}))
    return path


def make_targets(n_targets, slots=3, service_ms=5.0):
    """Return specs of stand-in targets at free addresses."""
    return [
        {
            "target_id": f"t{i}",
            "address": address,
            "slots": slots,
            "service_ms": service_ms,
        }
        for i, address in enumerate(free_addresses(n_targets))
    ]


def start_cluster(stack, n_vms, n_targets=4, overrides=None, **service):
    """Start platform, targets and VMs, and wait until the VMs own every target.

    ``overrides`` are settings of the VMs, and ``service`` fields of the service.
    Returns the cluster and the targets' specs.
    """
    settings = {"lease_ms": 1000, **(overrides or {})}
    cluster = stack.enter_context(Cluster(DOMAINS, settings))
    targets = make_targets(n_targets)
    cluster.start_platform()
    cluster.start_targets(targets)
    folder = make_folder(cluster.folder / "config", targets, **service)
    cluster.publish(folder)
    for _ in range(n_vms):
        cluster.start_vm()
    cluster.wait_ready(n_targets)
    return cluster, targets


def control(target, **values):
    """Set control values of a stand-in target and return its counters."""
    return json.loads(request(target["address"], "POST", "/control", values)[2])


def total(targets, counter):
    """Return the sum of one counter over stand-in targets."""
    return sum(control(target)[counter] for target in targets)


def runs_by_key(targets):
    """Return the number of runs over all targets for each idempotency key."""
    runs = {}
    for target in targets:
        for key, n_runs in control(target)["runs_by_key"].items():
            runs[key] = runs.get(key, 0) + n_runs
    return runs
