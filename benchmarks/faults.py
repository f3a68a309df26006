"""Injects faults into a cell of 13 real entry VMs; run by ``make faults``.

Prints the cost of an idle VM, the time until an edit is in force on every VM, the
times until the targets of a crashed and of a paused owner are taken over, and the time
of a rolling replacement of every VM. A table shows how the requests of callers, who
behave as documented, ended in each phase.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import shutil  # noqa: E402
import signal  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402

from standins.caller import Caller  # noqa: E402
from standins.cluster import ROOT, Cluster, request  # noqa: E402
from standins.demo import example_targets, set_domain, summary_of  # noqa: E402

N_VMS = 13
DOMAINS = ["ub-a", "ub-b", "ub-c"]
# Time over which the cost of idle VMs is measured.
IDLE_S = 15.0
# Intervals between two queries, which are idempotent requests to job-lookup, and
# between two orders.
QUERY_INTERVAL_S = 0.02
ORDER_INTERVAL_S = 0.05
POLL_INTERVAL_S = 0.02
START_TIMEOUT_S = 90.0
# Time for which callers use a lookup response.
LOOKUP_TTL_MS = 1000


class CallerLoad:
    """Sends requests at a constant rate and records their outcomes by phase.

    The caller behaves as documented. ``ran_keys`` holds the idempotency keys of the
    orders that it was told had run.
    """

    def __init__(self, cluster):
        self.cluster = cluster
        self.caller = Caller([vm.front_address for vm in cluster.vms], seed=3)
        self.phase = "start"
        self.outcomes_by_phase = {}
        self.n_orders = 0
        self.ran_keys = set()
        self.is_sending = True
        self.senders = [
            gevent.spawn(self._send_queries),
            gevent.spawn(self._send_orders),
        ]

    def _send_queries(self):
        while self.is_sending:
            gevent.spawn(self._call, "job-lookup", "GET", "/jobs", None, 2)
            gevent.sleep(QUERY_INTERVAL_S)

    def _send_orders(self):
        while self.is_sending:
            self.n_orders += 1
            key = f"order-{self.n_orders}"
            gevent.spawn(self._call, "order-intake", "POST", "/orders", key, 6)
            gevent.sleep(ORDER_INTERVAL_S)

    def _call(self, service_name, method, path, key, n_tries):
        phase = self.phase
        outcome = self.caller.call(service_name, method, path, b"", key, n_tries)
        self.outcomes_by_phase.setdefault(phase, []).append(outcome)
        if key is not None and outcome.certainty == "ran":
            self.ran_keys.add(key)

    def stop(self):
        """Stop sending and wait for the requests in flight."""
        self.is_sending = False
        gevent.joinall(self.senders)
        gevent.sleep(3.0)
        self.caller.close()

    def report(self):
        """Print a table row for each phase."""
        print("\n| phase | requests | failed | p50 ms | p99 ms | worst ms |")
        print("| --- | --- | --- | --- | --- | --- |")
        for phase, outcomes in self.outcomes_by_phase.items():
            ran = sorted(o.elapsed_ms for o in outcomes if o.certainty == "ran")
            n_failed = len(outcomes) - len(ran)
            p50_ms, p99_ms = ran[len(ran) // 2], ran[int(0.99 * len(ran))]
            print(
                f"| {phase} | {len(outcomes)} | {n_failed} |"
                f" {p50_ms:.1f} | {p99_ms:.1f} | {ran[-1]:.1f} |"
            )


def processor_time_s(vm):
    """Return the processor time in seconds that a VM's process has used."""
    fields = open(f"/proc/{vm.process.pid}/stat").read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100.0


def resident_mb(vm):
    """Return the resident memory of a VM's process in MB."""
    n_pages = int(open(f"/proc/{vm.process.pid}/statm").read().split()[1])
    return n_pages * 4096 / 1e6


def read_gauge(vm, name):
    """Return the value of one of a VM's gauges."""
    raw = request(vm.settings["admin_address"], "GET", "/metrics")[2].decode()
    for line in raw.splitlines():
        if line.startswith(f"hornbeamstand_{name} "):
            return float(line.split()[1])
    raise KeyError(name)


def measure_idle_cost(cluster):
    """Print the cost of the VMs without requests, and their calls to the platform."""
    calls = json.loads(request(cluster.platform_address, "GET", "/calls")[2])
    before = [
        (processor_time_s(vm), read_gauge(vm, "peer_sent_bytes")) for vm in cluster.vms
    ]
    gevent.sleep(IDLE_S)
    after = [
        (processor_time_s(vm), read_gauge(vm, "peer_sent_bytes")) for vm in cluster.vms
    ]
    shares, rates = [], []
    for old, new in zip(before, after, strict=True):
        shares.append(100.0 * (new[0] - old[0]) / IDLE_S)
        rates.append((new[1] - old[1]) / IDLE_S / 1000.0)
    calls_after = json.loads(request(cluster.platform_address, "GET", "/calls")[2])
    n_calls = sum(calls_after.values()) - sum(calls.values())
    memory = [resident_mb(vm) for vm in cluster.vms]
    print(f"processor of one core: {min(shares):.2f} to {max(shares):.2f} %")
    print(f"memory: {max(memory):.0f} MB; sent: {max(rates):.1f} KB/s at most")
    print(f"platform calls of the cell: {n_calls / IDLE_S:.1f}/s")


