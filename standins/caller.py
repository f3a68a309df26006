"""A caller as described in docs/CALLERS.md: caches lookups and keeps connections."""

import json
import time
from random import Random

import gevent
from geventhttpclient import HTTPClient
from hornbeamstand_core.records import Record

# Timeout for opening a connection to a VM.
CONNECT_TIMEOUT_S = 1.0
# Delay before a request that did not run is sent again.
RESEND_DELAY_S = 0.05


class Outcome(Record):
    """The result of one request, including its resends.

    ``status`` is the HTTP status, or 0 if no response came. ``certainty`` is the value
    of the Hornbeam-Outcome header, such as ``ran``, or the reason why there is no
    response. ``elapsed_ms`` and ``n_sent`` cover all attempts.
    """

    __slots__ = ("status", "certainty", "target", "body", "elapsed_ms", "n_sent")

    def __init__(self, status, certainty, target, body, elapsed_ms, n_sent):
        self.status = status
        self.certainty = certainty
        self.target = target
        self.body = body
        self.elapsed_ms = elapsed_ms
        self.n_sent = n_sent


class Caller:
    """One caller, which caches lookup responses and keeps connections open.

    Parameters
    ----------
    lookup_addresses : list of str
        Front addresses of the VMs to which it sends lookups.
    seed : int
        Seed of its random choices of VMs.

    ``_lookups`` maps a service to (expiry in s on the monotonic clock, entries of its
    last lookup response), ``_clients`` an address to the HTTP client for it.
    """

    __slots__ = ("lookup_addresses", "rng", "_lookups", "_clients")

    def __init__(self, lookup_addresses, seed=0):
        self.lookup_addresses = lookup_addresses
        self.rng = Random(seed)
        self._lookups = {}
        self._clients = {}

    def addresses(self, service):
        """Return the VM addresses of a service in the order in which to try them.

        The first one is drawn at random by weight. An expired lookup response is
        still used if no VM answers a new lookup.
        """
        cached = self._lookups.get(service)
        if cached is None or time.monotonic() >= cached[0]:
            cached = self._look_up(service) or cached
        if cached is None:
            return []
        entries = [e for e in cached[1] if e["weight"] > 0] or cached[1]
        weights = [e["weight"] or 1 for e in entries]
        first = self.rng.choices(entries, weights)[0]["address"]
        return [first, *(e["address"] for e in cached[1] if e["address"] != first)]

    def _look_up(self, service):
        for address in self.rng.sample(
            self.lookup_addresses, len(self.lookup_addresses)
        ):
            try:
                response = self._client(address).get(f"/lookup/{service}")
                raw = bytes(response.read())
            except Exception:
                # Sockets, the HTTP parser and the pool raise unrelated types.
                continue
            if response.status_code == 200:
                body = json.loads(raw)
                expires_s = time.monotonic() + body["ttl_ms"] / 1000.0
                self._lookups[service] = (expires_s, body["addresses"])
                return self._lookups[service]
        return None

    def _client(self, address):
        if address not in self._clients:
            host, _, port = address.rpartition(":")
            self._clients[address] = HTTPClient(
                host,
                int(port),
                connection_timeout=CONNECT_TIMEOUT_S,
                network_timeout=10.0,
                concurrency=64,
            )
        return self._clients[address]

    def call(self, service, method="GET", path="/", body=b"", key=None, n_tries=1):
        """Send one request up to ``n_tries`` times until a response says that it ran.

        A request that may run only once and has no idempotency key must have
        ``n_tries`` 1.
        """
        started_s = time.monotonic()
        outcome = Outcome(0, "no address", "", b"", 0.0, 0)
        for attempt in range(n_tries):
            for address in self.addresses(service):
                outcome = self._send(address, service, method, path, body, key, attempt)
                if outcome.status != 0:
                    break
            if outcome.certainty == "ran":
                break
            gevent.sleep(RESEND_DELAY_S)
        outcome.n_sent = attempt + 1
        outcome.elapsed_ms = (time.monotonic() - started_s) * 1000.0
        return outcome

    def _send(self, address, service, method, path, body, key, attempt):
        headers = {}
        if key is not None:
            headers["Idempotency-Key"] = key
            headers["Hornbeam-Attempt"] = str(attempt + 1)
        url = f"/services/{service}{path}"
        try:
            client = self._client(address)
            response = client.request(method, url, body=body, headers=headers)
            raw = bytes(response.read())
        except Exception as error:
            # Sockets, the HTTP parser and the pool raise unrelated types.
            return Outcome(0, "no answer", "", repr(error).encode(), 0.0, 0)
        certainty = response.get("hornbeam-outcome", "")
        target = response.get("hornbeam-target", "")
        return Outcome(response.status_code, certainty, target, raw, 0.0, 0)

    def close(self):
        """Close every connection."""
        for client in self._clients.values():
            client.close()
