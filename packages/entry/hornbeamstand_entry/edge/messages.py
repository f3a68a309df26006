"""Encodes an edge process's requests to targets and peers, and decodes responses."""

import msgspec
from hornbeamstand_core.edge_messages import RETRY, RequestPolicy
from hornbeamstand_core.messages import (
    NOT_RUN,
    OUTCOME_UNKNOWN,
    Refusal,
    UpstreamResponse,
)

from .. import headers
from ..header_numbers import read_number

# Between entry VMs: the policy of a relayed request, and the time in milliseconds after
# which the caller of a refused one may retry. Callers get the latter in the header of
# HeaderNames.retry_after.
POLICY_HEADER = "Hornbeam-Terms"
RETRY_AFTER_HEADER = "Hornbeam-Retry-After-Ms"
# Between entry VMs: the organisation of a relayed request, the version of the
# configuration that it is from, and the digest of the caller's key.
ORGANISATION_HEADER = "Hornbeam-Organisation"
# Between entry VMs: the kind of the first send of a relayed request, if it is a retry,
# and in an interim response (102) the number of sends that may have run.
FIRST_KIND_HEADER = "Hornbeam-First-Kind"
SENDS_HEADER = "Hornbeam-Sends"
# Between entry VMs: the start of the target that answered, as in its entry, in
# wall-clock milliseconds.
TARGET_START_HEADER = "Hornbeam-Target-Start"
# Prefix of the headers that entry VMs exchange, which are never forwarded.
OWN_HEADER_PREFIX = "hornbeam-"
SUCCESS_STATUSES = range(200, 300)
# Statuses that tell a caller that its request did not run.
NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])


def forwarded_items(header_items, own_header_names):
    """Return the caller's header lines to forward to a target or peer.

    Repeated lines stay repeated. Connection-level headers, except ``Host``, and
    headers that this system sets itself are left out. ``own_header_names`` are in lower
    case.
    """
    return [
        (name, value)
        for name, value in header_items
        if is_forwarded(name.lower(), own_header_names)
    ]


def is_forwarded(name, own_header_names):
    """Return whether to forward a header; all names are in lower case."""
    if name == "host":
        return True
    if name in headers.HOP_BY_HOP or name in own_header_names:
        return False
    return not name.startswith(OWN_HEADER_PREFIX)


def caller_items(context, hides_key, names):
    """Return the caller's header lines to forward, as a new list.

    If ``hides_key`` is set, lines with the caller's key or organisation are left out.
    """
    if not hides_key:
        return list(context.header_items)
    hidden_names = names.hidden_names
    return [
        item for item in context.header_items if item[0].lower() not in hidden_names
    ]


def target_items(context, send, left_ms, names):
    """Return the header lines of a request to a target.

    ``send`` is the StartSend, and ``names`` are the HeaderNames.
    """
    items = caller_items(context, send.hides_key, names)
    items.append((names.deadline_ms, str(max(1, int(left_ms)))))
    items.append((names.expected_target, send.permit.target_id))
    if send.organisation:
        items.append((names.organisation, send.organisation))
    return items


def peer_items(context, relay, now_ms, names):
    """Return the header lines of a request to a peer, with the request's policy.

    The policy is a JSON list of its fields by position; its ``timeout_ms`` is the time
    left until the deadline, and its ``n_attempts_max`` the number of attempts left.
    Its fields about organisations are a second list, so that a VM of an earlier version
    understands the first one.
    """
    policy = relay.policy
    fields = [
        policy.service_name,
        policy.is_idempotent,
        relay.deadline_at_ms - now_ms,
        policy.objective_ms,
        policy.priority,
        relay.n_attempts_max,
    ]
    # The request's head is encoded as Latin-1, which restores the bytes of the JSON.
    encoded = msgspec.json.encode(fields).decode("latin-1")
    items = caller_items(context, policy.hides_key, names)
    items.append((POLICY_HEADER, encoded))
    if policy.hides_key:
        fields = (policy.organisation, policy.config_version, policy.key_digest)
        items.append((ORGANISATION_HEADER, msgspec.json.encode(fields).decode()))
    if relay.first_kind == RETRY:
        items.append((FIRST_KIND_HEADER, RETRY))
    return items


