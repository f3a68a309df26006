"""A caller as docs/CALLERS.md asks for: looks up, keeps the answer, connects."""

import json
import time
from random import Random

import gevent
from geventhttpclient import HTTPClient

CONNECT_TIMEOUT_S = 1.0
RESEND_DELAY_S = 0.05


class Outcome:
    """What a caller learned of one request."""

    __slots__ = ("status", "certainty", "target", "body", "elapsed_ms", "n_sent")

    def __init__(self, status, certainty, target, body, elapsed_ms, n_sent):
        self.status = status
        self.certainty = certainty
        self.target = target
        self.body = body
        self.elapsed_ms = elapsed_ms
        self.n_sent = n_sent


class Caller:
    """One caller: knows some VMs to ask, keeps lookup answers and connections.

    Parameters
    ----------
    lookup_addresses : list of str
        Front addresses to send lookups to.
    seed : int
        For its random choices.
    """

    __slots__ = ("lookup_addresses", "rng", "_lookups", "_clients")

    def __init__(self, lookup_addresses, seed=0):
        self.lookup_addresses = lookup_addresses
        self.rng = Random(seed)
        self._lookups = {}
        self._clients = {}

    def addresses(self, service):
        """Return the service's addresses, best first, by weighted chance."""
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
                # Sockets, the HTTP parser and the pool each raise their own types.
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
        """Send one request, again on a refusal if tries are left.

        A request without a key that may run only once must have ``n_tries`` 1.
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
            # Sockets, the HTTP parser and the pool each raise their own types.
            return Outcome(0, "no answer", "", repr(error).encode(), 0.0, 0)
        certainty = response.get("hornbeam-outcome", "")
        target = response.get("hornbeam-target", "")
        return Outcome(response.status_code, certainty, target, raw, 0.0, 0)

    def close(self):
        """Close every connection."""
        for client in self._clients.values():
            client.close()
