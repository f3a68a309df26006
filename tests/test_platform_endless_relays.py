"""Answers without end that one VM relays from another harm neither of them."""

import gevent
import pytest

from standins.edge_cell import DOMAINS, EdgeCell

from .endless import FORMS, FRAMING_FORMS, EndlessServer, assert_within
from .endless_callers import CallerRequest, KeptCaller, send_and_leave

PREFIXES = {
    "/tools/": ("shop", "idempotent"),
    "/orders/": ("shop", "non_idempotent"),
    "/other/": ("desk", "idempotent"),
}
MEMORY_MB = 120
N_DESCRIPTORS_MAX = 4100
TIMEOUT_MS = 150
N_CALLERS = 16
N_REQUESTS = 15
# The forms whose bytes a VM holds, one for each server.
HELD_FORMS = [FORMS["no length"], FORMS["whole events"], FRAMING_FORMS["chunks"]]


@pytest.fixture
def cell(tmp_path):
    made = EdgeCell(tmp_path, n_vms=4)
    made.memory_mb = MEMORY_MB
    with made:
        made.add_server("desk-0", "desk", DOMAINS[0])
        yield made


def start_cell(cell, status):
    """Start the servers and the VMs; two of these are in the first domain."""
    for i, form in enumerate(HELD_FORMS):
        server = EndlessServer(f"shop-{i}", "shop", DOMAINS[0])
        server.mode = form.with_status(status)
        server.start(cell.stack)
        cell.write_entry(server)
    cell.set_config(1, PREFIXES, TIMEOUT_MS, TIMEOUT_MS)
    cell.start_all()


def find_relay(cell):
    """Return the VM of the first domain that does not own its targets."""
    vms = [vm for vm in cell.vms if vm.domain == DOMAINS[0]]
    cell.wait_for(lambda: len(cell.look_up(vms[0], DOMAINS[0])) >= 2)
    owner_ip = cell.look_up(vms[0], DOMAINS[0])[0].partition(":")[0]
    return next(vm for vm in vms if vm.ip != owner_ip)


def make_requests(caller_id):
    method, path = ("POST", "/orders/") if caller_id % 2 else ("GET", "/tools/")
    return [
        CallerRequest(method, f"{path}{i}", f"{caller_id}-{i}", 2 * TIMEOUT_MS)
        for i in range(N_REQUESTS)
    ]


def wait_for_answers(address, requests):
    KeptCaller(address).run(requests)


@pytest.mark.parametrize(
    "send, status",
    [(wait_for_answers, 200), (wait_for_answers, 500), (send_and_leave, 200)],
)
def test_relayed_answers_without_end_leave_no_memory_behind(cell, send, status):
    start_cell(cell, status)
    relay = find_relay(cell)
    address = relay.ip, relay.ports["front"]
    jobs = [gevent.spawn(send, address, make_requests(i)) for i in range(N_CALLERS)]
    gevent.joinall(jobs, raise_error=True)
    print("relay:", relay.name)
    for vm in cell.vms:
        assert_within(vm.process, MEMORY_MB, N_DESCRIPTORS_MAX)
    cell.deadline_ms = 4000
    assert {cell.send(vm, "/other/x").status for vm in cell.vms} == {200}
