"""Targets that send bytes without end harm neither the VM nor other callers."""

from contextlib import suppress

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from standins.edge_cell import DOMAINS, EdgeCell
from standins.process_limits import peak_memory_mb
from standins.server import Server

PREFIXES = {
    "/tools/": ("shop", "idempotent"),
    "/orders/": ("shop", "non_idempotent"),
    "/other/": ("desk", "idempotent"),
}
# Memory that the platform gives a VM whose settings state none, in units of 2**20
# bytes. A process that takes more is ended.
MEMORY_MAX_MB = 256
# Latency objective, timeout and deadline of all requests. Answers without end end by
# their size within it, on a busy machine too.
PATIENCE_MS = 20_000
MS_PER_S = 1000.0
# Requests at a time for the service whose targets send without end.
N_CALLERS = 12
# Callers of one VM whose large answers together take more than its memory.
N_SLOW_CALLERS = 20
# Size of an answer that is large and whole.
LARGE_BYTES = 16 << 20
# Metric of the memory that all bodies take.
BODY_BYTES = "hornbeamstand_body_bytes "
PIECE = b"x" * 65_536
CHUNK = b"10000\r\n" + PIECE + b"\r\n"
OK = b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n"
LINES = b"A: bbbbbbbb\r\n" * 5000

# The first bytes of an answer, and those that follow without end.
ENDLESS = {
    "no answer": (b"", PIECE),
    "status line": (b"HTTP/1.1 200 ", PIECE),
    "one header": (OK + b"A: ", PIECE),
    "headers": (OK, LINES),
    "interim answers": (b"", b"HTTP/1.1 103 E\r\nA: b\r\n\r\n" * 1000),
    "body with a length": (OK + b"Content-Length: 99999999999\r\n\r\n", PIECE),
    "body without a length": (OK + b"\r\n", PIECE),
    "chunks": (OK + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "chunk extension": (OK + b"Transfer-Encoding: chunked\r\n\r\n1;", PIECE),
    "small chunks": (
        OK + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n" * 10_000,
    ),
    "trailers": (
        OK + b"Transfer-Encoding: chunked\r\n\r\n" + CHUNK * 160 + b"0\r\n",
        LINES,
    ),
}


class EndlessServer(Server):
    """A server whose answers, but those to load probes, never end."""

    def start(self, stack):
        server = StreamServer(("127.0.0.1", 0), self.serve_connection)
        server.start()
        stack.callback(server.stop, timeout=0)
        self.address = f"127.0.0.1:{server.server_port}"

    def serve_connection(self, sock, _):
        with suppress(OSError):
            while data := sock.recv(65536):
                if data.startswith(b"GET /health"):
                    load = self.load_figures().encode()
                    head = b"HTTP/1.1 200 OK\r\nServer-Load: %s\r\n" % load
                    sock.sendall(head + b"Content-Length: 0\r\n\r\n")
                    continue
                self.send_without_end(sock, data)

    def send_without_end(self, sock, request):
        attempt_id = request.partition(b"Attempt-Id: ")[2].partition(b"\r\n")[0]
        start, more = self.mode
        sock.sendall(start.replace(b"%s", attempt_id))
        while True:
            sock.sendall(more)
            gevent.sleep(0)


class LargeServer(EndlessServer):
    """A server whose answers have bodies of ``LARGE_BYTES``."""

    def send_without_end(self, sock, request):
        attempt_id = request.partition(b"Attempt-Id: ")[2].partition(b"\r\n")[0]
        head = OK.replace(b"%s", attempt_id)
        sock.sendall(head + b"Content-Length: %d\r\n\r\n" % LARGE_BYTES)
        for _ in range(LARGE_BYTES // len(PIECE)):
            sock.sendall(PIECE)


@pytest.fixture
def cell(tmp_path):
    with EdgeCell(tmp_path) as made:
        made.add_server("desk-0", "desk", DOMAINS[0])
        yield made


def start_cell(cell, server_class, mode):
    """Start servers of a class for the service ``shop``, and all VMs."""
    for i in range(3):
        server = server_class(f"shop-{i}", "shop", DOMAINS[i])
        server.mode = mode
        server.start(cell.stack)
        cell.servers.append(server)
        cell.write_entry(server)
    cell.set_config(1, PREFIXES, PATIENCE_MS, PATIENCE_MS)
    cell.deadline_ms = PATIENCE_MS
    cell.timeout_s = PATIENCE_MS / MS_PER_S
    cell.start_all()


@pytest.mark.parametrize("part", sorted(ENDLESS))
def test_an_answer_without_end_costs_bounded_memory(cell, part):
    """Guards against a process that runs out of memory with all its requests."""
    start_cell(cell, EndlessServer, ENDLESS[part])
    paths = [("/tools/", "GET"), ("/orders/", "POST")]
    sent = [
        gevent.spawn(cell.send, vm, paths[i % 2][0] + str(i), paths[i % 2][1])
        for vm in cell.vms
        for i in range(N_CALLERS)
    ]
    others = []
    while not all(job.ready() for job in sent):
        others += [cell.send(vm, "/other/x") for vm in cell.vms]
        gevent.sleep(0.05)
    assert [vm.process.poll() for vm in cell.vms] == [None] * len(cell.vms)
    assert max(peak_memory_mb(vm.process.pid) for vm in cell.vms) < MEMORY_MAX_MB
    assert 200 not in {job.value.status for job in sent}
    assert [(r.status, r.body) for r in others if r.status != 200] == []


# Callers.

REQUEST = "GET /tools/%d HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: b%d\r\n\r\n"
UPLOAD = (
    "POST /orders/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: c%d\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
)


def connect(cell, vm):
    sock = socket.create_connection((vm.ip, vm.ports["front"]), timeout=5.0)
    cell.stack.callback(sock.close)
    return sock


def request_large_answers(cell, vm):
    """Request large answers and don't read them; return the callers' sockets."""
    callers = [connect(cell, vm) for _ in range(N_SLOW_CALLERS)]
    for i, caller in enumerate(callers):
        caller.sendall((REQUEST % (i, i)).encode())
        gevent.sleep(0.1)
    return callers


def test_callers_that_do_not_read_their_answers_cost_bounded_memory(cell):
    """Guards against answers that no longer count while they wait for a caller."""
    start_cell(cell, LargeServer, None)
    for vm in cell.vms:
        request_large_answers(cell, vm)
    gevent.sleep(1.0)
    assert {cell.send(vm, "/other/x").status for vm in cell.vms} == {200}
    assert max(peak_memory_mb(vm.process.pid) for vm in cell.vms) < MEMORY_MAX_MB


def test_the_memory_of_answers_is_free_again_once_the_callers_have_gone(cell):
    start_cell(cell, LargeServer, None)
    vm = cell.vms[0]
    for _ in range(2):
        for caller in request_large_answers(cell, vm):
            caller.close()
        gevent.sleep(0.5)
    metrics = cell.call(vm, "metrics", "GET", "/metrics").body.decode()
    used = [line for line in metrics.splitlines() if line.startswith(BODY_BYTES)]
    assert [float(line.split()[1]) for line in used] == [0.0]


def test_uploads_without_end_cost_bounded_memory(cell):
    start_cell(cell, Server, "ok")
    senders = []
    for vm in cell.vms:
        for i in range(N_CALLERS):
            sock = connect(cell, vm)
            sock.sendall((UPLOAD % i).encode())
            senders.append(gevent.spawn(send_pieces, sock))
    gevent.joinall(senders, timeout=10.0)
    assert {cell.send(vm, "/other/x").status for vm in cell.vms} == {200}
    assert max(peak_memory_mb(vm.process.pid) for vm in cell.vms) < MEMORY_MAX_MB


def send_pieces(sock):
    """Send chunks until the other side closes."""
    with suppress(OSError):
        while True:
            sock.sendall(CHUNK)
