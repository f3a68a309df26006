"""A VM that did not run for a while serves the requests that came meanwhile."""

import signal

import gevent
import msgspec
from gevent import socket as gevent_socket

from standins.edge_cell import DOMAINS, GRACE_MS, HOST, EdgeCell

PREFIXES = {"/tools/": ("shop", "idempotent"), "/orders/": ("shop", "non_idempotent")}
# The VM closes idle connections 2 s later than it tells callers.
IDLE_LIMIT_S = 2.1
IDLE_BEFORE_S = 1.0
FREEZE_S = 2.0
# Freeze that is longer than the maximum silence of a peer in another failure domain.
LONG_FREEZE_S = 4.0
WORK_MS = 200.0
REQUEST = (
    f"GET /tools/x HTTP/1.1\r\nHost: {HOST}\r\n"
    "Attempt-Id: a\r\nDeadline-Ms: 5000\r\n\r\n"
).encode()
BODY = b"ran /tools/x "
ORDER = (
    f"POST /orders/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: left\r\n"
    "Deadline-Ms: 2000\r\nContent-Length: 5\r\n\r\norder"
).encode()


def change_limits(cell, **limits):
    """Publish the configuration once more, with other limits of callers."""
    raw = msgspec.json.decode(cell.store.items["op/config"].value)
    raw["Limits"].update(limits)
    cell.store.put("op/config", {**raw, "Version": "r2"})


def read_answer(sock):
    """Return the answer to one request, or what came before the connection's end."""
    data = b""
    while not data.endswith(BODY) and (chunk := sock.recv(65536)):
        data += chunk
    return data


def test_a_request_that_came_on_an_idle_connection_in_a_freeze_is_served(tmp_path):
    """Guards against a kept connection that is closed with a request in it."""
    with EdgeCell(tmp_path, n_vms=1) as cell:
        cell.add_server("shop-0", n_slots=6)
        cell.set_config(1, PREFIXES, timeout_ms=5000)
        change_limits(cell, IdleTimeout="100ms")
        cell.start_all()
        vm = cell.vms[0]
        sock = gevent_socket.create_connection((vm.ip, vm.ports["front"]), timeout=6.0)
        cell.stack.callback(sock.close)
        sock.sendall(REQUEST)
        assert read_answer(sock).startswith(b"HTTP/1.1 200")
        gevent.sleep(IDLE_BEFORE_S)
        cell.signal(vm, signal.SIGSTOP)
        sock.sendall(REQUEST)
        gevent.sleep(FREEZE_S)
        cell.signal(vm, signal.SIGCONT)
        assert read_answer(sock).startswith(b"HTTP/1.1 200")


def test_headers_that_came_in_a_freeze_longer_than_their_limit_are_served(tmp_path):
    """Guards against 408 to requests that had arrived as a whole."""
    with EdgeCell(tmp_path, n_vms=1) as cell:
        cell.add_server("shop-0", n_slots=6)
        cell.set_config(1, PREFIXES, timeout_ms=5000)
        change_limits(cell, HeaderTimeout="1s")
        cell.start_all()
        vm = cell.vms[0]
        address = (vm.ip, vm.ports["front"])
        socks = [gevent_socket.create_connection(address, timeout=6.0) for _ in "1234"]
        for sock in socks:
            cell.stack.callback(sock.close)
            sock.sendall(REQUEST[:-1])
        gevent.sleep(0.2)
        cell.signal(vm, signal.SIGSTOP)
        for sock in socks:
            sock.sendall(REQUEST[-1:])
        gevent.sleep(FREEZE_S)
        cell.signal(vm, signal.SIGCONT)
        statuses = [read_answer(sock)[9:12] for sock in socks]
        assert statuses == [b"200"] * len(socks)


def test_an_answer_that_came_in_a_freeze_is_passed_on(tmp_path):
    """Guards against a 504 to an order that ran and was answered in time."""
    with EdgeCell(tmp_path, n_vms=1) as cell:
        server = cell.add_server("shop-0", work_ms=WORK_MS)
        cell.set_config(1, PREFIXES, timeout_ms=5000)
        cell.start_all()
        vm = cell.vms[0]
        waiting = gevent.spawn(
            cell.send, vm, "/orders/x", "POST", **{"Deadline-Ms": "1000"}
        )
        cell.wait_for(lambda: server.runs)
        cell.signal(vm, signal.SIGSTOP)
        gevent.sleep(FREEZE_S)
        cell.signal(vm, signal.SIGCONT)
        assert waiting.get().status == 200


def test_a_vm_that_was_frozen_still_knows_its_peers(tmp_path):
    """Guards against requests that a woken VM gives up as if it were alone."""
    with EdgeCell(tmp_path, n_vms=len(DOMAINS) + 1) as cell:
        cell.add_server("shop-0")
        cell.set_config(1, PREFIXES)
        cell.start_all()
        vm, peer = cell.vms[0], cell.vms[-1]
        assert vm.domain == peer.domain
        cell.wait_for(lambda: (peer.ip, "peer: heard") in peer_events(cell, vm))
        cell.signal(vm, signal.SIGSTOP)
        gevent.sleep(LONG_FREEZE_S)
        cell.signal(vm, signal.SIGCONT)
        gevent.sleep(FREEZE_S)
        events = peer_events(cell, vm)
        assert [event for event in events if event[1] == "peer: silent"] == []


