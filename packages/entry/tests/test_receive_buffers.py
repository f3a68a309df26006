"""The system holds little of what a server sends faster than it is read."""

import gevent
from gevent.server import StreamServer
from hornbeamstand_entry.tasks.connection_rules import (
    RECEIVE_BUFFER_BYTES,
    ConnectionRules,
)
from hornbeamstand_entry.tasks.sockets import count_unread_bytes, open_socket

PIECE = bytes(65_536)
N_READ_BYTES = 64 << 20
# Time after which nothing more arrives at a socket that is not read.
SETTLE_S = 0.5


def send_without_end(sock, _):
    while True:
        sock.sendall(PIECE)


def test_bytes_without_end_fill_no_large_buffer_of_the_system(stack):
    """Guards against unread bytes that take the memory of the VM."""
    server = StreamServer(("127.0.0.1", 0), send_without_end)
    server.start()
    stack.callback(server.stop, timeout=0)
    sock = open_socket(("127.0.0.1", server.server_port), ConnectionRules())
    stack.callback(sock.close)
    n_read_bytes = 0
    while n_read_bytes < N_READ_BYTES:
        n_read_bytes += len(sock.recv(len(PIECE)))
    gevent.sleep(SETTLE_S)
    assert 0 < count_unread_bytes(sock) <= 2 * RECEIVE_BUFFER_BYTES
