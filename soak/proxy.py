"""A loopback proxy whose connections can be delayed, blocked and reset."""

import socket
import struct

import gevent
from gevent import socket as gevent_socket
from gevent.server import StreamServer

# Maximum number of bytes read at once.
CHUNK_BYTES = 65536
# Timeout for opening a connection to the address behind a proxy.
CONNECT_TIMEOUT_S = 1.0
# Value of SO_LINGER with which closing a socket sends a reset.
LINGER_ZERO = struct.pack("ii", 1, 0)

PASS = "pass"
DELAY = "delay"
SILENT = "silent"
ONE_WAY = "one-way"
# Delay of each chunk in mode DELAY.
DELAY_S = 0.15
# Interval at which a blocked direction checks the mode.
POLL_S = 0.02


class Proxy:
    """Forwards connections to one address; ``mode`` applies to all of them.

    PASS forwards at once, DELAY forwards late, SILENT blocks both directions, and
    ONE_WAY blocks the responses. ``reset_all`` resets every open connection.
    ``note_connection``, if given, is called with the addresses of both ends of each
    client's connection and the port from which it is forwarded. ``address`` is where it
    listens, by default a port that the system chooses.
    """

    __slots__ = ("upstream_address", "note_connection", "mode", "address", "_pairs")

    def __init__(self, upstream_address, note_connection=None, address="127.0.0.1:0"):
        self.upstream_address = upstream_address
        self.note_connection = note_connection
        self.mode = PASS
        self.address = address
        self._pairs = set()

    def start(self, stack):
        """Start listening; the stack stops it."""
        host, _, port = self.address.rpartition(":")
        server = StreamServer((host, int(port)), self._serve)
        server.start()
        stack.callback(server.stop, timeout=0)
        self.address = f"{host}:{server.server_port}"

    def reset_all(self):
        """Reset every open connection."""
        for pair in list(self._pairs):
            for sock in pair:
                reset(sock)

    def _serve(self, client_sock, peer):
        host, _, port = self.upstream_address.rpartition(":")
        try:
            upstream_sock = gevent_socket.create_connection(
                (host, int(port)), timeout=CONNECT_TIMEOUT_S
            )
        except OSError:
            # Nothing listens there: the client gets a reset, as without a proxy.
            reset(client_sock)
            return
        # A connection may be silent for any time.
        upstream_sock.settimeout(None)
        if self.note_connection is not None:
            port = upstream_sock.getsockname()[1]
            self.note_connection(peer, client_sock.getsockname(), port)
        for sock in (client_sock, upstream_sock):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (client_sock, upstream_sock)
        self._pairs.add(pair)
        copiers = [
            gevent.spawn(self._copy, client_sock, upstream_sock, False),
            gevent.spawn(self._copy, upstream_sock, client_sock, True),
        ]
        gevent.joinall(copiers)
        self._pairs.discard(pair)
        for sock in pair:
            sock.close()

    def _copy(self, source, sink, is_response):
        while True:
            try:
                data = source.recv(CHUNK_BYTES)
                self._delay_or_block(is_response)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
            except OSError:
                # One side is closed: reset the other one too, so that it notices.
                reset(source)
                reset(sink)
                return

    def _delay_or_block(self, is_response):
        if self.mode == DELAY:
            gevent.sleep(DELAY_S)
        while self.mode == SILENT or (self.mode == ONE_WAY and is_response):
            gevent.sleep(POLL_S)


def reset(sock):
    """Close a socket so that the other side gets a reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The socket is already closed.
        return
    finally:
        sock.close()