def interim_response(n_sends):
    """Return the interim response that announces the sends of a relayed request."""
    return f"HTTP/1.1 102 Processing\r\n{SENDS_HEADER}: {n_sends}\r\n\r\n".encode()


def read_policy(text, organisation_text=None):
    """Return the RequestPolicy that a peer sent, or None if it is malformed.

    ``organisation_text`` is None if the peer knows of no organisations.
    """
    try:
        fields = msgspec.json.decode(
            text.encode("latin-1"), type=tuple[str, bool, float, float, int, int]
        )
        if organisation_text is None:
            return RequestPolicy(*fields)
        organisation, version, digest = msgspec.json.decode(
            organisation_text.encode("latin-1"), type=tuple[str, int, str]
        )
    except msgspec.DecodeError:
        return None
    return RequestPolicy(*fields, organisation, version, digest, hides_key=True)


def target_response(response, context, dialect):
    """Return the UpstreamResponse of a target's response, or None if it is invalid.

    A success is valid only with the target's seal, without a content encoding and with
    the caller's id of this request. Status 421 (Misdirected Request) states that the
    target did not run the request, as its header does. Neither holds if further bytes
    follow the response: one of the two may be a copy of an earlier one. Any other error
    with neither the seal nor the id was written by a process that is no target.
    """
    names = dialect.headers
    status = response.status_code
    load = response.get(names.load)
    report = dialect.decode_load(load) if load is not None else None
    did_not_run = response.get(names.did_not_run) is not None or status == 421
    if response.is_followed:
        did_not_run = False
    has_seal = response.get(names.seal) is not None
    has_own_id = response.get(names.request_id) == context.caller_request_id
    if status in SUCCESS_STATUSES:
        is_encoded = response.get("Content-Encoding") is not None
        if is_encoded or not has_seal or not has_own_id:
            return None
    elif not (did_not_run or has_seal or has_own_id):
        return None
    notice = dialect.decode_notice(status, response.get)
    return UpstreamResponse(
        status,
        response,
        report,
        did_not_run=did_not_run,
        notice=notice,
        n_bytes=len(context.body) + response.n_body_bytes,
    )


def peer_response(response, peer_id):
    """Return the UpstreamResponse of a peer's response, with its refusal if any.

    The result is None if the response names neither a target nor the reason of a
    refusal: the peer's HTTP server wrote it, and it is no answer of a target. A refusal
    that does not state that the request did not run leaves its outcome unknown,
    whatever its status.
    """
    refusal = None
    reason = response.get(headers.REFUSAL)
    if reason is not None:
        did_not_run = response.get(headers.OUTCOME) == NOT_RUN
        status = response.status_code
        refusal = Refusal(
            reason,
            NOT_RUN if did_not_run else OUTCOME_UNKNOWN,
            status if did_not_run else caller_status(status),
            response.get(headers.STEP, ""),
            peer_id,
            read_number(response.get(RETRY_AFTER_HEADER)),
        )
    target_id = response.get(headers.TARGET)
    if refusal is None and target_id is None:
        return None
    return UpstreamResponse(
        response.status_code, response, refusal=refusal, target_id=target_id or peer_id
    )


def response_items(response):
    """Return the header lines of a target's response to forward to the caller."""
    return [
        (name, value)
        for name, value in response.items()
        if name.lower() not in headers.HOP_BY_HOP
        and not name.lower().startswith(OWN_HEADER_PREFIX)
    ]


def caller_status(status):
    """Return the status to send to the caller if a target answered with ``status``.

    The target ran the request. A status that would tell the caller that the request
    did not run becomes 502.
    """
    return 502 if status in NOT_RUN_STATUSES else status
