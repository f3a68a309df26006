"""Clients that hold memory of a VM."""

import socket
from contextlib import suppress

import gevent
from gevent import socket as gevent_socket
from gevent.pool import Pool

from standins.edge_cell import HOST

# Timeout of one client's opening and sending.
CLIENT_TIMEOUT_S = 10.0
# Receive buffer of the clients, so that what they don't read stays with the VM.
RECEIVE_BUFFER_BYTES = 4096
# Number of clients that connect and send at a time; those that wait for the beginning
# of an answer first are as few as the target's slots.
N_SENDERS = 64
N_ASKERS = 3


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


def make_head(path, *lines, method="POST", attempt_id="a"):
    """Return the head of a request with further header lines."""
    id_line = f"Attempt-Id: {attempt_id}"
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", id_line, *lines]
    return "".join(f"{line}\r\n" for line in lines).encode() + b"\r\n"


def ask_for(path, n_bytes, *lines, attempt_id="a"):
    """Return a request for an answer of a size."""
    path = f"{path}?bytes={n_bytes}"
    return make_head(path, *lines, method="GET", attempt_id=attempt_id)


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
