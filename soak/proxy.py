"""A loopback proxy whose connections can be delayed, cut, silenced and reset."""

import socket
import struct

import gevent
from gevent import socket as gevent_socket
from gevent.server import StreamServer

CHUNK_BYTES = 65536
# Closing with this option set sends a reset.
LINGER_NONE = struct.pack("ii", 1, 0)

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

    __slots__ = ("upstream", "mode", "address", "_pairs")

    def __init__(self, upstream):
        self.upstream = upstream
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

    def _serve(self, near, peer):
        host, _, port = self.upstream.rpartition(":")
        try:
            far = gevent_socket.create_connection((host, int(port)), timeout=1.0)
        except OSError:
            # Nothing listens there: the caller sees a reset, as without a proxy.
            reset(near)
            return
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (near, far)
        self._pairs.add(pair)
        copies = [
            gevent.spawn(self._copy, near, far, False),
            gevent.spawn(self._copy, far, near, True),
        ]
        gevent.joinall(copies)
        self._pairs.discard(pair)
        for sock in pair:
            sock.close()

    def _copy(self, source, sink, is_back):
        while True:
            try:
                data = source.recv(CHUNK_BYTES)
                self._hold(is_back)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
            except OSError:
                # One end is gone: the other one must learn of it.
                reset(source)
                reset(sink)
                return

    def _hold(self, is_back):
        if self.mode == DELAY:
            gevent.sleep(DELAY_S)
        while self.mode == SILENT or (self.mode == ONE_WAY and is_back):
            gevent.sleep(POLL_S)


def reset(sock):
    """Close a socket with a reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # It is closed already.
        return
    finally:
        sock.close()
