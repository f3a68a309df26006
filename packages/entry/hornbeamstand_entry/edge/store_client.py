"""Client of the platform's store."""

from hornbeamstand_core.errors import PlatformError
from hornbeamstand_core.messages import SendFailure
from result import Err, Ok

from ..encoding import encode_request
from ..tasks.failures import report_failure
from .calls import call

# Maximum size of the store's answer.
ANSWER_MAX_BYTES = 64 << 20
STATUS_OK = 200


class StoreError(PlatformError):
    """A call to the store failed.

    ``status`` is the HTTP status if the store answered with an error. It is 0 if no
    answer came or the answer can't be decoded.
    """

    def __init__(self, step, peer, detail, status=0):
        super().__init__(step, peer, detail)
        self.status = status


class StoreClient:
    """Calls the store; each call returns ``Ok``, or ``Err`` with a StoreError.

    Parameters
    ----------
    address : str
        IP address and port of the store.
    codec : StoreCodec
        Encodes requests and decodes answers.
    pools : Pools
        Connections to the store.
    clock : Clock
        The process's clock.
    timeout_ms : float
        Maximum wait for an answer, in addition to the time for which the call allows
        the store to hold it.
    eras : StoreEra
        Checks the era that each answer states.
    """

    __slots__ = ("address", "codec", "pools", "clock", "timeout_ms", "eras", "n_calls")

    def __init__(self, address, codec, pools, clock, timeout_ms, eras):
        self.address = address
        self.codec = codec
        self.pools = pools
        self.clock = clock
        self.timeout_ms = timeout_ms
        self.eras = eras
        self.n_calls = 0

    def _call(self, step, request, decode, timeout_ms=None):
        self.n_calls += 1
        items = [("Host", self.address)]
        if request.body:
            items.append(("Content-Type", "application/json"))
        request_bytes = encode_request(
            request.method, request.path, items, request.body
        )
        timeout_ms = (timeout_ms or self.timeout_ms) + request.wait_ms
        answer = call(
            self.pools,
            self.clock,
            self.address,
            request.method,
            request_bytes,
            timeout_ms,
            ANSWER_MAX_BYTES,
            needs_recent_response=True,
        )
        if answer is None:
            detail = f"no answer within {timeout_ms:.0f} ms"
            return Err(StoreError(step, self.address, detail))
        if isinstance(answer, SendFailure):
            # The peer is the address, which the error names already, and a reason.
            reason = answer.peer.removeprefix(self.address)
            return Err(StoreError(step, self.address, f"{answer.kind}{reason}"))
        outdated = self.eras.check(answer.get(self.codec.era_header))
        if outdated is not None:
            return Err(StoreError(step, self.address, outdated))
        if answer.status_code != STATUS_OK:
            detail = f"status {answer.status_code}, expected {STATUS_OK}"
            return Err(StoreError(step, self.address, detail, answer.status_code))
        try:
            return Ok(decode(answer.body))
        except ValueError as error:
            return Err(StoreError(step, self.address, f"unreadable answer: {error}"))
        except Exception as error:
            report_failure("store-client", error)
            return Err(StoreError(step, self.address, f"unreadable answer: {error!r}"))

    def read_all(self, prefix, may_be_stale=False):
        """Return one StorePage with all records of a prefix.

        Its revision is the lowest revision of the pages that were read, so that a watch
        from it misses no change, even if replicas with different revisions answered.
        """
        records = []
        revision = float("inf")
        after_key = ""
        while True:
            request = self.codec.range_request(prefix, after_key, may_be_stale)
            answer = self._call("store.range", request, self.codec.decode_page)
            if answer.is_err():
                return answer
            page = answer.ok_value
            if page.has_more and page.last_key <= after_key:
                detail = f"a page ends at {page.last_key!r}, not after {after_key!r}"
                return Err(StoreError("store.range", self.address, detail))
            records += page.records
            revision = min(revision, page.revision)
            after_key = page.last_key
            if not page.has_more:
                page.records = records
                page.revision = revision
                return Ok(page)

    def check(self, key, timeout_ms):
        """Read one key, which may be stale; return Ok if the store answers in time."""
        request = self.codec.range_request(key, "", True)
        return self._call("store.check", request, self.codec.decode_page, timeout_ms)

    def watch(self, prefix, revision, wait_ms):
        """Return a StorePage with the changes after a revision.

        The store may hold the call for up to ``wait_ms`` while there are none.
        """
        request = self.codec.watch_request(prefix, revision, wait_ms)
        return self._call("store.watch", request, self.codec.decode_events)

    def read_removals(self, prefix, revision, wait_ms):
        """Return a dict that maps keys removed after a revision to that of the removal.

        Keys that were written since are left out.
        """
        request = self.codec.watch_request(prefix, revision, wait_ms)
        return self._call("store.history", request, self.codec.decode_removals)

    def grant_lease(self, ttl_ms):
        """Return the id of a new lease; it ends ``ttl_ms`` after its last renewal."""
        request = self.codec.lease_request(ttl_ms)
        return self._call("store.lease", request, self.codec.decode_lease)

    def renew_lease(self, lease_id):
        """Renew a lease."""
        request = self.codec.renew_request(lease_id)
        return self._call("store.keep", request, lambda raw: None)

    def write_rollout_status(self, write):
        """Carry out a WriteRolloutStatus; return the status with its new revision."""
        request = self.codec.rollout_request(write)
        return self._call(
            "store.rollout",
            request,
            lambda raw: self.codec.decode_written(raw, write.status),
        )

    def put(self, key, value, lease_id):
        """Write one key that expires with a lease."""
        request = self.codec.put_request(key, value, lease_id)
        return self._call("store.put", request, lambda raw: None)
