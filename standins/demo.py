"""The demo: three entry VMs, two services, a failure domain out of service and back.

Ends by itself with status 0. The status is 1 if an order was lost or ran more than
once, if a request failed, if a target got more requests than it has slots, or if a
failure domain got requests after it was taken out of service.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import shutil  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from collections import Counter  # noqa: E402

import gevent  # noqa: E402
from hdrh.histogram import HdrHistogram  # noqa: E402

from standins.caller import Caller  # noqa: E402
from standins.cluster import ROOT, Cluster, request  # noqa: E402

DOMAINS = ["ub-a", "ub-b", "ub-c"]
# Time for which callers send requests.
RUN_S = 12.0
# Times after the start at which the failure domain goes out of service and returns.
DOMAIN_OUT_AT_S = 4.0
DOMAIN_IN_AT_S = 8.0
# Intervals between two queries, which are idempotent requests to job-lookup, and
# between two orders.
QUERY_INTERVAL_S = 0.008
ORDER_INTERVAL_S = 0.05
# Maximum time until a published configuration version is in force on every VM, as
# stated for the product.
CONFIG_APPLY_S = 3.0


class Tally:
    """The outcomes that the demo's callers got.

    ``latency`` is in microseconds. ``orders`` maps an idempotency key to the outcomes
    of the order and of its resend.
    """

    def __init__(self):
        self.latency = HdrHistogram(1, 60_000_000, 3)
        self.by_outcome = Counter()
        self.by_target = Counter()
        self.orders = {}

    def note(self, outcome):
        """Count one outcome."""
        self.by_outcome[f"{outcome.status} {outcome.certainty}"] += 1
        if outcome.target:
            self.by_target[outcome.target] += 1
        self.latency.record_value(max(1, int(outcome.elapsed_ms * 1000)))


def example_targets(folder):
    """Return the specs of the example's stand-in targets, one cold and one slow."""
    specs = []
    for file in sorted(folder.glob("*.json")):
        services = json.loads(file.read_text()).get("services", {})
        for service in services.values():
            for target_id, target in service.get("targets", {}).items():
                specs.append(
                    {
                        "target_id": target_id,
                        "address": target["address"],
                        "slots": target["slots"],
                        "service_ms": 20.0,
                    }
                )
    states = {"job-lookup-02": "cold", "job-lookup-03": "slow"}
    for spec in specs:
        spec["state"] = states.get(spec["target_id"], "ready")
    return specs


def set_domain(folder, name, state):
    """Set the state of a failure domain in its configuration file."""
    file = folder / "10-failure-domains.json"
    body = json.loads(file.read_text())
    body["failure_domains"][name]["state"] = state
    file.write_text(json.dumps(body, indent=2) + "\n")


def send_queries(caller, tally, end_s):
    """Send queries to job-lookup at a constant rate until ``end_s``."""
    n_sent = 0
    while time.monotonic() < end_s:
        n_sent += 1
        path = f"/jobs/{n_sent}"
        gevent.spawn(
            lambda p: tally.note(caller.call("job-lookup", path=p, n_tries=2)), path
        )
        gevent.sleep(QUERY_INTERVAL_S)


def place_orders(caller, tally, end_s):
    """Place orders at a constant rate until ``end_s``, each with its own key."""
    n_sent = 0
    while time.monotonic() < end_s:
        n_sent += 1
        gevent.spawn(place_order, caller, tally, f"order-{n_sent}")
        gevent.sleep(ORDER_INTERVAL_S)


def place_order(caller, tally, key):
    """Place one order, then send it again with the same key to get its outcome."""
    first = caller.call("order-intake", "POST", "/orders", b"{}", key, n_tries=5)
    tally.note(first)
    resent = caller.call("order-intake", "POST", "/orders", b"{}", key, n_tries=5)
    tally.orders[key] = (first, resent)


def take_domain_out_and_in(cluster, folder, start_s):
    """Take a failure domain out of service and back in by editing its file.

    Returns the number of requests that its targets ran while it was out of service,
    later than ``CONFIG_APPLY_S`` after the edit.
    """
    gevent.sleep(start_s + DOMAIN_OUT_AT_S - time.monotonic())
    set_domain(folder, "ub-b", "out")
    print("ub-b out:", cluster.publish(folder).split("\n")[-2])
    gevent.sleep(CONFIG_APPLY_S)
    n_before = count_runs_in_domain(folder, "ub-b")
    gevent.sleep(start_s + DOMAIN_IN_AT_S - time.monotonic())
    n_late = count_runs_in_domain(folder, "ub-b") - n_before
    set_domain(folder, "ub-b", "in")
    print("ub-b in:", cluster.publish(folder).split("\n")[-2])
    return n_late


