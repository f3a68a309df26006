"""Processes under operators' limits: none ends, and no request is lost."""

import os
import resource
import signal
from contextlib import ExitStack

import gevent
import pytest
from gevent import socket as gevent_socket
from gevent.pool import Pool
from hornbeamstand_entry.edge.logs import FIRST_FLUSH_DELAY_MS

from standins.edge_cell import DOMAINS, GRACE_MS, EdgeCell
from standins.process_limits import (
    MEMORY_MB,
    N_DESCRIPTORS_MAX,
    ProcessLimits,
    ProcessUsage,
)

PREFIXES = {"/tools/": ("shop", "idempotent"), "/orders/": ("shop", "order")}
MS_PER_S = 1000.0
# Latency objective, timeout and deadline of all requests. No request is refused,
# hedged or late within it because the machine is busy.
PATIENCE_MS = 30_000
N_SERVERS = 8
N_REQUESTS = 300
# Maximum number of callers that wait at the same time. More of them than servers open
# new connections to the servers all the while.
N_CALLERS = 24
# Number of threads of a process: it starts none.
N_THREADS = 1
# Part of the limit of the address space that must stay free under traffic.
FREE_SHARE = 0.1
# Limit of descriptors that few callers reach, a number of callers that leaves some, and
# the time for which a process tries to accept connections before the test goes on.
FEW_DESCRIPTORS = 64
N_FIRST_CALLERS = 4
SETTLE_S = 0.3
FAILURE_WORDS = ("RuntimeError", "MemoryError", "Traceback", "Fatal Python error")

LIMITS = {
    "address space": ProcessLimits(address_space_mb=MEMORY_MB),
    "data": ProcessLimits(data_mb=MEMORY_MB),
    "descriptors": ProcessLimits(n_descriptors=N_DESCRIPTORS_MAX),
    "few descriptors": ProcessLimits(n_descriptors=FEW_DESCRIPTORS),
    "threads": ProcessLimits(n_threads=1),
    "all": ProcessLimits(MEMORY_MB, MEMORY_MB, N_DESCRIPTORS_MAX, 1),
}


@pytest.fixture
def cell(tmp_path):
    with EdgeCell(tmp_path, n_vms=2) as made:
        for i in range(N_SERVERS):
            made.add_server(f"shop-{i}", "shop", DOMAINS[i % 2], work_ms=5.0, n_slots=6)
        made.set_config(1, PREFIXES, PATIENCE_MS, PATIENCE_MS)
        made.deadline_ms = PATIENCE_MS
        made.timeout_s = PATIENCE_MS / MS_PER_S
        yield made


def send_many(cell):
    """Send requests to all VMs in turn, many at once.

    Returns the number of answers by status and, of failed ones, body.
    """
    counts = {}

    def send(i):
        vm = cell.vms[i % len(cell.vms)]
        path, method = ("/orders/x", "POST") if i % 3 == 0 else ("/tools/x", "GET")
        response = cell.send(vm, path, method)
        is_ok = response.status == 200
        answer = 200 if is_ok else (response.status, response.body)
        counts[answer] = counts.get(answer, 0) + 1

    pool = Pool(N_CALLERS)
    for i in range(N_REQUESTS):
        pool.spawn(send, i)
    pool.join(raise_error=True)
    return counts


def read_logs(cell):
    return "".join((cell.folder / f"{vm.name}.log").read_text() for vm in cell.vms)


def assert_unharmed(cell):
    """Check that all processes run well within the limits and logged no failure."""
    logs = read_logs(cell)
    assert [word for word in FAILURE_WORDS if word in logs] == [], logs[-3000:]
    assert [vm.process.poll() for vm in cell.vms] == [None] * len(cell.vms)
    for vm in cell.vms:
        usage = ProcessUsage.from_process(vm.process.pid)
        assert usage.n_threads == N_THREADS
        assert usage.address_space_mb <= (1 - FREE_SHARE) * MEMORY_MB


@pytest.mark.parametrize("name", LIMITS)
def test_traffic_under_a_limit_ends_no_process(cell, name):
    """Guards against what takes far more address space or threads than it uses."""
    for vm in cell.vms:
        vm.limits = LIMITS[name]
    cell.start_all()
    counts = send_many(cell)
    assert counts == {200: N_REQUESTS}
    assert cell.n_runs_max() == 1
    assert_unharmed(cell)


