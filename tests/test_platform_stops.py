"""A planned stop of an owner under load answers every request that it has accepted."""

import re
import signal

import gevent
import pytest
from gevent import socket as gevent_socket

from standins.edge_cell import DOMAINS, GRACE_MS, HOST, EdgeCell

PREFIXES = {"/tools/": ("shop", "idempotent"), "/orders/": ("shop", "non_idempotent")}
# More requests than the slots of all servers, so that some wait.
N_REQUESTS = 10
WORK_MS = 150.0


@pytest.fixture
def cell(tmp_path):
    with EdgeCell(tmp_path, n_vms=2 * len(DOMAINS)) as made:
        for i in range(3):
            made.add_server(f"shop-{i}", "shop", DOMAINS[i], work_ms=WORK_MS)
        made.set_config(1, PREFIXES)
        made.start_all()
        yield made


def vms_of_first_domain(cell):
    """Return the VM that owns the service in the first domain, and the other one."""
    vms = [vm for vm in cell.vms if vm.domain == DOMAINS[0]]
    cell.wait_for(lambda: len(cell.look_up(vms[0], DOMAINS[0])) == 2)
    first_ip = cell.look_up(vms[0], DOMAINS[0])[0].partition(":")[0]
    return sorted(vms, key=lambda vm: vm.ip != first_ip)


