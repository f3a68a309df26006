"""A VM that is late answers or refuses each request by its deadline."""

import signal
import time
from collections import Counter
from functools import partial

import gevent
import pytest
from gevent import socket

from standins.edge_cell import HOST, EdgeCell

from .slices import carried_per_s, send_steadily, slices

PREFIXES = {"/tools/": ("shop", "idempotent")}
FREEZE_S = 0.7
HEAD_PAUSE_S = 0.6
WORK_MS = 1500.0
# Time by which an answer may come late.
MARGIN_S = 0.3
# The load, as a multiple of what the process carries, and the time after which it must
# know that it is late.
LOAD_FACTOR = 2.0
LOAD_S = 8.0
LATE_FROM_S = 3.0
LATE_MARGIN_S = 0.5


@pytest.fixture
def cell(tmp_path):
    with EdgeCell(tmp_path, n_vms=1) as cell:
        cell.add_server("shop-0", n_slots=6, work_ms=WORK_MS)
        cell.set_config(1, PREFIXES, timeout_ms=5000)
        cell.start_all()
        yield cell


@pytest.mark.parametrize("deadline_ms", [400, 1000])
def test_a_deadline_counts_from_the_arrival_of_an_unread_request(cell, deadline_ms):
    """Guards against callers that get no answer by their deadline from a late VM."""
    vm = cell.vms[0]
    cell.signal(vm, signal.SIGSTOP)
    began_s = time.monotonic()
    call = gevent.spawn(cell.send, vm, "/tools/x", **{"Deadline-Ms": str(deadline_ms)})
    gevent.sleep(FREEZE_S)
    cell.signal(vm, signal.SIGCONT)
    status = call.get().status
    due_s = max(FREEZE_S, deadline_ms / 1000.0) + MARGIN_S
    assert time.monotonic() - began_s < due_s
    assert status == (503 if deadline_ms < FREEZE_S * 1000.0 else 504)
    assert len(cell.servers[0].arrivals) == (status == 504)


def test_a_deadline_counts_from_the_first_byte_of_a_head_that_comes_in_parts(cell):
    """Guards against callers that pause within a head and get no answer in time."""
    vm, deadline_s = cell.vms[0], 0.9
    address = (vm.ip, vm.ports["front"])
    with socket.create_connection(address, timeout=5.0) as sock:
        began_s = time.monotonic()
        sock.sendall(f"GET /tools/x HTTP/1.1\r\nHost: {HOST}\r\n".encode())
        gevent.sleep(HEAD_PAUSE_S)
        sock.sendall(b"Attempt-Id: a\r\nDeadline-Ms: 900\r\n\r\n")
        status = sock.recv(4096)[9:12]
    assert status == b"504"
    assert time.monotonic() - began_s < deadline_s + HEAD_PAUSE_S / 2.0


def send_and_time(cell):
    """Send one request; return its status and how long it took."""
    began_s = time.monotonic()
    status = cell.send(cell.vms[0], "/tools/x", **{"Deadline-Ms": "1000"}).status
    return status, time.monotonic() - began_s


def test_each_request_to_a_vm_without_enough_processor_ends_in_time(cell):
    """Guards against requests that get neither an answer nor a refusal."""
    cell.timeout_s = 4.0
    cell.servers[0].work_ms = 10.0
    cell.servers[0].n_slots = 1000
    send = partial(send_and_time, cell)
    pid = cell.vms[0].process.pid
    rate_per_s = LOAD_FACTOR * carried_per_s(pid, send)
    with slices(pid):
        ends = send_steadily(send, rate_per_s, LOAD_S, LATE_FROM_S)
    statuses = Counter(status for status, _ in ends)
    assert statuses[503] > 0
    assert statuses[200] > 0
    late = [end for end in ends if end[0] == 0 or end[1] > 1.0 + LATE_MARGIN_S]
    assert not late, (statuses, late)
    cell.wait_for(lambda: cell.send(cell.vms[0], "/tools/x").status == 200)
