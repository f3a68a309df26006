"""A stand-in for the platform's store that edge processes use, with faults.

It speaks the platform's published protocol (``/kv-range`` and so on) and runs in
greenlets in the process of the test or demo that starts it.
"""

import base64
from urllib.parse import parse_qs

import gevent
import msgspec
from gevent.event import Event
from gevent.pywsgi import WSGIServer

# Maximum number of items in one page of a range read.
N_PAGE_MAX = 500
MS_PER_S = 1000.0


class Item:
    """One key of the store; ``lease_id`` is 0 without a lease."""

    __slots__ = ("key", "value", "revision", "created_revision", "lease_id")

    def __init__(self, key, value, revision, created_revision, lease_id):
        self.key = key
        self.value = value
        self.revision = revision
        self.created_revision = created_revision
        self.lease_id = lease_id

    def encoded(self):
        """Return the item as the protocol encodes it."""
        return {
            "Key": self.key,
            "Value": base64.b64encode(self.value).decode(),
            "Rev": self.revision,
            "CreateRev": self.created_revision,
            "Lease": self.lease_id,
        }


class StoreCopy:
    """The keys, history and leases of a store at one moment."""

    __slots__ = ("items", "events", "leases", "revision", "oldest_revision", "n_leases")

    def __init__(self, store, n_leases):
        self.items = dict(store.items)
        self.events = list(store.events)
        self.leases = dict(store.leases)
        self.revision = store.revision
        self.oldest_revision = store.oldest_revision
        self.n_leases = n_leases


