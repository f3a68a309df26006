"""A stand-in for the platform of entry VMs: keys, compare-and-swap, leases, watches.

It speaks the protocol under ``/v1``; standins/store.py has the protocol of the edge
processes. All state is in memory. Faults are set by a PUT of ``/faults``. ``/calls``
returns the number of calls by kind; a watch counts as one call however long it waits.
A request to ``/vms`` adds its body, a JSON object, to the VMs that the platform
returns.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from collections import Counter  # noqa: E402
from urllib.parse import parse_qs  # noqa: E402

import gevent  # noqa: E402
from gevent.event import Event  # noqa: E402
from gevent.pywsgi import WSGIServer  # noqa: E402


class Faults:
    """Faults injected into every call.

    ``mode`` is ``ok``, ``down`` (returns 503) or ``silent`` (never responds).
    ``delay_ms`` delays each call. The next ``n_lost_answers`` writes take effect but
    return 504. The next ``n_watch_gaps`` watches that see an update return without it.
    """

    __slots__ = ("mode", "delay_ms", "n_lost_answers", "n_watch_gaps")

    def __init__(self, mode="ok", delay_ms=0, n_lost_answers=0, n_watch_gaps=0):
        self.mode = mode
        self.delay_ms = delay_ms
        self.n_lost_answers = n_lost_answers
        self.n_watch_gaps = n_watch_gaps


class Store:
    """The state of the platform.

    ``values`` maps a key to (value, revision), ``leases`` a lease id to (end in s, time
    to live in ms). ``n_calls`` counts the calls by kind. ``vms`` has the VMs that the
    platform returns.
    """

    __slots__ = (
        "values",
        "leases",
        "n_calls",
        "faults",
        "vms",
        "_changed",
        "_last_revision",
    )

    def __init__(self):
        self.values = {}
        self.leases = {}
        self.n_calls = Counter()
        self.faults = Faults()
        self.vms = {}
        self._changed = Event()
        self._last_revision = 0

    def next_revision(self):
        """Return a revision larger than any before."""
        self._last_revision += 1
        return self._last_revision

    def get(self, key):
        """Return the value and revision of a key; revision 0 if it does not exist."""
        value, revision = self.values.get(key, (None, 0))
        return {"value": value, "revision": revision}

    def put(self, key, body):
        """Write by compare-and-swap; returns the revision, or None on a conflict."""
        if self.get(key)["revision"] != body["expected_revision"]:
            return None
        revision = self.next_revision()
        self.values[key] = (body["value"], revision)
        self._changed.set()
        self._changed.clear()
        return revision

    def grant_lease(self, ttl_ms):
        """Grant a lease; returns its id."""
        lease_id = f"lease-{self.next_revision()}"
        self.leases[lease_id] = (time.monotonic() + ttl_ms / 1000.0, ttl_ms)
        return lease_id

    def renew_leases(self, renew_ids, check_ids):
        """Renew leases; returns the ids that have lapsed.

        The leases in ``check_ids`` are only checked, not renewed.
        """
        now = time.monotonic()
        lapsed = []
        for lease_id in [*renew_ids, *check_ids]:
            end_s, ttl_ms = self.leases.get(lease_id, (0.0, 0))
            if end_s < now:
                lapsed.append(lease_id)
            elif lease_id in renew_ids:
                self.leases[lease_id] = (now + ttl_ms / 1000.0, ttl_ms)
        return lapsed

    def watch(self, key, after, wait_ms):
        """Wait until the revision of a key is above ``after``, at most ``wait_ms``.

        Returns the key's value and revision.
        """
        end_s = time.monotonic() + wait_ms / 1000.0
        while self.get(key)["revision"] <= after:
            remaining_s = end_s - time.monotonic()
            if remaining_s <= 0 or not self._changed.wait(remaining_s):
                break
        return self.get(key)


def make_app(store):
    """Return the WSGI application over a store."""

    def respond(start_response, status, body):
        start_response(status, [("Content-Type", "application/json")])
        return [json.dumps(body).encode()]

    def app(environ, start_response):
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        raw = environ["wsgi.input"].read()
        body = json.loads(raw) if raw else {}
        if path == "/faults":
            store.faults = Faults(**body)
            return respond(start_response, "200 OK", {})
        if path == "/calls":
            return respond(start_response, "200 OK", dict(store.n_calls))
        if path == "/vms":
            store.vms.update(body)
            return respond(start_response, "200 OK", {})
        store.n_calls[f"{method} {path.split('/')[2]}"] += 1
        faults = store.faults
        if faults.mode == "silent":
            gevent.sleep(3600)
        if faults.mode == "down":
            return respond(start_response, "503 Service Unavailable", {})
        gevent.sleep(faults.delay_ms / 1000.0)
        result = execute_call(store, method, path, body, environ)
        if method == "PUT" and result is not None and faults.n_lost_answers > 0:
            faults.n_lost_answers -= 1
            return respond(start_response, "504 Gateway Timeout", {})
        if result is None:
            return respond(start_response, "409 Conflict", {})
        return respond(start_response, "200 OK", result)

    return app


def execute_call(store, method, path, body, environ):
    """Carry out one call; returns the response body, or None for a conflict."""
    if path.startswith("/v1/kv/"):
        key = path.removeprefix("/v1/kv/")
        if method == "GET":
            return store.get(key)
        revision = store.put(key, body)
        return None if revision is None else {"revision": revision}
    if path == "/v1/leases":
        return {"lease_id": store.grant_lease(body["ttl_ms"])}
    if path == "/v1/leases/renew":
        return {"lapsed": store.renew_leases(body["renew"], body["check"])}
    if path.startswith("/v1/watch/"):
        query = parse_qs(environ["QUERY_STRING"])
        key = path.removeprefix("/v1/watch/")
        after = int(query["after"][0])
        entry = store.watch(key, after, float(query["wait_ms"][0]))
        if store.faults.n_watch_gaps > 0 and entry["revision"] > after:
            store.faults.n_watch_gaps -= 1
            return {"value": None, "revision": after}
        return entry
    return {"vms": store.vms}


def main(address):
    """Serve an empty store until the process is stopped."""
    host, _, port = address.rpartition(":")
    WSGIServer((host, int(port)), make_app(Store()), log=None).serve_forever()


if __name__ == "__main__":
    main(sys.argv[1])
