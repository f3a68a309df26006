"""Answers without end that a timeout cuts off leave nothing in a VM's memory."""

import gevent
import pytest

from standins.edge_cell import DOMAINS, EdgeCell
from standins.process_limits import ProcessUsage

from .endless import FORMS, EndlessServer, peak_memory_mb

PREFIXES = {
    "/tools/": ("shop", "idempotent"),
    "/orders/": ("shop", "non_idempotent"),
    "/other/": ("desk", "idempotent"),
}
# Memory and descriptors of each VM in the settings.
MEMORY_MB = 120
N_DESCRIPTORS_MAX = 4100
# Timeout of the routes: so short that it ends most answers, not their size.
TIMEOUT_MS = 150
# Callers of each VM, and requests that each of them sends one after the other.
N_CALLERS = 8
N_REQUESTS = 25


@pytest.fixture
def cell(tmp_path):
    with EdgeCell(tmp_path, memory_mb=MEMORY_MB) as made:
        made.add_server("desk-0", "desk", DOMAINS[0])
        yield made


def send_many(cell, vm, path, method):
    for i in range(N_REQUESTS):
        cell.send(vm, f"{path}{i}", method)


@pytest.mark.parametrize("status", [200, 500])
@pytest.mark.parametrize("form", sorted(FORMS))
def test_answers_cut_off_by_a_timeout_leave_no_memory_behind(cell, form, status):
    for i in range(3):
        server = EndlessServer(f"shop-{i}", "shop", DOMAINS[i])
        server.mode = FORMS[form].with_status(status)
        server.start(cell.stack)
        cell.servers.append(server)
        cell.write_entry(server)
    cell.set_config(1, PREFIXES, TIMEOUT_MS, TIMEOUT_MS)
    cell.start_all()
    cell.deadline_ms = 2 * TIMEOUT_MS
    callers = [
        gevent.spawn(
            send_many, cell, vm, *("/tools/", "GET") if i % 2 else ("/orders/", "POST")
        )
        for vm in cell.vms
        for i in range(N_CALLERS)
    ]
    gevent.joinall(callers)
    peaks = [peak_memory_mb(vm.process.pid) for vm in cell.vms]
    print("peak MB:", [round(peak) for peak in peaks])
    assert [vm.process.poll() for vm in cell.vms] == [None] * len(cell.vms)
    assert max(peaks) <= MEMORY_MB
    for vm in cell.vms:
        usage = ProcessUsage.from_process(vm.process.pid)
        assert usage.n_descriptors <= N_DESCRIPTORS_MAX
    cell.deadline_ms = 4000
    assert {cell.send(vm, "/other/x").status for vm in cell.vms} == {200}