@pytest.mark.parametrize(("path", "method"), [("/tools/", "GET"), ("/orders/", "POST")])
def test_requests_that_wait_or_were_handed_over_are_answered(cell, path, method):
    owner, other = vms_of_first_domain(cell)
    sent = [
        gevent.spawn(cell.send, vm, f"{path}{i}", method)
        for i, vm in enumerate([owner, other] * (N_REQUESTS // 2))
    ]
    gevent.sleep(0.05)
    cell.signal(owner, signal.SIGTERM)
    gevent.joinall(sent, timeout=5.0)
    statuses = [job.value.status for job in sent]
    # A refusal is an answer too, but none may be cut off or left open.
    assert set(statuses) <= {200, 503}
    assert statuses.count(200) >= N_REQUESTS - 2
    if method == "POST":
        # Only a request that may be repeated is hedged.
        assert cell.n_runs_max() == 1
    cell.wait_for(lambda: owner.process.poll() is not None, 6.0)
    assert owner.process.returncode == 0


def test_an_owner_that_stops_hands_over_without_a_second_run(cell):
    """Orders go on through both VMs while the owner leaves and the other takes over."""
    owner, other = vms_of_first_domain(cell)
    statuses = []

    def send_orders(vm, n):
        for i in range(n):
            answer = cell.send(vm, f"/orders/{i}", "POST", b"order")
            statuses.append(answer.status)
            if answer.headers.get("connection") == "close":
                return

    jobs = [gevent.spawn(send_orders, vm, 12) for vm in (owner, other, other)]
    gevent.sleep(0.2)
    cell.signal(owner, signal.SIGTERM)
    gevent.joinall(jobs, timeout=10.0)
    assert set(statuses) <= {200, 503}
    assert cell.n_runs_max() == 1
    n_runs = sum(sum(server.runs.values()) for server in cell.servers)
    assert n_runs == statuses.count(200)


# Work that may last beyond the end of a stop whose grace period is 3 s.
LONG_WORK_MS = 1100.0
LONG_TIMEOUT_MS = 4000
# Deadline that lies before the end of a stop for orders that come early in it.
FITTING_DEADLINE_MS = 1900


@pytest.mark.parametrize("i_vm", [0, 1])
def test_no_order_is_passed_on_that_the_end_of_the_stop_may_cut(tmp_path, i_vm):
    """Guards against orders that are taken late in a stop and cut without an answer."""
    with EdgeCell(tmp_path, n_vms=2 * len(DOMAINS)) as cell:
        for i in range(3):
            cell.add_server(
                f"shop-{i}", "shop", DOMAINS[i], n_slots=30, work_ms=LONG_WORK_MS
            )
        cell.set_config(1, PREFIXES, LONG_TIMEOUT_MS)
        cell.start_all()
        vm = vms_of_first_domain(cell)[i_vm]
        known = [gevent.spawn(send_order, cell, vm, f"known-{i}") for i in range(3)]
        gevent.joinall(known)
        assert [job.value for job in known] == [200] * len(known)
        cell.signal(vm, signal.SIGTERM)
        jobs = {}
        while vm.process.poll() is None:
            name = f"late-{len(jobs)}"
            deadline_ms = (LONG_TIMEOUT_MS, FITTING_DEADLINE_MS)[len(jobs) % 2]
            jobs[name] = gevent.spawn(send_order, cell, vm, name, deadline_ms)
            gevent.sleep(0.02)
        gevent.joinall(jobs.values(), timeout=5.0)
        ran = {name for server in cell.servers for name in server.runs}
        statuses = {name: job.value for name, job in jobs.items()}
        assert {statuses[name] for name in ran & set(statuses)} == {200}
        refused = [name for name, status in statuses.items() if status == 503]
        assert refused
        assert not ran & set(refused)


def send_order(cell, vm, name, deadline_ms=LONG_TIMEOUT_MS):
    """Send one order; return the status, or 0 without an answer."""
    names = {"Attempt-Id": name, "Deadline-Ms": str(deadline_ms)}
    return cell.send(vm, "/orders/x", "POST", b"order", **names).status


# Work that no call has shown before, and an age of the stop at which a call with this
# deadline may end after the process does.
TAIL_WORK_MS = 1300.0
TAIL_DEADLINE_MS = 2000
LATE_S = 1.4


@pytest.mark.parametrize("i_vm", [0, 1])
def test_an_order_that_comes_late_in_a_stop_is_not_cut_by_a_tail_of_work(
    tmp_path, i_vm
):
    """Guards against orders that are taken because the calls before were short."""
    with EdgeCell(tmp_path, n_vms=2 * len(DOMAINS)) as cell:
        for i in range(3):
            cell.add_server(f"shop-{i}", "shop", DOMAINS[i], n_slots=30, work_ms=20.0)
        cell.set_config(1, PREFIXES, LONG_TIMEOUT_MS)
        cell.start_all()
        vm = vms_of_first_domain(cell)[i_vm]
        assert send_order(cell, vm, "short") == 200
        for server in cell.servers:
            server.work_ms = TAIL_WORK_MS
        cell.signal(vm, signal.SIGTERM)
        gevent.sleep(LATE_S)
        headers = {"Attempt-Id": "tail", "Deadline-Ms": str(TAIL_DEADLINE_MS)}
        response = cell.send(vm, "/orders/x", "POST", b"order", **headers)
        has_run = any(server.runs["tail"] for server in cell.servers)
        assert (response.status, has_run) in [(503, False), (200, True)]


# Work that no stop with the grace period of these tests can wait for.
ENDLESS_WORK_MS = 6000.0


@pytest.mark.parametrize(("path", "method"), [("/tools/", "GET"), ("/orders/", "POST")])
@pytest.mark.parametrize("i_vm", [0, 1])
def test_requests_that_the_end_of_a_stop_cuts_are_told_so(tmp_path, path, method, i_vm):
    """Guards against connections that end without an answer when the process exits."""
    with EdgeCell(tmp_path, n_vms=2 * len(DOMAINS)) as cell:
        for i in range(3):
            cell.add_server(f"shop-{i}", "shop", DOMAINS[i], n_slots=30, work_ms=20.0)
        cell.set_config(1, PREFIXES, 9000)
        cell.start_all()
        vm = vms_of_first_domain(cell)[i_vm]
        assert cell.send(vm, path, method).status == 200
        for server in cell.servers:
            server.work_ms = ENDLESS_WORK_MS
        cell.deadline_ms = 8000
        before = gevent.spawn(cell.send, vm, f"{path}before", method)
        gevent.sleep(0.1)
        cell.signal(vm, signal.SIGTERM)
        gevent.sleep(LATE_S)
        late = cell.send(vm, f"{path}late", method)
        assert before.get().status == 502
        assert late.status == (502 if method == "GET" else 503)
        assert vm.process.wait(GRACE_MS / 1000.0) == 0


def read_statuses(vm, requests):
    """Send bytes on one connection; return the statuses of all responses."""
    address = (vm.ip, vm.ports["front"])
    with gevent_socket.create_connection(address, timeout=5.0) as sock:
        sock.sendall(requests)
        text = b""
        while data := sock.recv(65536):
            text += data
    return re.findall(rb"HTTP/1.1 (\d+)", text)


def encode_order(name):
    return (
        f"POST /orders/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {name}\r\n"
        "Deadline-Ms: 2000\r\nContent-Length: 5\r\n\r\norder"
    ).encode()


@pytest.mark.parametrize("i_vm", [0, 1])
def test_pipelined_requests_that_have_arrived_are_answered(cell, i_vm):
    """Guards against a stop that ends a connection which owes another answer."""
    vm = vms_of_first_domain(cell)[i_vm]
    names = [f"piped-{i}" for i in range(3)]
    requests = b"".join(map(encode_order, names))
    responses = gevent.spawn(read_statuses, vm, requests)
    gevent.sleep(WORK_MS / 2 / 1000.0)
    cell.signal(vm, signal.SIGTERM)
    assert responses.get(timeout=5.0) == [b"200"] * len(names)
    assert vm.process.wait(10.0) == 0
    assert cell.n_runs_max() == 1
