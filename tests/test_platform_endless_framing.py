"""Answers without end whose framing is ambiguous harm neither the VM nor others."""

import gevent
import pytest

from standins.edge_cell import DOMAINS, EdgeCell

from .endless import FRAMING_FORMS, EndlessServer, assert_within
from .endless_callers import CallerRequest, KeptCaller

MEMORY_MB = 120
N_DESCRIPTORS_MAX = 4100
TIMEOUT_MS = 150
# Callers of each VM for each form, and requests that each of them sends.
N_CALLERS = 4
N_REQUESTS = 12
# Forms that one cell has at a time.
GROUPS = {
    "lengths": ["told length twice", "told length beside chunks", "chunks"],
    "no body": ["behind HEAD", "behind 204", "behind 304"],
    "outside bodies": [
        "behind an interim answer",
        "interim answers",
        "trailers",
        "chunk extension",
    ],
}


@pytest.fixture
def cell(tmp_path):
    with EdgeCell(tmp_path, memory_mb=MEMORY_MB) as made:
        made.add_server("desk-0", "desk", DOMAINS[0])
        yield made


def start_cell(cell, names):
    """Start the VMs, and for each form a service with a server in each domain."""
    prefixes = {"/other/": ("desk", "idempotent")}
    for i, name in enumerate(names):
        prefixes[f"/form-{i}/"] = (f"form-{i}", "idempotent")
        for j, domain in enumerate(DOMAINS):
            server = EndlessServer(f"form-{i}-{j}", f"form-{i}", domain)
            server.mode = FRAMING_FORMS[name]
            server.start(cell.stack)
            cell.write_entry(server)
    cell.set_config(1, prefixes, TIMEOUT_MS, TIMEOUT_MS)
    cell.start_all()


def make_requests(i_form, name, caller_id):
    method = "HEAD" if name == "behind HEAD" else "GET"
    return [
        CallerRequest(method, f"/form-{i_form}/{i}", f"{caller_id}-{i}", 2 * TIMEOUT_MS)
        for i in range(N_REQUESTS)
    ]


@pytest.mark.parametrize("group", GROUPS)
def test_bytes_behind_ambiguous_framing_take_no_more_than_the_memory(cell, group):
    names = GROUPS[group]
    start_cell(cell, names)
    callers, jobs = [], []
    for vm in cell.vms:
        for i, name in enumerate(names):
            for j in range(N_CALLERS):
                caller = KeptCaller((vm.ip, vm.ports["front"]))
                requests = make_requests(i, name, f"{vm.name}-{i}-{j}")
                callers.append(caller)
                jobs.append(gevent.spawn(caller.run, requests))
    gevent.joinall(jobs, raise_error=True)
    print("unanswered:", sum(caller.n_unanswered for caller in callers))
    for vm in cell.vms:
        assert_within(vm.process, MEMORY_MB, N_DESCRIPTORS_MAX)
    cell.deadline_ms = 4000
    assert {cell.send(vm, "/other/x").status for vm in cell.vms} == {200}
