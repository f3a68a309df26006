"""A stand-in for a server of the platform, with load figures and faults."""

import socket
from collections import Counter
from email.parser import Parser

import gevent
from gevent.pywsgi import OldMessage, WSGIHandler, WSGIServer

# Time for which a server in mode "hang" holds a request: longer than any test.
HANG_S = 3600.0
# Status of the answers to requests that ran, by mode; it is 200 in all others.
RUN_STATUSES = {"error": "500", "no status": "000"}


class NoDelayHandler(WSGIHandler):
    """Sends each write at once, and passes on the socket and the raw request.

    It has no limits of its own for the request line and the headers.
    """

    def read_requestline(self):
        """Read the request line; return its first character, or "" if there is none.

        ``read_request`` takes the whole line, which the library would refuse here.
        """
        self.whole_requestline = self.rfile.readline().decode("latin-1")
        return self.whole_requestline[:1]

    def read_request(self, raw_requestline):
        """Read the headers."""
        return super().read_request(self.whole_requestline)

    def MessageClass(self, file, seekable):
        """Return the headers of the request."""
        lines = [file.readline()]
        while lines[-1].rstrip(b"\r\n"):
            lines.append(file.readline())
        return Parser(_class=OldMessage).parsestr(b"".join(lines).decode("latin-1"))

    def handle(self):
        """Set TCP_NODELAY before the first request."""
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def get_environ(self):
        """Add the socket, the request target as sent and the header lines."""
        environ = super().get_environ()
        environ["standin.socket"] = self.socket
        environ["standin.request_target"] = self.path
        environ["standin.headers"] = self.headers.items()
        return environ


