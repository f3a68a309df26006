"""Test helpers: targets whose answers never end, in several forms."""

from contextlib import suppress

from gevent.server import StreamServer

from standins.endless import FORMS, send_without_end
from standins.process_limits import peak_memory_mb
from standins.server import Server

__all__ = ["FORMS", "EndlessServer", "peak_memory_mb"]


class EndlessServer(Server):
    """A server whose answers, but those to load probes, never end.

    ``mode`` is the Form.
    """

    def start(self, stack):
        """Start listening; the stack stops it."""
        server = StreamServer(("127.0.0.1", 0), self.serve_connection)
        server.start()
        stack.callback(server.stop, timeout=0)
        self.address = f"127.0.0.1:{server.server_port}"

    def serve_connection(self, sock, _):
        """Answer health requests as usual, and the first other one without end."""
        with suppress(OSError):
            while data := sock.recv(65_536):
                if data.startswith(b"GET /health"):
                    load = self.load_figures().encode()
                    head = b"HTTP/1.1 200 OK\r\nServer-Load: %s\r\n" % load
                    sock.sendall(head + b"Content-Length: 0\r\n\r\n")
                    continue
                attempt_id = data.partition(b"Attempt-Id: ")[2].partition(b"\r\n")[0]
                send_without_end(sock, self.mode, attempt_id)
                return
