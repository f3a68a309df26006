"""One HTTP exchange of a caller on a socket, which tells how it ended."""

import gevent
from gevent import socket

from .records import ANSWERED, CLOSED, NOT_CONNECTED, SILENT, now_s

# Timeout for opening a connection.
CONNECT_S = 1.0
# Time for which a caller waits for an answer beyond its deadline.
WAIT_MARGIN_S = 0.4
# Interval between the pieces of a body that arrives slowly.
PIECE_INTERVAL_S = 0.1
CHUNK_BYTES = 65536


class Connection:
    """A caller's connection to a VM; ``reuse_until_s`` is when it is too old.

    ``unread`` has the bytes that came behind the last answer.
    """

    __slots__ = ("sock", "vm", "n_answers", "reuse_until_s", "unread")

    def __init__(self, vm):
        self.sock = None
        self.vm = vm
        self.n_answers = 0
        self.reuse_until_s = 0.0
        self.unread = b""

    def open(self):
        """Connect; returns whether the VM accepted it."""
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            # Creating a connection by name would wait for a system thread.
            self.sock.settimeout(CONNECT_S)
            self.sock.connect((self.vm.ip, self.vm.ports["front"]))
            self.sock.settimeout(None)
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            return False
        return True

    def close(self):
        """Close the connection."""
        if self.sock is not None:
            self.sock.close()


def exchange(connection, attempts, parts, until_s):
    """Send requests at once and fill in the attempts; returns the last header lines.

    ``parts`` are those of all requests, between which the caller pauses. The result is
    empty if the last one got no answer.
    """
    for attempt in attempts:
        attempt.vm = connection.vm.name
        attempt.is_kept = connection.n_answers > 0
    if connection.sock is None and not connection.open():
        for attempt in attempts:
            attempt.end = NOT_CONNECTED
            attempt.ended_s = now_s()
        return {}
    send(connection.sock, attempts, parts, until_s)
    lines = {}
    for attempt in attempts:
        lines = receive_answer(connection, attempt, until_s)
    return lines


def send(sock, attempts, parts, until_s):
    """Send requests; a connection that ends meanwhile is left to the reader."""
    with gevent.Timeout(max(0.05, until_s + WAIT_MARGIN_S - now_s()), False):
        try:
            sock.sendall(parts[0])
            for part in parts[1:]:
                gevent.sleep(PIECE_INTERVAL_S)
                sock.sendall(part)
        except OSError:
            return
        for attempt in attempts:
            attempt.sent_s = now_s()


def receive_answer(connection, attempt, until_s):
    """Read an answer in time into the attempt; returns its header lines."""
    lines = {}
    attempt.end = SILENT
    with gevent.Timeout(max(0.05, until_s + WAIT_MARGIN_S - now_s()), False):
        lines = read_answer(connection, attempt)
    attempt.ended_s = now_s()
    connection.n_answers += 1
    return lines


def read_answer(connection, attempt):
    """Read an answer into the attempt; returns its header lines."""
    sock, data = connection.sock, connection.unread
    connection.unread = b""
    try:
        while b"\r\n\r\n" not in data:
            data += receive(sock)
            attempt.has_answer_begun = True
        head, _, body = data.partition(b"\r\n\r\n")
        first, *rest = head.decode("latin-1").split("\r\n")
        lines = {
            name.lower(): value for name, _, value in (x.partition(": ") for x in rest)
        }
        n_bytes = int(lines.get("content-length", 0))
        while len(body) < n_bytes:
            body += receive(sock)
    except OSError:
        attempt.end = CLOSED
        return {}
    connection.unread = body[n_bytes:]
    attempt.end = ANSWERED
    attempt.status = int(first.split()[1])
    attempt.seal = lines.get("server-seal")
    is_own_id = lines.get("attempt-id", attempt.attempt_id) == attempt.attempt_id
    is_own_body = not attempt.seal or attempt.attempt_id.encode() in body[:n_bytes]
    attempt.is_body_whole = is_own_id and is_own_body
    return lines


def receive(sock):
    """Receive bytes; raises OSError at the end of the connection."""
    data = sock.recv(CHUNK_BYTES)
    if not data:
        raise OSError("connection closed")
    return data
