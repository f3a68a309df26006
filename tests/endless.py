"""Test helpers: targets whose answers never end, in several forms."""

from contextlib import suppress

import gevent
from gevent.server import StreamServer

from standins.endless import FORMS, FRAMING_FORMS, send_without_end
from standins.process_limits import ProcessUsage, peak_memory_mb
from standins.server import Server

__all__ = [
    "FORMS",
    "FRAMING_FORMS",
    "EndlessServer",
    "assert_within",
    "peak_memory_mb",
]

# Answer to a load probe of the platform's program, or a probe of the own program.
HEALTHY = (
    b"HTTP/1.1 200 OK\r\nServer-Load: %s\r\nHornbeam-Start-Id: s\r\n"
    b"Hornbeam-State: ready\r\nContent-Length: 0\r\n\r\n"
)


class EndlessServer(Server):
    """A server whose answers, but those to load probes, never end.

    ``mode`` is the Form, and ``health_form`` that of the answers to load probes, or
    None if these end. If ``reads_on`` is set, the rest of a request is read while its
    answer is sent. ``n_begun`` counts the answers without end to other requests.
    """

    health_form = None
    reads_on = False
    n_begun = 0

    def start(self, stack):
        """Start listening; the stack stops it."""
        server = StreamServer(("127.0.0.1", 0), self.serve_connection)
        server.start()
        stack.callback(server.stop, timeout=0)
        self.address = f"127.0.0.1:{server.server_port}"

    def serve_connection(self, sock, _):
        """Answer the first request without end, but load probes as usual."""
        with suppress(OSError):
            while data := sock.recv(65_536):
                is_probe = data.startswith(b"GET /health")
                self.n_load_probes += is_probe
                if is_probe and self.health_form is None:
                    load = self.load_figures().encode()
                    sock.sendall(HEALTHY % load)
                    continue
                self.n_begun += not is_probe
                attempt_id = data.partition(b"Attempt-Id: ")[2].partition(b"\r\n")[0]
                if self.reads_on:
                    gevent.spawn(drain, sock)
                send_without_end(
                    sock, self.health_form if is_probe else self.mode, attempt_id
                )


def drain(sock):
    """Read until the other side closes."""
    with suppress(OSError):
        while sock.recv(65_536):
            pass


def assert_within(process, memory_mb, n_descriptors_max):
    """Check that a process lives, and never exceeded its memory and descriptors."""
    assert process.poll() is None
    peak_mb = peak_memory_mb(process.pid)
    n_descriptors = ProcessUsage.from_process(process.pid).n_descriptors
    print(f"peak {peak_mb:.0f} MB, {n_descriptors} descriptors")
    assert peak_mb <= memory_mb
    assert n_descriptors <= n_descriptors_max
