"""Client of the platform's store; no other module encodes its protocol.

A key holds a JSON value and its revision. Writes are compare-and-swap on the
revision, leases expire unless they are renewed, and a watch is a call that waits
until a key changes. See docs/PLATFORM.md.
"""

import secrets
import socket
from typing import Any

import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from hornbeamstand_core.errors import ConflictError, PlatformError
from hornbeamstand_core.records import Record
from result import Err, Ok

from .json_text import check_type, decode_json

# Maximum number of open connections of one client.
N_CONNECTIONS_MAX = 4
# Maximum number of times that a write of unknown outcome is read back.
N_READ_BACKS_MAX = 20


class StoredValue(Record):
    """The value and revision of a key; revision 0 means that the key is absent."""

    __slots__ = ("value", "revision")

    def __init__(self, value, revision):
        self.value = value
        self.revision = revision


def read_stored(raw):
    """Return the StoredValue of a key's JSON object."""
    value = check_type(raw["value"], dict[str, Any] | None)
    return StoredValue(value, check_type(raw["revision"], int))


def read_revision(raw):
    """Return the revision in the answer to a write."""
    return check_type(raw["revision"], int)


def read_lease_id(raw):
    """Return the id of a new lease."""
    return check_type(raw["lease_id"], str)


def read_lapsed(raw):
    """Return the ids of the leases that have lapsed."""
    return check_type(raw["lapsed"], list[str])


class StoreConnectionPool(ConnectionPool):
    """Opens connections to the store; an IPv4 address is not looked up.

    A look-up takes a system thread, with its stack and its part of the address space.
    """

    def _resolve(self):
        host, port = self._connection_host, self._connection_port
        try:
            socket.inet_pton(socket.AF_INET, host)
        except (OSError, ValueError):
            return super()._resolve()
        kind = (socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        return [(*kind, "", (host, port))]

    def _create_tcp_socket(self, *args):
        sock = super()._create_tcp_socket(*args)
        # A later start of this VM may listen at the port that the system chooses.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return sock


class PlatformClient:
    """A client of the platform's store.

    The methods that call the store return ``Ok`` of the decoded response, or ``Err``
    of a PlatformError or ConflictError. They raise no exception when the store fails.
    """

    __slots__ = ("address", "_http")

    def __init__(self, address, timeout_ms):
        host, _, port = address.rpartition(":")
        self.address = address
        timeout_s = timeout_ms / 1000.0
        self._http = HTTPClient(host, int(port), network_timeout=timeout_s)
        self._http._connection_pool = StoreConnectionPool(
            host,
            int(port),
            host,
            int(port),
            N_CONNECTIONS_MAX,
            connection_timeout=timeout_s,
            network_timeout=timeout_s,
        )

    @classmethod
    def from_config(cls, address, timeout_ms):
        """Build a client; ``timeout_ms`` limits connecting and each wait for data.

        A client that watches needs a timeout above the ``wait_ms`` of its watches.
        """
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
            # The sockets, the HTTP parser and the connection pool raise exceptions
            # that share no narrower base class.
            detail = f"no complete answer: {error!r}"
            return Err(PlatformError(step, self.address, detail))
        if status == 409:
            detail = "revision differs from the expected one (status 409)"
            return Err(ConflictError(step, path, detail))
        if status != 200:
            detail = f"status {status}, expected 200"
            return Err(PlatformError(step, self.address, detail))
        try:
            return Ok(decode_json(raw))
        except ValueError as error:
            detail = f"answer is not valid JSON: {error}"
            return Err(PlatformError(step, self.address, detail))

    def _read(self, step, response, read):
        """Return Ok of what ``read`` makes of a decoded response, or Err."""
        if response.is_err():
            return response
        try:
            return Ok(read(response.ok_value))
        except (LookupError, TypeError, ValueError) as error:
            detail = f"answer is JSON of another shape: {error!r}"
            return Err(PlatformError(step, self.address, detail))

    def get(self, key):
        """Read one key; returns Ok of a StoredValue."""
        response = self._call("platform.get", "GET", f"/v1/kv/{key}")
        return self._read("platform.get", response, read_stored)

    def put(self, key, value, expected_revision):
        """Write one key if its revision is the expected one.

        Returns Ok of the new revision, or Err of a ConflictError if it differs.
        """
        body = {"value": value, "expected_revision": expected_revision}
        response = self._call("platform.put", "PUT", f"/v1/kv/{key}", body)
        return self._read("platform.put", response, read_revision)

    def put_and_verify(self, key, value, expected_revision):
        """Write like ``put``, and find out whether a failed write took effect.

        The value carries a token that is unique to this write. After a failure or a
        conflict the key is read back. If it holds the token, the write took effect
        although its response was lost or reported a conflict. If the key still has the
        expected revision, the write is repeated. If the outcome is still unknown
        after ``N_READ_BACKS_MAX`` reads, the error of the last write is returned.
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
                detail = (
                    f"another writer changed the key: found revision"
                    f" {current.revision}, expected {expected_revision}"
                )
                return Err(ConflictError("platform.put", key, detail))
            written = self.put(key, body, expected_revision)
            if written.is_ok():
                return written
        return written

    def grant_lease(self, ttl_ms):
        """Request a new lease; returns Ok of its id."""
        response = self._call(
            "platform.lease", "POST", "/v1/leases", {"ttl_ms": ttl_ms}
        )
        return self._read("platform.lease", response, read_lease_id)

    def renew_leases(self, renew_ids, check_ids):
        """Renew some leases and check others; returns Ok of the lapsed ids."""
        body = {"renew": renew_ids, "check": check_ids}
        response = self._call("platform.renew", "POST", "/v1/leases/renew", body)
        return self._read("platform.renew", response, read_lapsed)

    def watch(self, key, after_revision, wait_ms):
        """Wait for a revision above the given one; returns Ok of a StoredValue.

        The call returns after ``wait_ms`` at the latest.
        """
        path = f"/v1/watch/{key}?after={after_revision}&wait_ms={int(wait_ms)}"
        response = self._call("platform.watch", "GET", path)
        return self._read("platform.watch", response, read_stored)