class Store:
    """Keys, leases and a history of events.

    ``mode`` is the current fault, or ``ok``: ``busy`` returns 503, ``many`` returns
    429, ``silent`` never responds, and ``lost`` carries out writes without responding.
    Calls from ``refused_ips`` get 503. ``leases`` maps a lease id to (time to live in
    ms, end in s); ``oldest_revision`` is where the history starts. ``silent_peers`` are
    the addresses of the connections that are never answered any more. ``era`` counts
    the returns from an older copy; the answers state it if ``states_era`` is set.
    """

    __slots__ = (
        "era",
        "states_era",
        "items",
        "events",
        "leases",
        "revision",
        "oldest_revision",
        "mode",
        "refused_ips",
        "silent_peers",
        "n_calls",
        "address",
        "_changed",
        "_n_leases",
        "_seen_peers",
    )

    def __init__(self):
        self.era = 1
        self.states_era = True
        self.items = {}
        self.events = []
        self.leases = {}
        self.revision = 1
        self.oldest_revision = 1
        self.mode = "ok"
        self.refused_ips = set()
        self.silent_peers = set()
        self._seen_peers = set()
        self.n_calls = 0
        self.address = ""
        self._changed = Event()
        self._n_leases = 0

    def start(self, stack, address=("127.0.0.1", 0)):
        """Start listening; the stack stops it."""
        server = WSGIServer(address, self.serve, log=None, error_log=None)
        server.start()
        stack.callback(server.stop, timeout=0)
        self.address = f"127.0.0.1:{server.server_port}"
        reaper = gevent.spawn(self._expire_leases)
        stack.callback(reaper.kill, block=False)

    # Actions of tests and operators.

    def put(self, key, value, lease_id=0):
        """Write one key; any value but bytes is encoded as JSON."""
        if not isinstance(value, bytes):
            value = msgspec.json.encode(value)
        self.revision += 1
        existing = self.items.get(key)
        created_revision = existing.created_revision if existing else self.revision
        item = Item(key, value, self.revision, created_revision, lease_id)
        self.items[key] = item
        self._append_event(item.encoded())

    def delete(self, key):
        """Remove one key, if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append_event({"Key": key, "Rev": self.revision, "Tombstone": True})

    def compact_history(self):
        """Drop every event, so that watches from earlier revisions get 410."""
        self.events.clear()
        self.oldest_revision = self.revision
        self._notify_watches()

    def take_copy(self):
        """Return a StoreCopy from which ``come_back`` may restore the store."""
        return StoreCopy(self, self._n_leases)

    def come_back(self, copy):
        """Lose all that was acknowledged since a copy was taken.

        Revisions and lease ids are given out again. Watches that wait are cut.
        """
        self.era += 1
        self.items = dict(copy.items)
        self.events = list(copy.events)
        self.revision = copy.revision
        self.oldest_revision = copy.oldest_revision
        self._n_leases = copy.n_leases
        now_s = gevent.get_hub().loop.now()
        self.leases = {
            lease_id: (ttl_ms, now_s + ttl_ms / MS_PER_S)
            for lease_id, (ttl_ms, _) in copy.leases.items()
        }
        self._notify_watches()

    def silence_connections(self):
        """Never answer again on the connections that have carried a call until now."""
        self.silent_peers |= self._seen_peers

    def _append_event(self, event):
        self.events.append(event)
        self._notify_watches()

    def _notify_watches(self):
        self._changed.set()
        self._changed = Event()

    def _expire_leases(self):
        while True:
            gevent.sleep(0.05)
            now_s = gevent.get_hub().loop.now()
            for lease_id in [i for i, (_, end) in self.leases.items() if end < now_s]:
                self.end_lease(lease_id)

    def end_lease(self, lease_id):
        """End a lease and remove its keys."""
        self.leases.pop(lease_id, None)
        for key in [k for k, item in self.items.items() if item.lease_id == lease_id]:
            self.delete(key)

    # Calls of the protocol.

    def serve(self, environ, start_response):
        """Serve one call (a WSGI application)."""
        self.n_calls += 1
        peer = (environ["REMOTE_ADDR"], environ["REMOTE_PORT"])
        self._seen_peers.add(peer)
        refusal_status = self._refusal_status(environ)
        if refusal_status is not None:
            return self._respond(start_response, refusal_status, {})
        path = environ["PATH_INFO"]
        query = {k: v[0] for k, v in parse_qs(environ["QUERY_STRING"], True).items()}
        raw = environ["wsgi.input"].read()
        body = msgspec.json.decode(raw) if raw else {}
        status, response_body = self._dispatch(path, query, body)
        is_lost = self.mode == "lost" and environ["REQUEST_METHOD"] == "POST"
        if is_lost or peer in self.silent_peers:
            gevent.sleep(3600)
        return self._respond(start_response, status, response_body)

    def _respond(self, start_response, status, response_body):
        """Return a response with a JSON body and the era."""
        raw = msgspec.json.encode(response_body)
        items = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(raw))),
        ]
        if self.states_era:
            items.append(("Store-Era", str(self.era)))
        start_response(f"{status} X", items)
        return [raw]

    def _refusal_status(self, environ):
        if environ["REMOTE_ADDR"] in self.refused_ips:
            return 503
        if self.mode == "silent":
            gevent.sleep(3600)
        return {"busy": 503, "many": 429}.get(self.mode)

    def _dispatch(self, path, query, body):
        if path == "/kv-range":
            return self._range(query)
        if path == "/kv-watch":
            return self._watch(query)
        if path == "/kv-txn":
            return self._write(body)
        if path == "/kv-lease":
            return self._grant_lease(body)
        if path.startswith("/kv-keep/"):
            return self._keep_lease(int(path.rpartition("/")[2]))
        return 404, {}

    def _range(self, query):
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["Prefix"]) and key > query.get("after", "")
        )
        items = [self.items[key].encoded() for key in keys[:N_PAGE_MAX]]
        has_more = len(keys) > N_PAGE_MAX
        return 200, {"items": items, "HasMore": has_more, "AsOf": self.revision}

    def _watch(self, query):
        after = int(query["after"])
        wait_s = int(query["WaitMs"]) / MS_PER_S
        era = self.era
        with gevent.Timeout(wait_s, False):
            while True:
                if era != self.era:
                    return 503, {}
                if after > self.revision:
                    return 410, {}
                if after < self.oldest_revision - 1 or (
                    after < self.oldest_revision and not self.events
                ):
                    return 410, {}
                events = [
                    event
                    for event in self.events
                    if event["Rev"] > after and event["Key"].startswith(query["Prefix"])
                ]
                if events:
                    return 200, {"events": events, "AsOf": self.revision}
                self._changed.wait()
        return 200, {"events": [], "AsOf": self.revision}

    def _write(self, body):
        for row in body["Expect"]:
            item = self.items.get(row["Key"])
            if (item.revision if item else 0) != row["Rev"]:
                return 412, {"items": []}
        for row in body["Writes"]:
            if row["Lease"] and row["Lease"] not in self.leases:
                return 404, {}
        for row in body["Writes"]:
            self.put(row["Key"], base64.b64decode(row["Value"]), row["Lease"])
        for key in body["Delete"]:
            self.delete(key)
        return 200, {"Rev": self.revision}

    def _grant_lease(self, body):
        self._n_leases += 1
        ttl_ms = float(body["Ttl_time"].removesuffix("ms"))
        self._extend_lease(self._n_leases, ttl_ms)
        return 200, {"Lease": self._n_leases, "Ttl_time": body["Ttl_time"]}

    def _extend_lease(self, lease_id, ttl_ms):
        end_s = gevent.get_hub().loop.now() + ttl_ms / MS_PER_S
        self.leases[lease_id] = (ttl_ms, end_s)

    def _keep_lease(self, lease_id):
        if lease_id not in self.leases:
            return 404, {}
        ttl_ms = self.leases[lease_id][0]
        self._extend_lease(lease_id, ttl_ms)
        return 200, {"Ttl_time": f"{int(ttl_ms)}ms"}
