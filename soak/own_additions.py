"""VMs of the product's own program that are added at once beside VMs that serve."""

import os
from collections import Counter
from contextlib import ExitStack, suppress
from random import Random

import gevent
import msgspec
from hornbeamstand_core.records import Record

from standins.cluster import Cluster, free_addresses

from .day.exchange import Connection, exchange
from .day.records import ANSWERED, DayAttempt, now_s
from .day.run import set_apart_cores
from .day.site import KINDS

DOMAINS = ["fd0", "fd1", "fd2"]
N_TARGETS = 6
TARGET_SLOTS = 6
WORK_MS = 20.0
DEADLINE_S = 1.5
# Number of connections that the callers keep open together.
N_KEPT = 40
# Maximum time until the first VMs are ready.
READY_TIMEOUT_S = 60.0
# Time under load before and after the VMs are added, and maximum time until they are
# members.
CALM_S = 3.0
AFTER_S = 8.0
MEMBERS_TIMEOUT_S = 30.0
POLL_S = 0.1


class OwnAdditionsPlan(Record):
    """A run: ``n_added`` VMs are started at once beside ``n_vms`` that serve.

    All VMs share ``n_cores`` cores, of those of this process.
    """

    __slots__ = ("seed", "n_vms", "n_added", "n_cores", "rate_per_s")

    def __init__(self, seed, n_vms=6, n_added=5, n_cores=1, rate_per_s=60.0):
        self.seed = seed
        self.n_vms = n_vms
        self.n_added = n_added
        self.n_cores = n_cores
        self.rate_per_s = rate_per_s


class OwnAdditionsReport(Record):
    """How the requests ended, and when the added VMs were members.

    ``ends`` counts the statuses and, for requests without an answer in time, their
    other ends. ``members_s`` is None if the added VMs were not members in time.
    """

    __slots__ = ("seed", "n_planned", "ends", "n_late", "members_s", "statuses")

    def __init__(self, seed, n_planned, ends, n_late, members_s, statuses):
        self.seed = seed
        self.n_planned = n_planned
        self.ends = ends
        self.n_late = n_late
        self.members_s = members_s
        self.statuses = statuses

    @property
    def n_unanswered(self):
        """Number of requests without an answer by their deadline."""
        return self.n_late + sum(n for x, n in self.ends.items() if type(x) is str)

    def line(self):
        """Return the line of the report."""
        ends = {str(end): n for end, n in sorted(self.ends.items(), key=str)}
        members = "never" if self.members_s is None else f"{self.members_s:.1f} s"
        return (
            f"seed {self.seed}: {sum(self.ends.values())} of {self.n_planned} planned,"
            f" ends {ends}, {self.n_unanswered} without an answer in"
            f" time ({self.n_late} late), members after {members},"
            f" ended processes {self.statuses}"
        )


def run_own_additions(plan):
    """Run a plan; return its OwnAdditionsReport."""
    with ExitStack() as stack:
        cluster = stack.enter_context(Cluster(DOMAINS))
        start_cell(cluster, plan.n_vms)
        cores = stack.enter_context(set_apart_cores(plan.n_cores))
        move_to_cores(cluster.vms, cores)
        load = KeptLoad(cluster.vms, Random(plan.seed), plan.rate_per_s)
        load.start(stack)
        load_began_s = now_s()
        gevent.sleep(CALM_S)
        began_s = now_s()
        move_to_cores(launch_vms(cluster, plan.n_added), cores)
        members_s = wait_for_members(cluster, began_s)
        gevent.sleep(max(0.0, began_s + AFTER_S - now_s()))
        n_planned = round(plan.rate_per_s * (now_s() - load_began_s))
        load.stop()
        statuses = [vm.process.poll() for vm in cluster.vms]
    ended = [status for status in statuses if status is not None]
    return OwnAdditionsReport(
        plan.seed, n_planned, load.ends, load.n_late, members_s, ended
    )


def start_cell(cluster, n_vms):
    """Start the platform, the targets and the first VMs, which own every target."""
    targets = [
        {
            "target_id": f"t{i}",
            "address": address,
            "slots": TARGET_SLOTS,
            "service_ms": WORK_MS,
        }
        for i, address in enumerate(free_addresses(N_TARGETS))
    ]
    cluster.start_platform()
    cluster.start_targets(targets)
    cluster.publish(write_configuration(cluster.folder / "config", targets))
    launch_vms(cluster, n_vms)
    cluster.wait_ready(N_TARGETS, READY_TIMEOUT_S)


