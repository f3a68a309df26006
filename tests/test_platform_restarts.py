"""What a VM knew before a restart or a freeze is not used afterwards."""

import signal
from time import monotonic

import gevent
import pytest

from standins.edge_cell import DOMAINS, EdgeCell

ROUTES = {"/tools/": ("tools", "idempotent"), "/old/": ("tools", "non_idempotent")}
NEW_ROUTES = {"/tools/": ("tools", "idempotent"), "/new/": ("tools", "idempotent")}
# Maximum time after a fault until a VM reaches the store again and has caught up.
RECOVERY_S = 3.0
# Time after the start until each VM has registered and keeps one connection to the
# store.
SETTLE_S = 4.0
# Time after which a VM whose connections went silent must act on what it then missed.
CONTACT_S = 3.0


@pytest.fixture
def cell(tmp_path):
    with EdgeCell(tmp_path) as made:
        for i in range(3):
            made.add_server(f"tools-{i}", "tools", DOMAINS[i])
        made.set_config(1, ROUTES)
        made.start_all()
        yield made


def change_everything(cell):
    """Let one server leave, drain another, and publish a new version."""
    gone, drained, _ = cell.servers
    cell.store.delete(f"servers/{gone.server_id}")
    drained.state = "draining"
    cell.write_entry(drained)
    cell.set_config(2, NEW_ROUTES)
    return gone, drained


def assert_only_the_new_state_is_used(cell, vms):
    gone, drained, kept = cell.servers
    before = len(gone.arrivals), len(drained.arrivals)
    for vm in vms:
        for path in ("/tools/x", "/new/x"):
            assert {cell.send(vm, path).status for _ in range(4)} == {200}
        assert cell.send(vm, "/old/x", "POST").status == 404
    assert (len(gone.arrivals), len(drained.arrivals)) == before
    assert sum(kept.runs.values()) > 0


def test_a_restarted_vm_uses_nothing_that_was_withdrawn_meanwhile(cell):
    vm = cell.vms[0]
    assert cell.send(vm, "/old/x", "POST").status == 200
    cell.kill(vm)
    change_everything(cell)
    gevent.sleep(1.0)
    cell.start_vm(vm)
    cell.wait_for(lambda: cell.is_ready(vm))
    assert_only_the_new_state_is_used(cell, cell.vms)


def test_vms_that_all_restart_use_nothing_that_was_withdrawn_meanwhile(cell):
    for vm in cell.vms:
        cell.kill(vm)
    change_everything(cell)
    cell.start_all()
    assert_only_the_new_state_is_used(cell, cell.vms)


def test_a_vm_that_restarts_without_history_uses_nothing_withdrawn(cell):
    vm = cell.vms[0]
    cell.kill(vm)
    change_everything(cell)
    cell.store.compact_history()
    cell.start_vm(vm)
    cell.wait_for(lambda: cell.is_ready(vm))
    assert_only_the_new_state_is_used(cell, [vm])


def test_a_vm_that_was_frozen_catches_up(cell):
    vm = cell.vms[0]
    cell.signal(vm, signal.SIGSTOP)
    change_everything(cell)
    gevent.sleep(3.0)
    cell.signal(vm, signal.SIGCONT)
    gevent.sleep(RECOVERY_S)
    assert_only_the_new_state_is_used(cell, [vm])


def test_a_frozen_vm_that_wakes_lets_no_other_server_run_its_requests(cell):
    """The address of a server that left belongs to a server of another service."""
    vm = cell.vms[0]
    sent = [gevent.spawn(cell.send, vm, "/tools/x") for _ in range(3)]
    gevent.joinall(sent)
    cell.signal(vm, signal.SIGSTOP)
    for server in cell.servers:
        cell.store.delete(f"servers/{server.server_id}")
        server.server_id = f"other-{server.server_id}"
        server.service = "other"
        cell.write_entry(server)
    gevent.sleep(3.0)
    before = sum(sum(server.runs.values()) for server in cell.servers)
    waiting = [gevent.spawn(cell.send, vm, "/old/x", "POST") for _ in range(4)]
    gevent.sleep(0.1)
    cell.signal(vm, signal.SIGCONT)
    gevent.joinall(waiting, timeout=6.0)
    assert {job.value.status for job in waiting} <= {503, 504, 0}
    assert sum(sum(server.runs.values()) for server in cell.servers) == before


def test_a_server_that_leaves_while_connections_to_the_store_are_silent_is_not_used(
    cell,
):
    """Guards against orders to servers that are gone (review case 2).

    The silence of a connection is no outage of the store: what is removed has left. It
    begins right after a change, when a VM is latest to notice it.
    """
    gone = cell.servers[0]
    gevent.sleep(SETTLE_S)
    cell.write_entry(cell.servers[1])
    gevent.sleep(0.1)
    silent_at_s = monotonic()
    cell.store.silence_connections()
    cell.store.delete(f"servers/{gone.server_id}")
    while monotonic() < silent_at_s + CONTACT_S:
        gevent.sleep(0.05)
    n_before = len(gone.arrivals)
    while monotonic() < silent_at_s + CONTACT_S + 2.0:
        for vm in cell.vms:
            assert cell.send(vm, "/tools/x").status == 200
            assert cell.send(vm, "/old/x", "POST").status == 200
    assert len(gone.arrivals) == n_before