def peer_events(cell, vm):
    """Return the address and event of each log line of a VM about a peer."""
    lines = (cell.folder / f"{vm.name}.log").read_bytes().splitlines()
    records = [msgspec.json.decode(line) for line in lines]
    return [(r.get("subject"), r["event"]) for r in records if "peer:" in r["event"]]


WORK_MS = 400.0
GRACE_S = GRACE_MS / 1000.0
# A freeze around SIGTERM, and one that ends within the stop's last part.
AROUND_S = 1.3
LATE_FREEZE_S = 2.45


def send_orders_until_exit(cell, vm):
    """Send orders to a stopping VM, killed after its grace period; return their jobs.

    The VM must have got SIGTERM just before. It is frozen at first.
    """
    jobs = {}
    end_s = gevent.get_hub().loop.now() + GRACE_S - AROUND_S
    while vm.process.poll() is None:
        if gevent.get_hub().loop.now() > end_s:
            cell.kill(vm)
            break
        name = f"order-{len(jobs)}"
        headers = {"Attempt-Id": name, "Deadline-Ms": "1000"}
        jobs[name] = gevent.spawn(
            cell.send, vm, "/orders/x", "POST", b"order", **headers
        )
        gevent.sleep(0.02)
    gevent.joinall(jobs.values())
    return jobs


def test_a_stop_that_was_requested_in_a_freeze_ends_within_its_grace_period(tmp_path):
    """Guards against orders that are taken after the wake and cut by the kill."""
    with EdgeCell(tmp_path, n_vms=1) as cell:
        cell.add_server("shop-0", n_slots=100, work_ms=WORK_MS)
        cell.set_config(1, PREFIXES)
        cell.start_all()
        vm = cell.vms[0]
        cell.signal(vm, signal.SIGSTOP)
        cell.signal(vm, signal.SIGTERM)
        gevent.sleep(AROUND_S)
        cell.signal(vm, signal.SIGCONT)
        jobs = send_orders_until_exit(cell, vm)
        ran = set(cell.servers[0].runs) & set(jobs)
        assert {jobs[name].value.status for name in ran} <= {200}
        assert vm.process.wait() == 0


def test_an_answer_that_came_in_a_freeze_is_sent_at_the_end_of_a_stop(tmp_path):
    """Guards against a stop that ends at its wake with answers still to be read."""
    with EdgeCell(tmp_path, n_vms=1) as cell:
        cell.add_server("shop-0", work_ms=WORK_MS)
        cell.set_config(1, PREFIXES, timeout_ms=5000)
        cell.start_all()
        vm = cell.vms[0]
        headers = {"Attempt-Id": "a", "Deadline-Ms": "4000"}
        job = gevent.spawn(cell.send, vm, "/orders/x", "POST", b"order", **headers)
        gevent.sleep(WORK_MS / 2000.0)
        cell.signal(vm, signal.SIGTERM)
        gevent.sleep(0.1)
        cell.signal(vm, signal.SIGSTOP)
        gevent.sleep(LATE_FREEZE_S)
        cell.signal(vm, signal.SIGCONT)
        assert job.get(timeout=2.0).status == 200


RELAYED_WORK_MS = 300.0


def test_a_vm_that_wakes_passes_on_what_its_peer_answered_in_the_freeze(tmp_path):
    """Guards against a peer that counts as silent because this VM did not listen."""
    with EdgeCell(tmp_path, n_vms=6) as cell:
        for i in range(3):
            domain = cell.vms[i].domain
            cell.add_server(f"shop-{i}", "shop", domain, work_ms=RELAYED_WORK_MS)
        cell.set_config(1, PREFIXES, timeout_ms=5000)
        cell.start_all()
        vms = [vm for vm in cell.vms if vm.domain == cell.vms[0].domain]
        cell.wait_for(lambda: len(cell.look_up(vms[0], vms[0].domain)) == len(vms))
        owner_ip = cell.look_up(vms[0], vms[0].domain)[0].partition(":")[0]
        other = next(vm for vm in vms if vm.ip != owner_ip)
        headers = {"Deadline-Ms": "4000"}
        job = gevent.spawn(cell.send, other, "/tools/x", **headers)
        cell.wait_for(lambda: any(server.n_running for server in cell.servers))
        cell.signal(other, signal.SIGSTOP)
        gevent.sleep(FREEZE_S)
        cell.signal(other, signal.SIGCONT)
        assert job.get(timeout=3.0).status == 200


def test_an_order_whose_caller_left_in_the_freeze_does_not_run(tmp_path):
    """Guards against orders that run long after their callers gave them up."""
    with EdgeCell(tmp_path, n_vms=1) as cell:
        server = cell.add_server("shop-0")
        cell.set_config(1, PREFIXES)
        cell.start_all()
        vm = cell.vms[0]
        cell.signal(vm, signal.SIGSTOP)
        sock = gevent_socket.create_connection((vm.ip, vm.ports["front"]), timeout=6.0)
        sock.sendall(ORDER)
        gevent.sleep(FREEZE_S / 2.0)
        sock.close()
        cell.signal(vm, signal.SIGCONT)
        assert cell.send(vm, "/orders/later", "POST").status == 200
        gevent.sleep(0.2)
        assert "left" not in server.runs
