"""What callers that hold their connections cost a planned stop, at each listener."""

import signal
from contextlib import suppress

import gevent
import pytest
from gevent import socket

from standins.edge_cell import HOST, EdgeCell

PREFIXES = {"/tools/": ("shop", "idempotent")}
PATHS = {
    "front": "/tools/x",
    "peer": "/configuration",
    "ready": "/ready",
    "lookup": f"/resolve?Name={HOST}&Region=r&Zone=ub-a",
    "metrics": "/metrics",
}
BYTE_INTERVAL_S = 1.0
OPERATOR_PORTS = ("lookup", "ready", "metrics")
N_ASKING = 4
GRACE_S = 6.0


class StopCell(EdgeCell):
    """One VM with a grace period that a caller must leave it."""

    grace_ms = int(GRACE_S * 1000)

    def __init__(self, folder):
        super().__init__(folder, n_vms=1)

    def __enter__(self):
        super().__enter__()
        self.add_server("shop-0", work_ms=20.0)
        self.set_config(1, PREFIXES)
        self.start_all()
        return self


def encode(port, attempt_id="held"):
    head = f"GET {PATHS[port]} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt_id}\r\n"
    return f"{head}Deadline-Ms: 2000\r\n\r\n".encode()


def never_close(sock, port):
    """Get an answer, and keep the connection open whatever comes."""
    sock.sendall(encode(port))
    sock.recv(65536)


def send_slowly(sock, port):
    """Send one byte a second."""

    def send_bytes():
        with suppress(OSError):
            for byte in encode(port):
                sock.sendall(bytes([byte]))
                gevent.sleep(BYTE_INTERVAL_S)

    gevent.spawn(send_bytes)


def read_nothing(sock, port):
    """Send many requests and read no answer."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(0)
    try:
        while True:
            sock.send(encode(port) * 20)
    except BlockingIOError:
        return


@pytest.mark.parametrize(
    ("hold", "port"),
    [
        *[(never_close, port) for port in PATHS],
        *[(send_slowly, port) for port in OPERATOR_PORTS],
        *[(read_nothing, port) for port in OPERATOR_PORTS],
    ],
)
def test_a_caller_that_holds_its_connection_leaves_a_stop_its_grace_period(
    tmp_path, hold, port
):
    """Guards against a process that is killed because of one caller."""
    with StopCell(tmp_path) as cell:
        (vm,) = cell.vms
        sock = socket.create_connection((vm.ip, vm.ports[port]), timeout=5.0)
        cell.stack.callback(sock.close)
        hold(sock, port)
        gevent.sleep(0.3)
        cell.signal(vm, signal.SIGTERM)
        assert vm.process.wait(GRACE_S) == 0


def ask_until_refused(vm, port, is_kept, ends):
    """Ask again and again until the VM accepts no connection; note how each ended."""
    address = (vm.ip, vm.ports[port])
    while True:
        try:
            sock = socket.create_connection(address, timeout=3.0)
        except OSError:
            return
        with sock:
            has_asked = False
            while is_kept or not has_asked:
                has_asked = True
                try:
                    sock.sendall(encode(port))
                    answer = sock.recv(65536)
                except OSError:
                    answer = b""
                ends.append(bool(answer))
                if not answer or b"connection: close" in answer.lower():
                    break


@pytest.mark.parametrize("port", OPERATOR_PORTS)
@pytest.mark.parametrize("is_kept", [False, True])
def test_each_question_that_a_stopping_vm_has_taken_is_answered(
    tmp_path, port, is_kept
):
    """Guards against lookups that are reset by the end of the process."""
    with StopCell(tmp_path) as cell:
        (vm,) = cell.vms
        ends = []
        jobs = [
            gevent.spawn(ask_until_refused, vm, port, is_kept, ends)
            for _ in range(N_ASKING)
        ]
        gevent.sleep(0.3)
        cell.signal(vm, signal.SIGTERM)
        gevent.joinall(jobs, timeout=GRACE_S + 1.0)
        assert len(ends) > N_ASKING
        assert ends.count(False) == 0