def write_configuration(folder, targets):
    """Write the configuration of one service, shop; returns the folder."""
    folder.mkdir()
    specs = {
        target["target_id"]: {
            "address": target["address"],
            "failure_domain": DOMAINS[i % len(DOMAINS)],
            "slots": target["slots"],
        }
        for i, target in enumerate(targets)
    }
    deadline_ms = int(DEADLINE_S * 1000)
    service = {
        "targets": specs,
        "deadline_ms": deadline_ms,
        "deadline_max_ms": deadline_ms,
        "lookup_ttl_ms": 500,
    }
    content = {
        "failure_domains": {name: {"state": "in"} for name in DOMAINS},
        "services": {"shop": service},
    }
    for key, value in content.items():
        (folder / f"{key}.json").write_bytes(msgspec.json.encode({key: value}))
    return folder


def launch_vms(cluster, n_vms):
    """Start VMs without waiting until they are ready; returns them."""
    vms = [cluster.make_vm() for _ in range(n_vms)]
    for vm in vms:
        cluster.launch(vm)
    return vms


def move_to_cores(vms, cores):
    """Let the threads of VMs run only on some cores; None stands for all.

    A process is moved after its start: a child that runs there before its program would
    make this process wait for those that serve.
    """
    for vm in vms if cores else ():
        for thread_id in os.listdir(f"/proc/{vm.process.pid}/task"):
            with suppress(ProcessLookupError):
                os.sched_setaffinity(int(thread_id), cores)


def wait_for_members(cluster, began_s):
    """Return the time until a first VM counts all as members, or None."""
    n_vms = len(cluster.vms)
    while now_s() < began_s + MEMBERS_TIMEOUT_S:
        gevent.sleep(POLL_S)
        try:
            if len(cluster.vms[0].status()["members"]) == n_vms:
                return now_s() - began_s
        except (OSError, ValueError, KeyError):
            continue
    return None


class KeptLoad:
    """Sends requests at random moments on connections that it keeps open.

    ``ends`` counts statuses and other ends, ``n_late`` the answers that came after the
    deadline.
    """

    __slots__ = ("ends", "n_late", "_vms", "_rng", "_rate_per_s", "_idle", "_calls")

    def __init__(self, vms, rng, rate_per_s):
        self.ends = Counter()
        self.n_late = 0
        self._vms = [KeptVm(vm) for vm in vms]
        self._rng = rng
        self._rate_per_s = rate_per_s
        self._idle = []
        self._calls = []

    def start(self, stack):
        """Start to send; the exit stack ends it."""
        self._idle = [Connection(self._vms[i % len(self._vms)]) for i in range(N_KEPT)]
        sender = gevent.spawn(self._send_all)
        stack.callback(sender.kill)
        self._calls.append(sender)

    def stop(self):
        """Stop to send, and wait for the requests in progress."""
        sender, *calls = self._calls
        sender.kill()
        gevent.joinall(calls)

    def _send_all(self):
        while True:
            gevent.sleep(self._rng.expovariate(self._rate_per_s))
            self._calls.append(gevent.spawn(self._send, self._take()))

    def _take(self):
        if not self._idle:
            return Connection(self._rng.choice(self._vms))
        return self._idle.pop(self._rng.randrange(len(self._idle)))

    def _send(self, connection):
        until_s = now_s() + DEADLINE_S
        attempt = DayAttempt("", KINDS[0], DEADLINE_S)
        head = (
            "GET /services/shop/x HTTP/1.1\r\nHost: shop\r\n"
            f"Hornbeam-Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\n\r\n"
        )
        exchange(connection, [attempt], [head.encode()], until_s)
        if attempt.end == ANSWERED:
            self.ends[attempt.status] += 1
            self.n_late += attempt.ended_s > until_s
        else:
            self.ends[attempt.end] += 1
            connection.close()
            connection = Connection(connection.vm)
        self._idle.append(connection)


class KeptVm(Record):
    """A VM as the connections of callers see it."""

    __slots__ = ("name", "ip", "ports")

    def __init__(self, vm):
        ip, _, port = vm.front_address.rpartition(":")
        self.name = vm.settings["vm_id"]
        self.ip = ip
        self.ports = {"front": int(port)}
