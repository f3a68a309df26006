"""A VM that is late answers or refuses each request by its deadline."""

import signal
import time

import gevent
import pytest

from standins.edge_cell import EdgeCell

PREFIXES = {"/tools/": ("shop", "idempotent")}
FREEZE_S = 0.7
WORK_MS = 1500.0
# Time by which an answer may come late.
MARGIN_S = 0.3


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
