"""A target with varying work times, which can crash and reset its connections."""

import io
import socket

import gevent
from gevent.pywsgi import WSGIServer

from standins.server import (
    NoDelayHandler,
    Server,
    make_answer,
    respond,
    send_extra_response,
)

from ..proxy import reset
from .forms import EARLY, FOLLOWED, UNFRAMED, draw_answer_form
from .records import Run, Stray, now_s
from .site import BOUNDS_S, EXPECTED_HEADER, N_SLOTS, SERVICES

# Time from an answer to one more to the same request.
FOLLOWED_AFTER_S = 0.005
# Spread of the work times: standard deviation of their logarithm.
WORK_SIGMA = 0.6
# Share of the requests whose work is long, and its least and greatest length.
LONG_SHARE = 0.005
LONG_MIN_S = 2.0
LONG_MAX_S = 3.0
# Time in which a lag of this process may have held up a request.
LAG_WINDOW_S = 1.0
MS_PER_S = 1000.0
# EXPECTED_HEADER in the environment of a request.
EXPECTED_KEY = f"HTTP_{EXPECTED_HEADER.upper().replace('-', '_')}"


class TrackedHandler(NoDelayHandler):
    """Keeps the open sockets of its server."""

    def handle(self):
        """Register the socket while the connection is open."""
        sock = self.socket
        self.server.open_socks.add(sock)
        try:
            super().handle()
        finally:
            self.server.open_socks.discard(sock)


