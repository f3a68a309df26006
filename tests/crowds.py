"""Test helpers: clients that hold memory of a VM, and what the VM uses meanwhile."""

import os
import socket
from contextlib import suppress
from pathlib import Path

import gevent
from gevent import socket as gevent_socket
from gevent.pool import Pool

from standins.edge_cell import HOST

BYTES_PER_MB = 1 << 20
BYTES_PER_KB = 1024
# Time limits of one client's opening and sending, and of the ordinary request.
CLIENT_TIMEOUT_S = 10.0
ORDINARY_TIMEOUT_S = 30.0
# Time that a crowd holds what it has once all its clients have sent.
HOLD_S = 0.5
# Receive buffer of the clients, so that what they don't read stays with the VM.
RECEIVE_BUFFER_BYTES = 4096
# Number of clients that connect and send at a time; those that wait for the beginning
# of an answer first are as few as the target's slots.
N_SENDERS = 64
N_ASKERS = 3
# Columns of the system's table of connections: local address, state, lengths of the two
# queues, and inode, which is 0 for a connection that is not accepted yet.
LOCAL_COLUMN = 1
STATE_COLUMN = 3
QUEUES_COLUMN = 4
INODE_COLUMN = 9
LISTENING = "0A"
NO_INODE = "0"


class Crowd:
    """Clients of one listener that stay connected; the exit stack closes them.

    Parameters
    ----------
    address : tuple
        IP address and port of the listener.
    stack : ExitStack
        Closes the connections.
    """

    __slots__ = ("address", "stack")

    def __init__(self, address, stack):
        self.address = address
        self.stack = stack

    def send(self, data, n_clients):
        """Let each client send the data, then hold its connection."""
        pool = Pool(N_SENDERS)
        for _ in range(n_clients):
            pool.spawn(self._send_one, data)
        pool.join()

    def ask(self, data, n_clients):
        """Let each client send the data and read the first byte of an answer."""
        pool = Pool(N_ASKERS)
        for _ in range(n_clients):
            pool.spawn(self._send_one, data, 1)
        pool.join()

    def trickle(self, data, n_clients, n_bytes, interval_s):
        """Let each client send the data, then a few bytes at each interval."""
        for _ in range(n_clients):
            job = gevent.spawn(self._trickle_one, data, bytes(n_bytes), interval_s)
            self.stack.callback(job.kill)

    def _trickle_one(self, data, part, interval_s):
        with gevent_socket.socket() as sock, suppress(OSError):
            sock.connect(self.address)
            sock.sendall(data)
            while True:
                gevent.sleep(interval_s)
                sock.sendall(part)

    def _send_one(self, data, n_read_bytes=0):
        sock = gevent_socket.socket()
        self.stack.callback(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.settimeout(CLIENT_TIMEOUT_S)
        # A VM may refuse a client, or end its connection.
        with suppress(OSError), gevent.Timeout(CLIENT_TIMEOUT_S, False):
            sock.connect(self.address)
            sock.sendall(data)
            if n_read_bytes:
                sock.recv(n_read_bytes)


def make_head(path, *lines, method="POST"):
    """Return the head of a request with further header lines."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", "Attempt-Id: a", *lines]
    return "".join(f"{line}\r\n" for line in lines).encode() + b"\r\n"


def ask_for(path, n_bytes):
    """Return a request for an answer of a size."""
    return make_head(f"{path}?bytes={n_bytes}", method="GET")


def unfinished_body(path, n_bytes, *lines):
    """Return a request with a body of a stated size that lacks its last byte."""
    head = make_head(path, f"Content-Length: {n_bytes}", *lines)
    return head + bytes(n_bytes - 1)


def unfinished_chunks(path, n_bytes, n_chunk_bytes, *lines):
    """Return a request with a chunked body that lacks its last chunk."""
    head = make_head(path, "Transfer-Encoding: chunked", *lines)
    chunk = f"{n_chunk_bytes:x}\r\n".encode() + bytes(n_chunk_bytes) + b"\r\n"
    return head + chunk * (n_bytes // n_chunk_bytes)


def unfinished_head(path, n_bytes, line="a:"):
    """Return the beginning of a head of many short lines, without its end."""
    raw_line = f"{line}\r\n".encode()
    head = make_head(path).removesuffix(b"\r\n")
    return head + raw_line * ((n_bytes - len(head)) // len(raw_line))


def many_headers(n_lines):
    """Return header lines with different names."""
    return [f"h{i}:1" for i in range(n_lines)]


class MemoryUse:
    """What a process has used at most, in MB, and what it uses now.

    ``peak_mb`` is the largest resident size, ``queued_mb`` what the system holds now
    for connections of the process: bytes that are unread, or sent and not yet received.
    ``n_descriptors`` is the number of descriptors.
    """

    __slots__ = ("peak_mb", "queued_mb", "n_descriptors")

    @classmethod
    def from_process(cls, process_id, ip):
        """Read the use of a process that listens at an IP address."""
        self = cls()
        status = Path(f"/proc/{process_id}/status").read_text()
        peak_kb = int(status.split("VmHWM:")[1].split()[0])
        self.peak_mb = peak_kb * BYTES_PER_KB / BYTES_PER_MB
        self.queued_mb = read_queued_bytes(process_id, ip) / BYTES_PER_MB
        self.n_descriptors = len(os.listdir(f"/proc/{process_id}/fd"))
        return self

    @property
    def total_mb(self):
        """The memory that counts against the limit of a VM."""
        return self.peak_mb + self.queued_mb


def read_queued_bytes(process_id, ip):
    """Return the bytes that the system holds for connections of a process.

    Those that it has not accepted yet count too, at its IP address.
    """
    # The system writes the four bytes of an address in reverse.
    local = "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))
    lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
    connections = [line.split() for line in lines]
    inodes = read_socket_inodes(process_id)
    own = [columns for columns in connections if columns[INODE_COLUMN] in inodes]
    listening = {
        columns[LOCAL_COLUMN] for columns in own if columns[STATE_COLUMN] == LISTENING
    }
    waiting = [
        columns
        for columns in connections
        if columns[INODE_COLUMN] == NO_INODE
        and columns[LOCAL_COLUMN].startswith(f"{local}:")
        and columns[LOCAL_COLUMN] in listening
    ]
    return sum(
        int(part, 16)
        for columns in own + waiting
        # A listener has connections in its queue, not bytes.
        if columns[STATE_COLUMN] != LISTENING
        for part in columns[QUEUES_COLUMN].split(":")
    )


def read_socket_inodes(process_id):
    """Return the inodes of the sockets of a process, as texts."""
    links = []
    for path in Path(f"/proc/{process_id}/fd").iterdir():
        # A descriptor may be closed meanwhile.
        with suppress(OSError):
            links.append(os.readlink(path))
    return {link[8:-1] for link in links if link.startswith("socket:[")}


def assert_holds(process, ip, memory_mb, n_descriptors):
    """Check that a process lives, within its memory and descriptors."""
    assert process.poll() is None
    use = MemoryUse.from_process(process.pid, ip)
    print(f"peak {use.peak_mb:.0f} MB, queued {use.queued_mb:.0f} MB")
    assert use.total_mb <= memory_mb
    assert use.n_descriptors <= n_descriptors


def wait_until_served(is_served):
    """Wait until an ordinary request is served, while the crowd is still there."""
    with gevent.Timeout(
        ORDINARY_TIMEOUT_S, AssertionError("no ordinary request was served")
    ):
        while not try_request(is_served):
            gevent.sleep(0.1)


def try_request(is_served):
    """Return whether a request is served; an error of its connection counts as no."""
    try:
        return is_served()
    except (OSError, ValueError):
        return False
