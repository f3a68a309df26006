"""The one module that speaks the platform's protocol.

Keys hold JSON values with a revision; writes are by compare-and-swap; leases
lapse unless renewed; a watch waits for a change. See docs/PLATFORM.md.
"""

import secrets

import msgspec
from geventhttpclient import HTTPClient
from hornbeamstand_core.errors import ConflictError, PlatformError
from hornbeamstand_core.records import Record
from result import Err, Ok

N_CONNECTIONS = 4
N_READ_BACKS_MAX = 20


class StoredValue(Record):
    """One key's value and revision; revision 0 means that it is absent."""

    __slots__ = ("value", "revision")

    def __init__(self, value, revision):
        self.value = value
        self.revision = revision


class PlatformClient:
    """A client of the platform's store.

    Every method returns ``Ok`` of its answer or ``Err`` of a PlatformError or
    ConflictError; none raises for a fault of the platform.
    """

    __slots__ = ("address", "_http")

    def __init__(self, address, timeout_ms):
        host, _, port = address.rpartition(":")
        self.address = address
        self._http = HTTPClient(
            host,
            int(port),
            concurrency=N_CONNECTIONS,
            connection_timeout=timeout_ms / 1000.0,
            network_timeout=timeout_ms / 1000.0,
        )

    @classmethod
    def from_config(cls, address, timeout_ms):
        """Build a client; ``timeout_ms`` bounds each call but a watch."""
        return cls(address, timeout_ms)

    def close(self):
        """Close the connections."""
        self._http.close()

    def _call(self, step, method, path, body=None):
        payload = b"" if body is None else msgspec.json.encode(body)
        try:
            response = self._http.request(method, path, body=payload)
            raw = response.read()
            status = response.status_code
        except Exception as error:
            # Sockets, the HTTP parser and the pool each raise their own types.
            return Err(PlatformError(step, self.address, repr(error)))
        if status == 409:
            return Err(ConflictError(step, path, "revision differs"))
        if status != 200:
            return Err(PlatformError(step, self.address, f"status {status}"))
        try:
            return Ok(msgspec.json.decode(raw))
        except msgspec.DecodeError as error:
            return Err(PlatformError(step, self.address, str(error)))

    def get(self, key):
        """Read one key; returns StoredValue."""
        response = self._call("platform.get", "GET", f"/v1/kv/{key}")
        return response.map(lambda raw: StoredValue(raw["value"], raw["revision"]))

    def put(self, key, value, expected_revision):
        """Write one key if its revision is as expected; returns the new one."""
        body = {"value": value, "expected_revision": expected_revision}
        response = self._call("platform.put", "PUT", f"/v1/kv/{key}", body)
        return response.map(lambda raw: raw["revision"])

    def put_and_verify(self, key, value, expected_revision):
        """Write like ``put``, but find out what a lost answer meant.

        A token of this write goes into the value. After a failure or a
        conflict the key is read back: with our token in it, the write took
        effect, whatever the answer said.
        """
        token = secrets.token_hex(8)
        body = {**value, "writer_token": token}
        written = self.put(key, body, expected_revision)
        if written.is_ok():
            return written
        for _ in range(N_READ_BACKS_MAX):
            stored = self.get(key)
            if stored.is_err():
                continue
            current = stored.ok_value
            if current.value and current.value.get("writer_token") == token:
                return Ok(current.revision)
            if current.revision != expected_revision:
                detail = f"revision {current.revision}, expected {expected_revision}"
                return Err(ConflictError("platform.put", key, detail))
            written = self.put(key, body, expected_revision)
            if written.is_ok():
                return written
        return written

    def grant_lease(self, ttl_ms):
        """Return a new lease's id."""
        response = self._call(
            "platform.lease", "POST", "/v1/leases", {"ttl_ms": ttl_ms}
        )
        return response.map(lambda raw: raw["lease_id"])

    def renew_leases(self, renew_ids, check_ids):
        """Renew some leases and check others; returns the ids that lapsed."""
        body = {"renew": renew_ids, "check": check_ids}
        response = self._call("platform.renew", "POST", "/v1/leases/renew", body)
        return response.map(lambda raw: raw["lapsed"])

    def watch(self, key, after_revision, wait_ms):
        """Wait until a key's revision is above the given one, or time is up."""
        path = f"/v1/watch/{key}?after={after_revision}&wait_ms={int(wait_ms)}"
        response = self._call("platform.watch", "GET", path)
        return response.map(lambda raw: StoredValue(raw["value"], raw["revision"]))
