"""Test helpers: callers of targets whose answers never end."""

from contextlib import suppress

import gevent
from gevent import socket

from soak.day.exchange import receive
from standins.edge_cell import HOST

CONNECT_TIMEOUT_S = 2.0
# Time for which a caller waits for its answer: longer than any deadline of these tests.
ANSWER_TIMEOUT_S = 30.0
# Pause of a caller that found no listener, and time after which a caller leaves.
RECONNECT_PAUSE_S = 0.05
LEAVE_AFTER_S = 0.05
N_BYTES_PER_CHUNK = 16_384


class CallerRequest:
    """One request of a caller.

    ``parts`` are its bytes in order, between which others get a turn. Chunks carry the
    body if there is one.
    """

    __slots__ = ("method", "parts")

    def __init__(self, method, path, request_id, deadline_ms, n_body_bytes=0):
        self.method = method
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Attempt-Id: {request_id}",
            f"Deadline-Ms: {deadline_ms}",
            f"Hornbeam-Deadline-Ms: {deadline_ms}",
        ]
        if method == "POST":
            lines.append(f"Idempotency-Key: {request_id}")
            lines.append("Transfer-Encoding: chunked")
        self.parts = ["".join(f"{line}\r\n" for line in lines).encode() + b"\r\n"]
        if method == "POST":
            self.parts += make_chunks(n_body_bytes)


def make_chunks(n_bytes):
    """Return the chunks of a body and the last chunk."""
    chunk = b"%x\r\n" % N_BYTES_PER_CHUNK + bytes(N_BYTES_PER_CHUNK) + b"\r\n"
    return [*[chunk] * (n_bytes // N_BYTES_PER_CHUNK), b"0\r\n\r\n"]


class KeptCaller:
    """Sends requests one after the other, on one connection while it is open.

    ``n_answered`` counts the requests that were answered, and ``n_unanswered`` those
    whose connection ended, or that had no answer in ANSWER_TIMEOUT_S.
    """

    __slots__ = ("address", "n_answered", "n_unanswered", "_sock")

    def __init__(self, address):
        self.address = address
        self.n_answered = 0
        self.n_unanswered = 0
        self._sock = None

    def run(self, requests):
        """Send all requests, then close the connection."""
        for request in requests:
            self._open()
            try:
                is_kept = self._exchange(request)
                self.n_answered += 1
            except OSError:
                is_kept = False
                self.n_unanswered += 1
            if not is_kept:
                self._close()
        self._close()

    def _open(self):
        while self._sock is None:
            try:
                self._sock = socket.create_connection(self.address, CONNECT_TIMEOUT_S)
                self._sock.settimeout(ANSWER_TIMEOUT_S)
            except OSError:
                gevent.sleep(RECONNECT_PAUSE_S)

    def _close(self):
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def _exchange(self, request):
        # An answer may come before the end of the body, and the connection then end.
        with suppress(OSError):
            send_parts(self._sock, request)
        return read_answer(self._sock, request.method)


def send_parts(sock, request):
    """Send a request piece by piece."""
    for part in request.parts:
        sock.sendall(part)
        gevent.sleep(0)


def read_answer(sock, method):
    """Read an answer; return whether its connection stays open.

    Raises OSError if the connection ends before the answer is complete.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        data += receive(sock)
    head, _, body = data.partition(b"\r\n\r\n")
    head = head.lower()
    length = int(head.partition(b"content-length: ")[2].partition(b"\r\n")[0] or 0)
    while method != "HEAD" and len(body) < length:
        body += receive(sock)
    return b"connection: close" not in head


def send_and_leave(address, requests):
    """Send each request on a connection of its own and close that without an answer."""
    for request in requests:
        with suppress(OSError):
            sock = socket.create_connection(address, CONNECT_TIMEOUT_S)
            with sock:
                send_parts(sock, request)
                gevent.sleep(LEAVE_AFTER_S)
