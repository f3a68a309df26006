"""The client of the platform's store: calls through a codec, typed errors."""

from hornbeamstand_core.errors import PlatformError
from hornbeamstand_core.messages import SendFailure
from result import Err, Ok

from ..encoding import encode_request
from .calls import call

ANSWER_MAX_BYTES = 64 << 20
STATUS_OK = 200


class StoreError(PlatformError):
    """A call of the store failed; ``status`` is 0 if no answer came."""

    def __init__(self, step, peer, detail, status=0):
        super().__init__(step, peer, detail)
        self.status = status


class StoreClient:
    """Calls of the store; each returns ``Ok`` or ``Err`` of a StoreError.

    Parameters
    ----------
    address : str
        IP address and port of the store.
    codec : StoreCodec
        Encodes requests and decodes answers.
    pools : Pools
        Connections.
    clock : Clock
        The process's clock.
    timeout_ms : float
        Longest wait for an answer, besides what the call itself may hold it.
    """

    __slots__ = ("address", "codec", "pools", "clock", "timeout_ms", "n_calls")

    def __init__(self, address, codec, pools, clock, timeout_ms):
        self.address = address
        self.codec = codec
        self.pools = pools
        self.clock = clock
        self.timeout_ms = timeout_ms
        self.n_calls = 0

    def _call(self, step, request, decode):
        self.n_calls += 1
        items = [("Host", self.address)]
        if request.body:
            items.append(("Content-Type", "application/json"))
        wire = encode_request(request.method, request.path, items, request.body)
        timeout_ms = self.timeout_ms + request.wait_ms
        answer = call(
            self.pools,
            self.clock,
            self.address,
            request.method,
            wire,
            timeout_ms,
            ANSWER_MAX_BYTES,
        )
        if answer is None:
            return Err(StoreError(step, self.address, "no answer in time"))
        if isinstance(answer, SendFailure):
            return Err(StoreError(step, self.address, f"{answer.kind} {answer.peer}"))
        if answer.status_code != STATUS_OK:
            detail = f"status {answer.status_code}"
            return Err(StoreError(step, self.address, detail, answer.status_code))
        try:
            return Ok(decode(answer.body))
        except ValueError as error:
            return Err(StoreError(step, self.address, f"unreadable answer: {error}"))

    def read_all(self, prefix, may_be_stale=False):
        """Return one StorePage of a prefix.

        Its revision is the least of its pages': what was written after it can be
        watched for, also where another replica answered a later page.
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
            records += page.records
            revision = min(revision, page.revision)
            after_key = page.last_key
            if not page.has_more:
                page.records = records
                page.revision = revision
                return Ok(page)

    def watch(self, prefix, revision, wait_ms):
        """Return a StorePage of what was written after a revision."""
        request = self.codec.watch_request(prefix, revision, wait_ms)
        return self._call("store.watch", request, self.codec.decode_events)

    def grant_lease(self, ttl_ms):
        """Return a new lease's id."""
        request = self.codec.lease_request(ttl_ms)
        return self._call("store.lease", request, self.codec.decode_lease)

    def renew_lease(self, lease_id):
        """Renew a lease."""
        request = self.codec.keep_request(lease_id)
        return self._call("store.keep", request, lambda raw: None)

    def put(self, key, value, lease_id):
        """Write one key, bound to a lease."""
        request = self.codec.put_request(key, value, lease_id)
        return self._call("store.put", request, lambda raw: None)
