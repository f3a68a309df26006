"""Answers of real processes that end while the answers are on their way."""

import random
import signal

import gevent
import pytest
from gevent import socket as gevent_socket

from standins.edge_cell import HOST, EdgeCell
from standins.server import Server, respond

PREFIXES = {"/tools/": ("shop", "idempotent"), "/orders/": ("shop", "non_idempotent")}
# Size of an answer: more than what the sockets of a connection buffer.
BODY_BYTES = 24 << 20
# Size of the answers that are read at once.
SHORT_BODY_BYTES = 6 << 20
# Two VMs for each failure domain, so that one of each relays to the other.
N_VMS = 6
DOMAIN = "ub-a"
READ_BYTES = 1 << 16


class LargeServer(Server):
    """A server whose answers are as long as the path says."""

    def _send_response(self, environ, start_response, attempt_id, body):
        items = [
            ("Attempt-Id", attempt_id),
            ("Server-Seal", f"seal-{self.server_id}"),
            ("Server-Load", self.load_figures()),
        ]
        self.n_running -= 1
        n_bytes = int(environ["PATH_INFO"].rpartition("/")[2])
        return respond(start_response, 200, b"x" * n_bytes, items)


@pytest.fixture
def cell(tmp_path):
    with EdgeCell(tmp_path, n_vms=N_VMS) as made:
        for name, service in (("tool", "shop"), ("desk", "desk")):
            server = LargeServer(name, service, "ub-a", n_slots=20, work_ms=20.0)
            server.start(made.stack)
            made.servers.append(server)
            made.write_entry(server)
        made.set_config(1, PREFIXES, timeout_ms=6000)
        made.start_all()
        yield made


def begin(cell, vm, path):
    """Send a request on a new connection; return its socket."""
    cell.n_sent += 1
    attempt_id = f"a{cell.n_sent}"
    sock = gevent_socket.create_connection((vm.ip, vm.ports["front"]), timeout=8.0)
    head = (
        f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt_id}\r\n"
        "Deadline-Ms: 6000\r\n\r\n"
    )
    sock.sendall(head.encode())
    return sock


def read_answer(sock, raw=b""):
    """Return the status, the stated length and the number of body bytes that came.

    The status is 0 if the connection ended within the head or before it.
    """
    data = bytearray(raw)
    head_end = -1
    n_stated_bytes = None
    try:
        while piece := sock.recv(READ_BYTES):
            data += piece
            head_end = data.find(b"\r\n\r\n") if head_end < 0 else head_end
            if head_end < 0:
                continue
            if n_stated_bytes is None:
                head = bytes(data[:head_end]).decode().lower()
                n_stated_bytes = int(head.split("content-length: ")[1].split()[0])
            if len(data) - head_end - 4 >= n_stated_bytes:
                break
    except OSError:
        # A reset: what came before it counts.
        pass
    finally:
        sock.close()
    if n_stated_bytes is None:
        return 0, 0, 0
    return int(data[9:12]), n_stated_bytes, len(data) - head_end - 4


def check_whole_or_error(answer, n_body_bytes):
    """Check that an answer is whole, shows that it isn't, or is an error."""
    status, n_stated_bytes, n_read_bytes = answer
    assert n_read_bytes <= n_stated_bytes
    if status == 200:
        assert n_stated_bytes == n_body_bytes
    else:
        assert status in (0, 502, 503, 504)


def domain_vms(cell):
    """Return the VM that owns the service in the domain, and the one that relays."""
    vms = [vm for vm in cell.vms if vm.domain == DOMAIN]
    cell.wait_for(lambda: len(cell.look_up(vms[0], DOMAIN)) == len(vms))
    first_ip = cell.look_up(vms[0], DOMAIN)[0].partition(":")[0]
    return sorted(vms, key=lambda vm: vm.ip != first_ip)


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
def test_an_answer_that_its_caller_reads_slowly_shows_that_its_vm_ended(cell, number):
    vms = domain_vms(cell)
    path = f"/tools/{BODY_BYTES}"
    socks = [begin(cell, vm, path) for vm in vms]
    starts = [sock.recv(READ_BYTES) for sock in socks]
    for vm in vms:
        cell.signal(vm, number)
    for vm in vms:
        vm.process.wait()
    answers = [read_answer(*pair) for pair in zip(socks, starts, strict=True)]
    for answer in answers:
        check_whole_or_error(answer, BODY_BYTES)
        assert answer[2] < BODY_BYTES


@pytest.mark.parametrize("prefix", ["/tools", "/orders"])
@pytest.mark.parametrize("i_ended", [0, 1])
def test_a_relayed_answer_is_whole_or_an_error_when_a_vm_is_killed(
    cell, prefix, i_ended
):
    moments = random.Random(f"{prefix} {i_ended}")
    path = f"{prefix}/{SHORT_BODY_BYTES}"

    def ask(vm):
        return read_answer(begin(cell, vm, path))

    for _ in range(5):
        vms = domain_vms(cell)
        jobs = [gevent.spawn(ask, vm) for vm in vms * 4]
        gevent.sleep(moments.uniform(0.01, 0.2))
        cell.kill(vms[i_ended])
        gevent.joinall(jobs)
        for job in jobs:
            if job.successful():
                check_whole_or_error(job.value, SHORT_BODY_BYTES)
            else:
                assert isinstance(job.exception, OSError)
        cell.start_vm(vms[i_ended])
        cell.wait_for(lambda vm=vms[i_ended]: cell.is_ready(vm))
    assert cell.n_runs_max() <= (2 if prefix == "/tools" else 1)
