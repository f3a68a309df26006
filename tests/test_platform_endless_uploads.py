"""Uploads to targets that send without end, in probes too, while VMs restart."""

import signal

import gevent
import pytest

from standins.edge_cell import DOMAINS, EdgeCell

from .endless import FORMS, FRAMING_FORMS, EndlessServer, assert_within
from .endless_callers import CallerRequest, KeptCaller

PREFIXES = {
    "/up/": ("shop", "upload"),
    "/tools/": ("shop", "idempotent"),
    "/other/": ("desk", "idempotent"),
}
MEMORY_MB = 200
N_DESCRIPTORS_MAX = 4100
TIMEOUT_MS = 300
# Sizes of the bodies, in turn.
BODY_BYTES = (100_000, 400_000, 1_000_000)
# Callers of each VM, and requests that each of them sends.
N_CALLERS = 8
N_REQUESTS = 12
# Time between the steps of an operator.
STEP_S = 0.5
STOP_TIMEOUT_S = 20.0
# Number of probes without end that the VMs begin together.
N_PROBES = 20
HELD_FORMS = [FORMS["no length"], FORMS["whole events"], FRAMING_FORMS["chunks"]]


@pytest.fixture
def cell(tmp_path):
    made = EdgeCell(tmp_path)
    made.memory_mb = MEMORY_MB
    with made:
        made.add_server("desk-0", "desk", DOMAINS[0])
        yield made


def start_cell(cell):
    """Start the VMs and the servers, of which one reads bodies while it sends."""
    servers = []
    for i, form in enumerate(HELD_FORMS):
        server = EndlessServer(f"shop-{i}", "shop", DOMAINS[i])
        server.mode = form
        server.reads_on = i == 0
        server.start(cell.stack)
        cell.write_entry(server)
        servers.append(server)
    cell.set_config(1, PREFIXES, TIMEOUT_MS, TIMEOUT_MS)
    cell.start_all()
    return servers


def make_requests(caller_id):
    """Return uploads and, in every third place, requests that may be repeated."""
    requests = []
    for i in range(N_REQUESTS):
        method, path = ("GET", "/tools/") if i % 3 == 2 else ("POST", "/up/")
        n_bytes = BODY_BYTES[(caller_id + i) % len(BODY_BYTES)]
        request_id = f"{caller_id}-{i}"
        requests.append(
            CallerRequest(method, f"{path}{i}", request_id, 2 * TIMEOUT_MS, n_bytes)
        )
    return requests


def start_callers(cell):
    """Start the callers of all VMs; return them and their greenlets."""
    addresses = [(vm.ip, vm.ports["front"]) for vm in cell.vms] * N_CALLERS
    callers = [KeptCaller(address) for address in addresses]
    jobs = [
        gevent.spawn(caller.run, make_requests(i)) for i, caller in enumerate(callers)
    ]
    return callers, jobs


def restart(cell, vm):
    """Check a VM, stop it as planned and start it again; return the exit code."""
    assert_within(vm.process, MEMORY_MB, N_DESCRIPTORS_MAX)
    cell.signal(vm, signal.SIGTERM)
    cell.wait_for(lambda: vm.process.poll() is not None, STOP_TIMEOUT_S)
    code = vm.process.returncode
    cell.start_vm(vm)
    cell.wait_for(lambda: cell.is_ready(vm))
    return code


def assert_holds(cell, callers):
    """Check the VMs, and that each serves an ordinary request."""
    print("unanswered:", sum(caller.n_unanswered for caller in callers))
    print("answered:", sum(caller.n_answered for caller in callers))
    for vm in cell.vms:
        assert_within(vm.process, MEMORY_MB, N_DESCRIPTORS_MAX)
    cell.deadline_ms = 4000
    assert {cell.send(vm, "/other/x").status for vm in cell.vms} == {200}


def test_uploads_to_targets_without_end_take_no_more_than_the_memory(cell):
    start_cell(cell)
    callers, jobs = start_callers(cell)
    gevent.joinall(jobs, raise_error=True)
    assert_holds(cell, callers)


def test_probes_without_end_take_no_more_than_the_memory(cell):
    servers = start_cell(cell)
    callers, jobs = start_callers(cell)
    gevent.sleep(STEP_S)
    for server in servers:
        server.health_form = server.mode
        server.n_load_probes = 0
    gevent.joinall(jobs, raise_error=True)
    cell.wait_for(lambda: sum(server.n_load_probes for server in servers) >= N_PROBES)
    assert_holds(cell, callers)


def test_vms_restart_while_targets_send_without_end(cell):
    """Guards against stops that answers without end hold up, or end with an error."""
    start_cell(cell)
    callers, jobs = start_callers(cell)
    codes = []
    for vm in cell.vms:
        gevent.sleep(STEP_S)
        codes.append(restart(cell, vm))
    gevent.joinall(jobs, raise_error=True)
    assert codes == [0] * len(cell.vms)
    assert_holds(cell, callers)