def live_vms(cluster):
    """Return the VMs whose processes run."""
    return [vm for vm in cluster.vms if vm.process.poll() is None]


def time_until(is_done, limit_s=60.0):
    """Return the seconds until a condition holds, infinity if it does not in time."""
    started_s = time.monotonic()
    while not is_done():
        if time.monotonic() - started_s > limit_s:
            return float("inf")
        gevent.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started_s


def measure_edits(cluster, folder, load):
    """Print the longest time until an edit was in force on every VM."""
    times = []
    for state in ("out", "in") * 3:
        load.phase = f"failure domain {state}"
        set_domain(folder, "ub-b", state)
        published = cluster.publish(folder).split()
        version = int(published[-1])
        times.append(time_until(lambda v=version: is_in_force(cluster, v)))
        gevent.sleep(2.0)
    print(f"edit in force on all VMs after publishing: {max(times):.2f} s at most")


def is_in_force(cluster, version):
    """Return whether every VM has this configuration version or a later one."""
    return all(vm.status()["config_version"] >= version for vm in live_vms(cluster))


def owner_of(cluster, target_id):
    """Return the VM that owns a target of job-lookup, or None."""
    for vm in live_vms(cluster):
        if target_id in vm.status()["services"]["job-lookup"]["targets"]:
            return vm
    return None


def measure_crash(cluster, load):
    """Print the time until the target of a crashed owner has another owner."""
    load.phase = "crash of an owner"
    owner = owner_of(cluster, "job-lookup-01")
    owner.signal(signal.SIGKILL)
    owner.process.wait()
    takeover_s = time_until(lambda: owner_of(cluster, "job-lookup-01") is not None)
    print(f"takeover after a crash: {takeover_s:.2f} s")
    gevent.sleep(2.0)


def measure_pause(cluster, load):
    """Print the time until the target of a paused owner has another owner."""
    load.phase = "pause of an owner"
    owner = owner_of(cluster, "job-lookup-01")
    owner.signal(signal.SIGSTOP)
    cluster.vms.remove(owner)
    takeover_s = time_until(lambda: owner_of(cluster, "job-lookup-01") is not None)
    owner.signal(signal.SIGCONT)
    cluster.vms.append(owner)
    print(f"takeover after a pause: {takeover_s:.2f} s")
    gevent.sleep(4.0)


def measure_outage(cluster, load):
    """Let the platform leave all calls unanswered for 10 s."""
    load.phase = "platform silent for 10 s"
    cluster.set_faults(mode="silent")
    gevent.sleep(10.0)
    cluster.set_faults(mode="ok")
    gevent.sleep(4.0)


def measure_replacement(cluster, load):
    """Replace every VM, one after the other, and print the time."""
    load.phase = "rolling replacement"
    started_s = time.monotonic()
    replaced = live_vms(cluster)
    for leaving in replaced:
        cluster.start_vm()
        load.caller.lookup_addresses = [
            vm.front_address for vm in live_vms(cluster) if vm is not leaving
        ]
        gevent.sleep(1.5)
        leaving.signal(signal.SIGTERM)
        time_until(lambda v=leaving: v.process.poll() is not None)
    exit_codes = {leaving.process.returncode for leaving in replaced}
    elapsed_s = time.monotonic() - started_s
    print(f"{len(replaced)} VMs replaced in {elapsed_s:.0f} s, exit codes {exit_codes}")
    gevent.sleep(2.0)


def main():
    """Inject every fault and print the measured times and outcomes."""
    with Cluster(DOMAINS) as cluster:
        folder = cluster.folder / "config"
        shutil.copytree(ROOT / "examples" / "tuul", folder)
        (folder / "90-ttl.json").write_text(ttl_text())
        cluster.start_platform()
        specs = example_targets(folder)
        cluster.start_targets(specs)
        cluster.publish(folder)
        for _ in range(N_VMS):
            cluster.start_vm()
        cluster.wait_ready(len(specs), START_TIMEOUT_S)
        measure_idle_cost(cluster)
        load = CallerLoad(cluster)
        gevent.sleep(3.0)
        measure_edits(cluster, folder, load)
        measure_crash(cluster, load)
        measure_pause(cluster, load)
        measure_outage(cluster, load)
        measure_replacement(cluster, load)
        load.stop()
        load.report()
        report_targets(specs, load)


def ttl_text():
    """Return the text of a configuration file with a short time to live of lookups."""
    names = ("job-lookup", "order-intake", "spec-archive")
    services = {name: {"lookup_ttl_ms": LOOKUP_TTL_MS} for name in names}
    return json.dumps({"services": services})


def report_targets(specs, load):
    """Print the number of lost orders and of orders that ran more than once.

    Also prints the number of requests that found every slot of their target taken.
    """
    runs = {}
    n_overrun = 0
    for spec in specs:
        summary = summary_of(spec["address"])
        runs.update(summary["runs_by_key"])
        n_overrun += summary["n_overrun"]
    n_duplicated = sum(n > 1 for n in runs.values())
    n_lost = len(load.ran_keys - set(runs))
    print(f"orders {load.n_orders}: lost {n_lost}, doubled {n_duplicated}")
    print(f"requests beyond a slot: {n_overrun}")


if __name__ == "__main__":
    main()