def count_runs_in_domain(folder, domain):
    """Return the number of requests run by the targets of a failure domain."""
    n_runs = 0
    for file in sorted(folder.glob("*.json")):
        services = json.loads(file.read_text()).get("services", {})
        for service in services.values():
            for target in service.get("targets", {}).values():
                if target["failure_domain"] == domain:
                    n_runs += summary_of(target["address"])["n_runs"]
    return n_runs


def summary_of(address):
    """Return the counters of the stand-in target at an address."""
    return json.loads(request(address, "POST", "/control", b"{}")[2])


def print_decisions(cluster):
    """Print the number of routing decisions in each VM's log, and the first three."""
    for vm in cluster.vms:
        lines = vm.log_file.read_text().splitlines()
        decisions = [line for line in lines if '"route: ' in line]
        print(f"{vm.settings['vm_id']}: {len(decisions)} decisions, such as")
        for line in decisions[:3]:
            print("  ", line)


def main():
    """Run the demo; returns the exit status."""
    with Cluster(DOMAINS, {"lease_ms": 1000}) as cluster:
        folder = cluster.folder / "config"
        shutil.copytree(ROOT / "examples" / "tuul", folder)
        cluster.start_platform()
        specs = example_targets(folder)
        cluster.start_targets(specs)
        print(cluster.publish(folder).split("\n")[-2])
        for _ in range(3):
            cluster.start_vm()
        cluster.wait_ready(len(specs))
        tally, n_late = run_load(cluster, folder)
        print_decisions(cluster)
        return report(specs, tally, n_late)


def run_load(cluster, folder):
    """Run the callers while a failure domain goes out of service and returns.

    Returns the tally and the number of requests that reached the domain too late.
    """
    tally = Tally()
    caller = Caller([vm.front_address for vm in cluster.vms], seed=1)
    start_s = time.monotonic()
    end_s = start_s + RUN_S
    domain_job = gevent.spawn(take_domain_out_and_in, cluster, folder, start_s)
    senders = [
        gevent.spawn(send_queries, caller, tally, end_s),
        gevent.spawn(place_orders, caller, tally, end_s),
    ]
    gevent.joinall([*senders, domain_job])
    gevent.sleep(3.0)
    caller.close()
    return tally, domain_job.get()


def report(specs, tally, n_late):
    """Print the summary of the run; returns the exit status."""
    runs = Counter()
    n_overrun = 0
    for spec in specs:
        summary = summary_of(spec["address"])
        runs.update(summary["runs_by_key"])
        n_overrun += summary["n_overrun"]
    duplicated = [key for key in tally.orders if runs[key] > 1]
    lost = [
        key
        for key, (first, resent) in tally.orders.items()
        if runs[key] == 0 or (first.certainty == "ran" and resent.body != first.body)
    ]
    n_total = sum(tally.by_outcome.values())
    failed = {k: n for k, n in tally.by_outcome.items() if not k.endswith(" ran")}
    p50_ms = tally.latency.get_value_at_percentile(50) / 1000.0
    p99_ms = tally.latency.get_value_at_percentile(99) / 1000.0
    print(f"requests: {n_total} at {n_total / RUN_S:.0f} a second")
    print(f"latency: p50 {p50_ms:.1f} ms, p99 {p99_ms:.1f} ms")
    print(f"outcomes: {dict(tally.by_outcome)}")
    for target_id, n_responses in sorted(tally.by_target.items()):
        print(f"  {target_id}: {n_responses}")
    print(
        f"orders: {len(tally.orders)}, lost {len(lost)}, run more than once "
        f"{len(duplicated)}"
    )
    print(f"requests beyond the slots of a target: {n_overrun}")
    print(
        f"requests to ub-b later than {CONFIG_APPLY_S:g} s after it went out: {n_late}"
    )
    is_passed = not (lost or duplicated or failed or n_overrun or n_late)
    print("result:", "good" if is_passed else f"BAD, failed requests {failed}")
    return 0 if is_passed else 1


if __name__ == "__main__":
    sys.exit(main())