class DayTarget(Server):
    """A Server that draws work times and records its runs in a DayJournal.

    ``send_endless`` takes a socket and an attempt id and sends an answer without end,
    or is None; ``has_endless_health`` is set if the health path has such answers too.
    """

    __slots__ = (
        "journal",
        "rng",
        "find_sender",
        "send_endless",
        "has_endless_health",
        "_listener",
        "_n_entries",
        "_runs",
        "_left_s",
    )

    def __init__(self, server_id, service, domain, journal, rng):
        work_ms = SERVICES[service][1]
        super().__init__(server_id, service, domain, n_slots=N_SLOTS, work_ms=work_ms)
        self.journal = journal
        self.rng = rng
        # Takes both ends of a connection; returns the VM that opened it, or None.
        self.find_sender = None
        self.send_endless = None
        self.has_endless_health = False
        self._n_entries = 0
        self._listener = None
        self._runs = []
        # Maps an attempt id to the time that its request was given.
        self._left_s = {}

    def start(self, stack, port=0):
        """Start listening, at a given port or any; the stack stops it."""
        self._listener = WSGIServer(
            ("127.0.0.1", port),
            self.serve,
            log=None,
            error_log=None,
            handler_class=TrackedHandler,
        )
        self._listener.open_socks = set()
        self._listener.start()
        stack.callback(self._listener.stop, timeout=0)
        self.address = f"127.0.0.1:{self._listener.server_port}"

    def entry(self, cold_remaining_ms=0):
        """Return the next entry that the target writes to the store."""
        self._n_entries += 1
        entry = super().entry(cold_remaining_ms)
        entry["Status"]["Seq"] = self._n_entries
        return entry

    def serve(self, environ, start_response):
        """Note the arrival of a request and serve it (a WSGI application)."""
        is_health = environ["PATH_INFO"] == "/health"
        if is_health and self.send_endless and self.has_endless_health:
            self.send_endless(environ["standin.socket"], b"")
        attempt_id = environ.get("HTTP_ATTEMPT_ID")
        if attempt_id is not None:
            arrived = self.journal.arrivals.setdefault(attempt_id, [])
            arrived.append(self.server_id)
            if environ.get("HTTP_EXPECT_INSTANCE", self.server_id) == self.server_id:
                self._note_stray(environ, attempt_id)
                self._check_organisation(environ, attempt_id)
            else:
                self.journal.n_misdirected += 1
        left_ms = float(environ.get("HTTP_DEADLINE_MS", "inf"))
        self._left_s[attempt_id] = left_ms / MS_PER_S
        environ["day.form"] = draw_answer_form(self.rng)
        if environ["day.form"].name == EARLY:
            # The rest of the body arrives after the answer.
            environ["wsgi.input"] = io.BytesIO()
        return super().serve(environ, start_response)

    def _check_organisation(self, environ, attempt_id):
        """Note a request that shows a key, or that names a wrong organisation."""
        expected = environ.get(EXPECTED_KEY)
        found = environ.get("HTTP_TENANT")
        if found != expected or "HTTP_AUTHORIZATION" in environ:
            self.journal.findings.append(
                f"{attempt_id} of {expected} reached {self.server_id} as that of"
                f" {found}, with {environ.get('HTTP_AUTHORIZATION', 'no key')}"
            )

    def _note_stray(self, environ, attempt_id):
        """Note a request that comes later than this target may get any."""
        since_s = {
            "left": self.journal.left_s.get(self.server_id),
            "domain-out": self.journal.domains_out.get(self.domain),
        }
        lag_s = self.journal.lag_s(now_s() - LAG_WINDOW_S, now_s())
        for kind, at_s in since_s.items():
            if at_s is not None and now_s() > at_s + BOUNDS_S[kind] + lag_s:
                sock = environ["standin.socket"]
                vm = self.find_sender(sock.getpeername(), sock.getsockname())
                name = vm.name if vm else ""
                stray = Stray(kind, at_s, attempt_id, self.server_id, name)
                self.journal.strays.append(stray)

    def _send_response(self, environ, start_response, attempt_id, body):
        """Answer in the form that was drawn for the request."""
        self.n_running -= 1
        form, sock = environ["day.form"], environ["standin.socket"]
        if self.send_endless is not None:
            self.send_endless(sock, attempt_id.encode())
        body = f"ran {environ['standin.request_target']} ".encode() + form.padding
        body += make_answer(environ["QUERY_STRING"])
        items = [("Attempt-Id", attempt_id), ("Server-Seal", f"seal-{self.server_id}")]
        items.append(("Server-Load", self.load_figures()))
        if form.name == UNFRAMED:
            send_unframed(sock, items, body)
        if form.name == FOLLOWED:
            gevent.spawn_later(FOLLOWED_AFTER_S, send_extra_response, sock, attempt_id)
        return respond(start_response, 200, body, items)

    def _run(self, attempt_id):
        self.runs[attempt_id] += 1
        run = Run(self.server_id, self.service, self._left_s.pop(attempt_id))
        self.journal.runs.setdefault(attempt_id, []).append(run)
        self._runs.append(run)
        self.n_running += 1
        try:
            gevent.sleep(self._draw_work_s() * self.speed)
        except gevent.GreenletExit:
            run.is_broken = True
            raise
        finally:
            run.end_s = now_s()
            self._runs = [x for x in self._runs if x is not run]

    def _draw_work_s(self):
        if self.rng.random() < LONG_SHARE:
            return self.rng.uniform(LONG_MIN_S, LONG_MAX_S)
        factor = self.rng.lognormvariate(-(WORK_SIGMA**2) / 2.0, WORK_SIGMA)
        return self.work_ms / MS_PER_S * factor

    def reset_connections(self):
        """Reset all connections."""
        for run in self._runs:
            run.is_broken = True
        for sock in list(self._listener.open_socks):
            reset(sock)

    def crash(self):
        """End at once, with all connections."""
        self.reset_connections()
        self.stop()

    def stop(self):
        """Stop listening and close all connections."""
        self._listener.stop(timeout=0)


def send_unframed(sock, items, body):
    """Send an answer without a length, and end the connection."""
    lines = ["HTTP/1.1 200 X", *(f"{name}: {value}" for name, value in items)]
    try:
        sock.sendall("\r\n".join([*lines, "", ""]).encode() + body)
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The VM has closed the connection.
        return
