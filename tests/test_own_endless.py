"""Answers without end harm neither a VM of the product's own program nor others."""

import json

import gevent
import pytest

from standins.cluster import Cluster, request

from .crowds import wait_until_served
from .endless import FORMS, FRAMING_FORMS, EndlessServer, assert_within
from .endless_callers import CallerRequest, KeptCaller, send_and_leave
from .processes import make_folder, make_targets

MEMORY_MB = 160
N_DESCRIPTORS_MAX = 4100
# Deadlines of requests whose answers end by it, and by their size.
SHORT_DEADLINE_MS = 150
LONG_DEADLINE_MS = 4000
# Targets that send without end: each is passed over after a few of its answers.
N_TARGETS = 12
N_SLOTS = 8
N_CALLERS = 24
N_REQUESTS = 12
N_LONG_REQUESTS = 2
HELD_FORMS = [FORMS["no length"], FORMS["whole events"], FRAMING_FORMS["chunks"]]


@pytest.fixture
def cluster():
    settings = {"lease_ms": 1000, "memory_mb": MEMORY_MB}
    with Cluster(["fd0"], settings) as made:
        made.start_platform()
        yield made


def start_vm(stack, cluster, status):
    """Start a VM with the services ``shop`` and ``desk``; return it and the servers.

    The targets of ``shop`` send without end.
    """
    targets = make_targets(1)
    cluster.start_targets(targets)
    folder = make_folder(cluster.folder / "config", targets)
    file = folder / "20-shop.json"
    desk = json.loads(file.read_text())["services"]["shop"]
    servers = [start_server(stack, i, status) for i in range(N_TARGETS)]
    shop = {**desk, "targets": servers_as_targets(servers)}
    shop["deadline_max_ms"] = LONG_DEADLINE_MS
    shop["cold_start"] = {"limit": N_SLOTS}
    file.write_text(json.dumps({"services": {"shop": shop, "desk": desk}}))
    cluster.publish(folder)
    vm = cluster.start_vm()
    wait_until_served(lambda: n_owned(vm) == len(targets) + len(servers))
    return vm, servers


def start_server(stack, i, status):
    server = EndlessServer(f"shop-{i}", "shop", "fd0")
    server.mode = HELD_FORMS[i % len(HELD_FORMS)].with_status(status)
    server.start(stack)
    return server


def servers_as_targets(servers):
    return {
        server.server_id: {
            "address": server.address,
            "failure_domain": "fd0",
            "slots": N_SLOTS,
        }
        for server in servers
    }


def make_requests(caller_id, deadline_ms, n_requests):
    method, path = ("POST", "/orders/") if caller_id % 2 else ("GET", "/")
    return [
        CallerRequest(
            method, f"/services/shop{path}{i}", f"{caller_id}-{i}", deadline_ms
        )
        for i in range(n_requests)
    ]


def n_owned(vm):
    """Return the number of targets that a VM owns."""
    services = vm.status()["services"].values()
    return sum(len(service["targets"]) for service in services)


def is_serving(vm):
    return request(vm.front_address, "GET", "/services/desk/x")[0] == 200


def assert_holds(vm):
    """Check the VM, and that it serves an ordinary request."""
    wait_until_served(lambda: is_serving(vm))
    assert_within(vm.process, MEMORY_MB, N_DESCRIPTORS_MAX)


def find_address(vm):
    host, _, port = vm.front_address.rpartition(":")
    return host, int(port)


@pytest.mark.parametrize(
    "deadline_ms, n_requests, status",
    [
        (SHORT_DEADLINE_MS, N_REQUESTS, 200),
        (LONG_DEADLINE_MS, N_LONG_REQUESTS, 500),
    ],
    ids=["timeout", "size"],
)
def test_answers_without_end_leave_no_memory_in_the_own_program(
    stack, cluster, deadline_ms, n_requests, status
):
    vm, servers = start_vm(stack, cluster, status)
    callers = [KeptCaller(find_address(vm)) for _ in range(N_CALLERS)]
    jobs = [
        gevent.spawn(caller.run, make_requests(i, deadline_ms, n_requests))
        for i, caller in enumerate(callers)
    ]
    gevent.joinall(jobs, raise_error=True)
    print("unanswered:", sum(caller.n_unanswered for caller in callers))
    print("begun:", [server.n_begun for server in servers])
    assert_holds(vm)


def test_callers_that_leave_answers_without_end_leave_no_memory_in_the_own_program(
    stack, cluster
):
    vm, servers = start_vm(stack, cluster, 200)
    jobs = [
        gevent.spawn(
            send_and_leave,
            find_address(vm),
            make_requests(i, LONG_DEADLINE_MS, N_REQUESTS),
        )
        for i in range(N_CALLERS)
    ]
    gevent.joinall(jobs, raise_error=True)
    print("begun:", [server.n_begun for server in servers])
    assert_holds(vm)
