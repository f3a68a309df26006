"""A planned stop of an owner under load answers every request that it has accepted."""

import signal

import gevent
import pytest

from standins.edge_cell import DOMAINS, EdgeCell

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
