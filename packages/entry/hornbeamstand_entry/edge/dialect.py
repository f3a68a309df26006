"""What a platform's adapter hands in: names of headers, and codecs as functions."""

from hornbeamstand_core.records import Record


class HeaderNames(Record):
    """Names of the headers that callers, targets and this system exchange."""

    __slots__ = (
        "request_id",
        "deadline_ms",
        "seal",
        "did_not_run",
        "expected_target",
        "load",
        "retry_after",
    )

    def __init__(
        self,
        request_id,
        deadline_ms,
        seal,
        did_not_run,
        expected_target,
        load,
        retry_after="Retry-After",
    ):
        self.request_id = request_id
        self.deadline_ms = deadline_ms
        self.seal = seal
        self.did_not_run = did_not_run
        self.expected_target = expected_target
        self.load = load
        self.retry_after = retry_after


class StoreCodec(Record):
    """Requests to the store and their answers.

    Requests are functions that return a StoreRequest; ``decode_page`` and
    ``decode_events`` return a StorePage, ``decode_lease`` a lease id and
    ``decode_config_copy`` a ConfigEntry or InvalidEntry of the value that a peer
    copied. Operators write below ``operator_prefix``.
    """

    __slots__ = (
        "range_request",
        "watch_request",
        "lease_request",
        "keep_request",
        "put_request",
        "decode_page",
        "decode_events",
        "decode_lease",
        "decode_config_copy",
        "operator_prefix",
    )

    def __init__(
        self,
        range_request,
        watch_request,
        lease_request,
        keep_request,
        put_request,
        decode_page,
        decode_events,
        decode_lease,
        decode_config_copy,
        operator_prefix,
    ):
        self.range_request = range_request
        self.watch_request = watch_request
        self.lease_request = lease_request
        self.keep_request = keep_request
        self.put_request = put_request
        self.decode_page = decode_page
        self.decode_events = decode_events
        self.decode_lease = decode_lease
        self.decode_config_copy = decode_config_copy
        self.operator_prefix = operator_prefix


class Dialect(Record):
    """One platform's way to speak.

    ``decode_load`` maps a header value to a LoadReport or None; ``read_lookup``
    the query of a look-up to a host name and a failure domain; ``encode_lookup``
    addresses and a time to live to a body; ``vm_item`` a VM's id and address to
    the key and value of its entry in the store.
    """

    __slots__ = (
        "headers",
        "store",
        "lookup_path",
        "ready_path",
        "decode_load",
        "read_lookup",
        "encode_lookup",
        "vm_item",
    )

    def __init__(
        self,
        headers,
        store,
        lookup_path,
        ready_path,
        decode_load,
        read_lookup,
        encode_lookup,
        vm_item,
    ):
        self.headers = headers
        self.store = store
        self.lookup_path = lookup_path
        self.ready_path = ready_path
        self.decode_load = decode_load
        self.read_lookup = read_lookup
        self.encode_lookup = encode_lookup
        self.vm_item = vm_item


class StoreRequest(Record):
    """One call of the store; ``wait_ms`` is how long it may hold its answer."""

    __slots__ = ("method", "path", "body", "wait_ms")

    def __init__(self, method, path, body=b"", wait_ms=0.0):
        self.method = method
        self.path = path
        self.body = body
        self.wait_ms = wait_ms


class StorePage(Record):
    """Records of one answer; ``last_key`` continues a range that has more."""

    __slots__ = ("records", "revision", "last_key", "has_more")

    def __init__(self, records, revision, last_key="", has_more=False):
        self.records = records
        self.revision = revision
        self.last_key = last_key
        self.has_more = has_more
