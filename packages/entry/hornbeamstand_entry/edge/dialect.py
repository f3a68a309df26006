"""Header names and codec functions that a platform's adapter provides."""

from hornbeamstand_core.key_messages import CallerKey
from hornbeamstand_core.records import Record


class HeaderNames(Record):
    """Names of the headers that callers, targets and this system exchange.

    ``request_id`` holds the caller's id of a request, which the target returns, and
    ``deadline_ms`` the time left for the request. A target's success is valid only with
    ``seal``. ``did_not_run`` states that the target did not run the request, and
    ``load`` has its load figures. A request to a target names the target in
    ``expected_target``. ``retry_after`` tells a caller that was refused when to retry,
    in seconds. ``target_id`` holds the id of the target in its answers; it is empty if
    targets don't state it. A caller shows the key of its organisation in ``key``, by
    the authentication scheme ``key_scheme``, and a request to a target names the
    organisation in ``organisation``; they are empty if there are no organisations.
    ``hidden_names`` are the names of both in lower case.
    """

    __slots__ = (
        "request_id",
        "deadline_ms",
        "seal",
        "did_not_run",
        "expected_target",
        "load",
        "retry_after",
        "target_id",
        "key",
        "key_scheme",
        "organisation",
        "hidden_names",
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
        target_id="",
        key="",
        key_scheme="",
        organisation="",
    ):
        self.request_id = request_id
        self.deadline_ms = deadline_ms
        self.seal = seal
        self.did_not_run = did_not_run
        self.expected_target = expected_target
        self.load = load
        self.retry_after = retry_after
        self.target_id = target_id
        self.key = key
        self.key_scheme = key_scheme
        self.organisation = organisation
        self.hidden_names = frozenset([key.lower(), organisation.lower()])


class StoreCodec(Record):
    """Encoders of requests to the store and decoders of its answers.

    The ``*_request`` functions return a StoreRequest; ``renew_request`` renews a lease.
    ``decode_page`` returns the StorePage of a range, ``decode_events`` that of a watch,
    and ``decode_lease`` a lease id; they raise ValueError if the answer is malformed.
    ``decode_config_copy`` returns a ConfigEntry, or an InvalidEntry, of a configuration
    copied from a peer. Operators write keys below ``operator_prefix``. The header
    ``era_header`` of the store's answers states its era, see StoreEraNoted.
    ``rollout_request`` carries out a WriteRolloutStatus, and ``decode_written`` takes
    its answer and its status, and returns the status with its revision.
    ``decode_removals`` takes the answer to a watch and returns a dict that maps each
    key whose last event is a removal to the revision of that. It is None if the store
    tells no removals.
    """

    __slots__ = (
        "range_request",
        "watch_request",
        "lease_request",
        "renew_request",
        "put_request",
        "decode_page",
        "decode_events",
        "decode_lease",
        "decode_config_copy",
        "operator_prefix",
        "era_header",
        "rollout_request",
        "decode_written",
        "decode_removals",
    )

    def __init__(
        self,
        range_request,
        watch_request,
        lease_request,
        renew_request,
        put_request,
        decode_page,
        decode_events,
        decode_lease,
        decode_config_copy,
        operator_prefix,
        era_header="",
        rollout_request=None,
        decode_written=None,
        decode_removals=None,
    ):
        self.range_request = range_request
        self.watch_request = watch_request
        self.lease_request = lease_request
        self.renew_request = renew_request
        self.put_request = put_request
        self.decode_page = decode_page
        self.decode_events = decode_events
        self.decode_lease = decode_lease
        self.decode_config_copy = decode_config_copy
        self.operator_prefix = operator_prefix
        self.era_header = era_header
        self.rollout_request = rollout_request
        self.decode_written = decode_written
        self.decode_removals = decode_removals


def no_notice(status, get):
    """Return None: targets of this platform say nothing of themselves."""
    return None


def no_key(header_items):
    """Return a CallerKey without a key: this platform has no organisations."""
    return CallerKey()


class Dialect(Record):
    """The headers, paths and codecs of one platform.

    ``decode_load`` returns the LoadReport of a header value, or None. ``read_lookup``
    returns the host name and the failure domain in the query of a lookup, and
    ``encode_lookup`` the response body for addresses and a time to live in
    milliseconds. ``vm_item`` returns the key and value of a VM's entry in the store,
    given its id and IP address. ``decode_notice`` returns the TargetNotice of a
    target's answer, or None, given its status and a function that returns a header.
    ``read_key`` returns the CallerKey of a request, given its header lines.
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
        "decode_notice",
        "read_key",
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
        decode_notice=no_notice,
        read_key=no_key,
    ):
        self.headers = headers
        self.store = store
        self.lookup_path = lookup_path
        self.ready_path = ready_path
        self.decode_load = decode_load
        self.read_lookup = read_lookup
        self.encode_lookup = encode_lookup
        self.vm_item = vm_item
        self.decode_notice = decode_notice
        self.read_key = read_key


class StoreRequest(Record):
    """One request to the store; the store may hold it for up to ``wait_ms``."""

    __slots__ = ("method", "path", "body", "wait_ms")

    def __init__(self, method, path, body=b"", wait_ms=0.0):
        self.method = method
        self.path = path
        self.body = body
        self.wait_ms = wait_ms


class StorePage(Record):
    """Records of one answer of the store, as of its ``revision``.

    ``has_more`` is set if the range has more records, with keys after ``last_key``.
    """

    __slots__ = ("records", "revision", "last_key", "has_more")

    def __init__(self, records, revision, last_key="", has_more=False):
        self.records = records
        self.revision = revision
        self.last_key = last_key
        self.has_more = has_more
