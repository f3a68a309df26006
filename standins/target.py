"""Stand-in targets with slots, service times, cold start, draining and faults.

One process serves many targets, each on its own port. ``/health`` and ``/control``
belong to the stand-in; any other path is a request.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import socket  # noqa: E402
import sys  # noqa: E402
from collections import Counter  # noqa: E402
from random import Random  # noqa: E402

import gevent  # noqa: E402
from gevent.lock import Semaphore  # noqa: E402
from gevent.pywsgi import WSGIHandler, WSGIServer  # noqa: E402

# Maximum number of requests that wait for a slot before the target sheds load.
N_QUEUED_MAX = 2


class Target:
    """One stand-in target.

    ``mode`` is ``ok``, ``fail`` (returns 500 at once), ``short`` (truncates the
    response), ``silent`` (never responds) or ``shed`` (rejects requests as not run).
    ``state`` is reported to callers; ``slow`` also triples the service time, and
    ``draining`` rejects requests. ``service_ms`` is the median service time.
    ``n_overrun`` counts the requests that found every slot taken.
    """

    __slots__ = (
        "target_id",
        "slots",
        "service_ms",
        "mode",
        "state",
        "start_id",
        "n_in_flight",
        "n_in_flight_max",
        "n_runs",
        "n_cancelled",
        "n_overrun",
        "runs_by_key",
        "rng",
        "slot_semaphore",
    )

    def __init__(self, target_id, slots, service_ms, seed):
        self.target_id = target_id
        self.slots = slots
        self.service_ms = service_ms
        self.mode = "ok"
        self.state = "ready"
        self.start_id = f"{target_id}-1"
        self.n_in_flight = 0
        self.n_in_flight_max = 0
        self.n_runs = 0
        self.n_cancelled = 0
        self.n_overrun = 0
        self.runs_by_key = Counter()
        self.rng = Random(seed)
        self.slot_semaphore = Semaphore(slots)

    def summary(self):
        """Return the counters that tests read from ``/control``."""
        return {
            "target_id": self.target_id,
            "n_runs": self.n_runs,
            "n_in_flight": self.n_in_flight,
            "n_in_flight_max": self.n_in_flight_max,
            "n_overrun": self.n_overrun,
            "n_cancelled": self.n_cancelled,
            "runs_by_key": dict(self.runs_by_key),
        }


class NoDelayHandler(WSGIHandler):
    """Sends each write at once."""

    def handle(self):
        """Set TCP_NODELAY before the first request."""
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def get_environ(self):
        """Add the socket, to detect a disconnected caller, and the target as sent."""
        environ = super().get_environ()
        environ["standin.socket"] = self.socket
        environ["standin.request_target"] = self.path
        return environ


def report_headers(target):
    """Return the headers in which a target reports its own state."""
    return [
        ("Content-Type", "application/json"),
        ("Hornbeam-Start-Id", target.start_id),
        ("Hornbeam-State", target.state),
        ("Hornbeam-In-Flight", str(target.n_in_flight)),
    ]


def echo_request_id(environ, start_response):
    """Return a ``start_response`` that adds the id of the request, if it has one."""
    request_id = environ.get("HTTP_HORNBEAM_REQUEST_ID")
    if request_id is None:
        return start_response

    def start(status, items):
        start_response(status, [*items, ("Hornbeam-Request-Id", request_id)])

    return start


def simulate_work(target, environ):
    """Sleep for one random service time.

    Returns False at once when the caller disconnects, True otherwise.
    """
    sock = environ["standin.socket"]
    median_ms = target.service_ms * (3.0 if target.state == "slow" else 1.0)
    remaining_s = target.rng.lognormvariate(0.0, 0.3) * median_ms / 1000.0
    while remaining_s > 0:
        gevent.sleep(min(remaining_s, 0.05))
        remaining_s -= 0.05
        if is_peer_closed(sock):
            return False
    return True


def send_truncated_body(sock):
    """Yield the start of a response body, then shut down the connection."""
    yield b"cut"
    sock.shutdown(socket.SHUT_RDWR)


def is_peer_closed(sock):
    """Return whether the other side has closed the connection."""
    try:
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        return sock._sock.recv(1, flags) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def make_app(target):
    """Return the WSGI application of one target."""

    def respond(start_response, status, body):
        raw = json.dumps(body).encode()
        headers = [*report_headers(target), ("Content-Length", str(len(raw)))]
        start_response(status, headers)
        return [raw]

    def run(environ, start_response, raw):
        target.n_runs += 1
        key = environ.get("HTTP_IDEMPOTENCY_KEY")
        if key:
            target.runs_by_key[key] += 1
        if not simulate_work(target, environ):
            target.n_cancelled += 1
            return respond(start_response, "499 Caller Gone", {})
        body = {
            "target": target.target_id,
            "path": environ["PATH_INFO"],
            "sent": environ["standin.request_target"],
            "request_id": environ.get("HTTP_HORNBEAM_REQUEST_ID"),
            "n_bytes": len(raw),
        }
        if environ["QUERY_STRING"].startswith("bytes="):
            n_bytes = int(environ["QUERY_STRING"].removeprefix("bytes="))
            body["padding"] = "x" * n_bytes
        if target.mode == "short":
            headers = [*report_headers(target), ("Content-Length", "100000")]
            start_response("200 OK", headers)
            return send_truncated_body(environ["standin.socket"])
        if environ["REQUEST_METHOD"] == "HEAD":
            return respond(start_response, "200 OK", body)[:0]
        return respond(start_response, "200 OK", body)

    def app(environ, start_response):
        start_response = echo_request_id(environ, start_response)
        path = environ["PATH_INFO"]
        raw = environ["wsgi.input"].read()
        if path == "/health":
            return respond(start_response, "200 OK", {"state": target.state})
        if path == "/control":
            for name, value in json.loads(raw or b"{}").items():
                setattr(target, name, value)
            return respond(start_response, "200 OK", target.summary())
        if target.mode == "fail":
            return respond(start_response, "500 Internal Server Error", {})
        if target.mode == "silent":
            gevent.sleep(3600)
        is_full = target.n_in_flight >= target.slots + N_QUEUED_MAX
        if target.mode == "shed" or target.state == "draining" or is_full:
            status = "503 Service Unavailable"
            headers = [
                *report_headers(target),
                ("Hornbeam-Not-Run", "1"),
                ("Content-Length", "0"),
            ]
            start_response(status, headers)
            return [b""]
        target.n_in_flight += 1
        target.n_in_flight_max = max(target.n_in_flight_max, target.n_in_flight)
        if target.n_in_flight > target.slots:
            target.n_overrun += 1
        try:
            with target.slot_semaphore:
                return run(environ, start_response, raw)
        finally:
            target.n_in_flight -= 1

    return app


def serve(target, address):
    """Start serving one target; returns the server."""
    host, _, port = address.rpartition(":")
    app = make_app(target)
    server = WSGIServer(
        (host, int(port)), app, log=None, error_log=None, handler_class=NoDelayHandler
    )
    server.start()
    return server


def main(spec_file):
    """Serve the targets listed in a JSON file until the process is stopped."""
    with open(spec_file) as file:
        specs = json.load(file)
    for seed, spec in enumerate(specs):
        target = Target(spec["target_id"], spec["slots"], spec["service_ms"], seed)
        target.state = spec.get("state", "ready")
        serve(target, spec["address"])
    gevent.wait()


if __name__ == "__main__":
    main(sys.argv[1])
