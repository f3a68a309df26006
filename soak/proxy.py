"""A loopback proxy whose connections can be delayed, cut, silenced and reset."""

import socket
import struct

import gevent
from gevent import socket as gevent_socket
from gevent.server import StreamServer

CHUNK_BYTES = 65536
# Closing with this option set sends a reset.
LINGER_ZERO = struct.pack("ii", 1, 0)

PASS = "pass"
DELAY = "delay"
SILENT = "silent"
ONE_WAY = "one-way"
DELAY_S = 0.15
POLL_S = 0.02


class Proxy:
    """Forwards connections to one address; ``mode`` holds for all of them.

    PASS forwards, DELAY forwards late, SILENT holds both directions, ONE_WAY
    holds what comes back. ``reset_all`` resets every connection at once.
    """

    __slots__ = ("upstream_address", "mode", "address", "_pairs")

    def __init__(self, upstream_address):
        self.upstream_address = upstream_address
        self.mode = PASS
        self.address = ""
        self._pairs = set()

    def start(self, stack):
        """Listen; the stack ends it."""
        server = StreamServer(("127.0.0.1", 0), self._serve)
        server.start()
        stack.callback(server.stop, timeout=0)
        self.address = f"127.0.0.1:{server.server_port}"

    def reset_all(self):
        """Reset every open connection."""
        for pair in list(self._pairs):
            for sock in pair:
                reset(sock)

    def _serve(self, client_sock, peer):
        host, _, port = self.upstream_address.rpartition(":")
        try:
            upstream_sock = gevent_socket.create_connection(
                (host, int(port)), timeout=1.0
            )
        except OSError:
            # Nothing listens there: the caller sees a reset, as without a proxy.
            reset(client_sock)
            return
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
                self._delay(is_response)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
            except OSError:
                # One end is gone: the other one must learn of it.
                reset(source)
                reset(sink)
                return

    def _delay(self, is_response):
        if self.mode == DELAY:
            gevent.sleep(DELAY_S)
        while self.mode == SILENT or (self.mode == ONE_WAY and is_response):
            gevent.sleep(POLL_S)


def reset(sock):
    """Close a socket with a reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # It is closed already.
        return
    finally:
        sock.close()