def test_a_planned_stop_under_all_limits_is_clean(cell):
    for vm in cell.vms:
        vm.limits = LIMITS["all"]
    cell.start_all()
    assert send_many(cell) == {200: N_REQUESTS}
    for vm in cell.vms:
        cell.signal(vm, signal.SIGTERM)
    assert [vm.process.wait(10.0) for vm in cell.vms] == [0] * len(cell.vms)
    assert not any(word in read_logs(cell) for word in FAILURE_WORDS)


def open_connections(vm, stack, first_bytes=b"", n_opened=2 * FEW_DESCRIPTORS):
    """Open connections, by default more than a process has descriptors."""
    for _ in range(n_opened):
        sock = stack.enter_context(gevent_socket.socket())
        sock.connect((vm.ip, vm.ports["front"]))
        sock.sendall(first_bytes)
    gevent.sleep(SETTLE_S)


def hold_all_descriptors(cell, vm, stack):
    """Begin requests; from some of them on, the process has no descriptor left."""
    open_connections(vm, stack, b"G", N_FIRST_CALLERS)
    take_free_descriptors(vm.process.pid, stack)
    open_connections(vm, stack, b"G")
    assert "Too many open files" in read_logs(cell)


def take_free_descriptors(process_id, stack):
    """Lower the limit of descriptors, so that the process gets no other one.

    The exit stack raises it again.
    """
    limit = resource.RLIMIT_NOFILE
    used = {int(name) for name in os.listdir(f"/proc/{process_id}/fd")}
    n_left = min(set(range(len(used) + 1)) - used)
    stack.callback(
        resource.prlimit, process_id, limit, (FEW_DESCRIPTORS, FEW_DESCRIPTORS)
    )
    resource.prlimit(process_id, limit, (n_left, FEW_DESCRIPTORS))


def test_idle_connections_keep_no_request_from_being_served(cell):
    """Guards against callers who hold all descriptors without a request."""
    vm = cell.vms[0]
    vm.limits = ProcessLimits(n_descriptors=FEW_DESCRIPTORS)
    cell.start_all()
    with ExitStack() as stack:
        open_connections(vm, stack)
        statuses = [cell.send(vm, "/tools/x").status for _ in range(5)]
        assert statuses == [200] * 5


def test_more_callers_than_a_process_has_descriptors_for_are_served(cell):
    """Guards against connections that end before their first request was read."""
    vm = cell.vms[0]
    vm.limits = ProcessLimits(n_descriptors=FEW_DESCRIPTORS)
    cell.start_all()
    requests = [gevent.spawn(cell.send, vm, "/tools/x") for _ in range(FEW_DESCRIPTORS)]
    gevent.joinall(requests)
    assert 0 not in {request.value.status for request in requests}
    assert_unharmed(cell)
    metrics = cell.call(vm, "metrics", "GET", "/metrics").body.decode()
    assert "hornbeamstand_connections_held_back 0.0" not in metrics
    assert "hornbeamstand_connections_held_back " in metrics
    cell.wait_for(lambda: "process: connections held back" in read_logs(cell))
    assert "process: descriptors limited" in read_logs(cell)


def test_a_process_without_descriptors_serves_once_it_has_some(cell):
    """Guards against tasks that end, also the log's, when no descriptor is free."""
    vm = cell.vms[0]
    vm.limits = ProcessLimits(n_descriptors=FEW_DESCRIPTORS)
    cell.start_all()
    with ExitStack() as stack:
        hold_all_descriptors(cell, vm, stack)
        gevent.sleep(FIRST_FLUSH_DELAY_MS / MS_PER_S)
        assert vm.process.poll() is None
    cell.wait_for(lambda: cell.send(vm, "/tools/x").status == 200)
    cell.wait_for(lambda: "answer: sent" in read_logs(cell))


def test_a_planned_stop_without_descriptors_serves_those_that_wait(cell):
    """Guards against a stop that ends when a connection finds no descriptor."""
    vm = cell.vms[0]
    vm.limits = ProcessLimits(n_descriptors=FEW_DESCRIPTORS)
    cell.start_all()
    with ExitStack() as stack:
        hold_all_descriptors(cell, vm, stack)
        cell.signal(vm, signal.SIGTERM)
        waiting = gevent.spawn(cell.send, vm, "/tools/x", **{"Deadline-Ms": "2200"})
        # The stop closes its listeners after half of the grace period.
        gevent.sleep(GRACE_MS / MS_PER_S / 2 + SETTLE_S)
        assert vm.process.poll() is None
    assert waiting.get().status == 200
    assert vm.process.wait(10.0) == 0