class Server:
    """One server of a service.

    ``mode`` is ``ok``, ``shed`` (rejects requests without running them), ``error``
    (runs them and returns 500), ``cut`` (runs them and closes the connection without
    a response), ``extra`` (sends a second response), ``no status`` (runs them and
    answers with status 000), ``hang`` (never answers a request, nor any that follows on
    its connection) or ``early`` (answers before it reads the body). ``is_leaving`` is
    set if it says in all answers that it leaves. It asks for a pause of ``pause_s`` in
    each rejection, and states ``cold_ms`` in its health answers, if these are not 0.
    ``speed`` is the factor of the work time over ``work_ms``: 2.0 takes twice as long.
    ``version`` is that of its software, and ``started_wall_ms`` the start time in the
    server's entry; a change of it stands for a restart. ``runs``
    counts runs by attempt id. ``arrivals`` has the time and attempt id of each request,
    also of those that did not run. ``received_requests`` has the request target and
    header lines of each request that ran. ``peer_ports`` has the
    port of the connection of each arrival, ``pauses`` the time, port and pause in
    seconds of each rejection that asked for a pause, and ``leaving_answers`` the port
    and attempt id of each answer to a request that said that the server leaves.
    """

    __slots__ = (
        "server_id",
        "service",
        "domain",
        "n_slots",
        "work_ms",
        "mode",
        "is_leaving",
        "pause_s",
        "cold_ms",
        "speed",
        "version",
        "state",
        "started_wall_ms",
        "n_entries",
        "address",
        "n_running",
        "n_running_max",
        "n_load_probes",
        "runs",
        "run_started_at_s",
        "arrivals",
        "received_requests",
        "peer_ports",
        "pauses",
        "leaving_answers",
        "_listener",
    )

    def __init__(self, server_id, service, domain, n_slots=3, work_ms=20.0):
        self.server_id = server_id
        self.service = service
        self.domain = domain
        self.n_slots = n_slots
        self.work_ms = work_ms
        self.mode = "ok"
        self.is_leaving = False
        self.pause_s = 0.0
        self.cold_ms = 0.0
        self.speed = 1.0
        self.version = "v1"
        self.state = "ready"
        self.started_wall_ms = 1
        self.n_entries = 0
        self.address = ""
        self.n_running = 0
        self.n_running_max = 0
        self.n_load_probes = 0
        self.runs = Counter()
        self.run_started_at_s = []
        self.arrivals = []
        self.received_requests = []
        self.peer_ports = []
        self.pauses = []
        self.leaving_answers = []
        self._listener = None

    def start(self, stack):
        """Start listening; the stack stops it."""
        server = WSGIServer(
            ("127.0.0.1", 0),
            self.serve,
            log=None,
            error_log=None,
            handler_class=NoDelayHandler,
        )
        server.start()
        stack.callback(server.stop, timeout=0)
        self._listener = server
        self.address = f"127.0.0.1:{server.server_port}"

    def stop(self):
        """Stop at once: requests that run are cut."""
        self._listener.stop(timeout=0)

    def entry(self, cold_remaining_ms=0):
        """Return the next entry that the server writes to the store."""
        self.n_entries += 1
        return {
            "Address": self.address,
            "Info": {
                "Backend": self.service,
                "Version": self.version,
                "Zone": self.domain,
                "Concurrency": self.n_slots,
            },
            "Status": {
                "State": self.state,
                "Seq": self.n_entries,
                "WarmupLeft": f"{int(cold_remaining_ms)}ms",
            },
            "born": self.started_wall_ms,
        }

    def load_figures(self):
        """Return the value of the Server-Load header.

        The figures are the requests running and queued, the slots, and the work time
        in percent of the usual one.
        """
        return f"{self.n_running},0,{self.n_slots},{int(self.speed * 100)}"

    def notice_items(self):
        """Return the header lines that all answers have."""
        return [("Server-Leaving", "1")] if self.is_leaving else []

    def serve(self, environ, start_response):
        """Serve one request (a WSGI application)."""
        if environ["PATH_INFO"] == "/health":
            self.n_load_probes += 1
            items = [
                ("Instance-Id", self.server_id),
                ("Server-Load", self.load_figures()),
                *self.notice_items(),
            ]
            if self.cold_ms:
                items.append(("Warmup-Ms", str(int(self.cold_ms))))
            return respond(start_response, 200, b"", items)
        attempt_id = environ.get("HTTP_ATTEMPT_ID", "")
        expected_id = environ.get("HTTP_EXPECT_INSTANCE", self.server_id)
        if expected_id != self.server_id:
            items = [("Attempt-Id", attempt_id), ("Instance-Id", self.server_id)]
            return respond(start_response, 421, b"", items)
        peer_port = int(environ["REMOTE_PORT"])
        self.arrivals.append((gevent.get_hub().loop.now(), attempt_id))
        self.peer_ports.append(peer_port)
        if self.mode == "hang":
            gevent.sleep(HANG_S)
        if self.mode == "shed" or self.n_running >= self.n_slots:
            items = [
                ("Attempt-Id", attempt_id),
                ("Not-Executed", "1"),
                ("Server-Load", self.load_figures()),
                *self.notice_items(),
            ]
            if self.pause_s:
                now_s = gevent.get_hub().loop.now()
                self.pauses.append((now_s, peer_port, self.pause_s))
                items.append(("Retry-After", str(self.pause_s)))
            return respond(start_response, 503, b"", items)
        body = b"" if self.mode == "early" else environ["wsgi.input"].read()
        self.received_requests.append(
            (environ["standin.request_target"], environ["standin.headers"])
        )
        self._run(attempt_id)
        return self._send_response(environ, start_response, attempt_id, body)

    def _run(self, attempt_id):
        self.runs[attempt_id] += 1
        self.run_started_at_s.append(gevent.get_hub().loop.now())
        self.n_running += 1
        self.n_running_max = max(self.n_running_max, self.n_running)
        gevent.sleep(self.work_ms * self.speed / 1000.0)

    def _send_response(self, environ, start_response, attempt_id, body):
        items = [
            ("Attempt-Id", attempt_id),
            ("Server-Seal", f"seal-{self.server_id}"),
            ("Server-Load", self.load_figures()),
            *self.notice_items(),
        ]
        if self.is_leaving:
            peer_port = int(environ["REMOTE_PORT"])
            self.leaving_answers.append((peer_port, attempt_id))
        self.n_running -= 1
        if self.mode == "cut":
            environ["standin.socket"].shutdown(socket.SHUT_RDWR)
        status = RUN_STATUSES.get(self.mode, "200")
        response_body = make_answer(environ["QUERY_STRING"]) or (
            b"ran " + environ["standin.request_target"].encode() + b" " + body
        )
        if self.mode == "extra":
            sock = environ["standin.socket"]
            gevent.spawn_later(0.005, send_extra_response, sock, attempt_id)
        return respond(start_response, status, response_body, items)


def send_extra_response(sock, attempt_id):
    """Send a second response to a request that already has one."""
    head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt_id}\r\nServer-Seal: x\r\n"
    try:
        sock.sendall(head.encode() + b"Content-Length: 5\r\n\r\nextra")
    except OSError:
        # The connection is already closed, so no caller can get the response.
        return


def make_answer(query):
    """Return a body of the size that a query such as ``bytes=100`` asks for."""
    name, _, value = query.partition("=")
    return bytes(int(value)) if name == "bytes" else b""


def respond(start_response, status, body, items):
    """Return a response with a body of known length."""
    start_response(f"{status} X", [*items, ("Content-Length", str(len(body)))])
    return [body]
