"""Clients that hold memory beside targets that send without end: no VM ends."""

import gevent
import pytest

from standins.edge_cell import DOMAINS, EdgeCell
from standins.process_limits import ProcessLimits

from .crowds import (
    HOLD_S,
    Crowd,
    ask_for,
    assert_holds,
    unfinished_body,
    unfinished_chunks,
    unfinished_head,
    wait_until_served,
)
from .endless import FORMS, EndlessServer

MEMORY_MB = 120
N_DESCRIPTORS_MAX = 4100
PREFIXES = {
    "/tools/": ("shop", "idempotent"),
    "/orders/": ("shop", "non_idempotent"),
    "/other/": ("desk", "idempotent"),
}
TIMEOUT_MS = 150
HELD_FORMS = ["no length", "whole events", "told length 10^12"]
N_CALLERS = 12
N_REQUESTS = 20
ANSWER_BYTES = 4_000_000
LARGE_BYTES = 1_000_000
CHUNK_BYTES = 16_384
HEAD_BYTES = 16_000
# Limit of descriptors that the system sets, and clients that are more.
FEW_DESCRIPTORS = 128
N_CLIENTS = 192
SMALL_BYTES = 60_000


@pytest.fixture
def cell(tmp_path):
    with EdgeCell(tmp_path, n_vms=1, memory_mb=MEMORY_MB) as made:
        made.add_server("desk-0", "desk", DOMAINS[0])
        for i, form in enumerate(HELD_FORMS):
            server = EndlessServer(f"shop-{i}", "shop", DOMAINS[0])
            server.mode = FORMS[form]
            server.start(made.stack)
            made.write_entry(server)
        made.set_config(1, PREFIXES, TIMEOUT_MS, TIMEOUT_MS)
        yield made


def start_vm(cell, limits):
    """Start the VM; return it and a function that sends an ordinary request."""
    (vm,) = cell.vms
    vm.limits = limits
    cell.start_all()

    def is_serving():
        return cell.send(vm, "/other/x").status == 200

    wait_until_served(is_serving)
    return vm, is_serving


def request_endless(cell, vm):
    """Send requests to the targets without end, some at a time; return the jobs."""

    def send_many(path, method):
        for i in range(N_REQUESTS):
            cell.send(vm, f"{path}{i}", method)

    kinds = [("/tools/", "GET"), ("/orders/", "POST")]
    return [gevent.spawn(send_many, *kinds[i % 2]) for i in range(N_CALLERS)]


@pytest.mark.parametrize("cores", [None, {0}], ids=["all cores", "one core"])
def test_crowds_beside_targets_without_end_end_no_vm(cell, cores):
    """Guards against answers and callers that together take more than the memory."""
    vm, is_serving = start_vm(cell, ProcessLimits(cores=cores))
    jobs = request_endless(cell, vm)
    crowd = Crowd((vm.ip, vm.ports["front"]), cell.stack)
    crowd.ask(ask_for("/other/x", ANSWER_BYTES), 30)
    crowd.send(unfinished_body("/orders/x", LARGE_BYTES), 60)
    crowd.send(unfinished_chunks("/orders/x", LARGE_BYTES, CHUNK_BYTES), 60)
    crowd.send(unfinished_head("/orders/x", HEAD_BYTES), 300)
    gevent.joinall(jobs)
    gevent.sleep(HOLD_S)
    wait_until_served(is_serving)
    assert_holds(vm.process, vm.ip, MEMORY_MB, N_DESCRIPTORS_MAX)


def test_unfinished_bodies_beyond_the_descriptors_keep_nobody_out(cell):
    """Guards against clients that stop in their bodies and take every descriptor."""
    vm, is_serving = start_vm(cell, ProcessLimits(n_descriptors=FEW_DESCRIPTORS))
    crowd = Crowd((vm.ip, vm.ports["front"]), cell.stack)
    crowd.send(unfinished_body("/orders/x", SMALL_BYTES), N_CLIENTS)
    gevent.sleep(HOLD_S)
    wait_until_served(is_serving)
    assert_holds(vm.process, vm.ip, MEMORY_MB, FEW_DESCRIPTORS)
