"""Encodes HTTP requests to targets and peers, and decodes their responses."""

from math import isfinite

from hornbeamstand_core.balancer_messages import CapacityReport
from hornbeamstand_core.messages import Refusal, TargetReport, UpstreamResponse

from . import headers
from .header_numbers import read_count

# Maximum size of a body that is sent with the head by one system call. A larger one is
# not copied.
JOINED_BODY_MAX_BYTES = 32_768


def split_request(method, path, header_items, body):
    """Return an HTTP/1.1 request as bytes, and the body if it is sent separately."""
    head = encode_head(method, path, header_items, len(body))
    if len(body) > JOINED_BODY_MAX_BYTES:
        return head, body
    return head + body, b""


def encode_request(method, path, header_items, body):
    """Return an HTTP/1.1 request as bytes; see ``encode_head``."""
    return encode_head(method, path, header_items, len(body)) + body


def encode_head(method, path, header_items, n_body_bytes):
    """Return the request line and the headers of an HTTP/1.1 request as bytes.

    ``header_items`` are (name, value) pairs. Content-Length is added to them if there
    is a body, or if the method usually has one.
    """
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in header_items]
    if n_body_bytes or method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {n_body_bytes}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1")


def read_report(response):
    """Return the TargetReport of a response, or None if the response has none.

    A malformed number of requests in flight is read as 0.
    """
    state = response.get(headers.STATE)
    if state is None:
        return None
    n_in_flight = read_count(response.get(headers.IN_FLIGHT, "0"))
    return TargetReport(
        response.get(headers.START_ID, ""),
        state,
        n_in_flight or 0,
    )


def target_response(response):
    """Return a target's HTTP response as an UpstreamResponse.

    A statement that the request did not run is not believed if further bytes follow
    the response: one of the two may be a copy of an earlier one.
    """
    did_not_run = response.get(headers.NOT_RUN) == "1" and not response.is_followed
    return UpstreamResponse(
        response.status_code, response, read_report(response), did_not_run=did_not_run
    )


def peer_response(response, peer_id):
    """Return a peer's HTTP response as an UpstreamResponse, with its refusal if any.

    The result is None if the response names neither a target nor the reason of a
    refusal: the peer's HTTP server wrote it, and it is no answer of a target.
    """
    refusal = None
    reason = response.get(headers.REFUSAL)
    if reason is not None:
        refusal = Refusal(
            reason,
            response.get(headers.OUTCOME, ""),
            response.status_code,
            response.get(headers.STEP, ""),
            peer_id,
        )
    target_id = response.get(headers.TARGET)
    if refusal is None and target_id is None:
        return None
    return UpstreamResponse(
        response.status_code, response, refusal=refusal, target_id=target_id or peer_id
    )


def encode_capacity(report):
    """Return the header value of a capacity report."""
    return f"{report.n_free},{report.n_waiting},{report.wait_ms:.1f}"


def decode_capacity(text, service_name, member_id):
    """Return the CapacityReport of a header value, or None if it is malformed."""
    parts = text.split(",")
    try:
        n_free, n_waiting, wait_ms = int(parts[0]), int(parts[1]), float(parts[2])
    except (ValueError, IndexError):
        return None
    if not isfinite(wait_ms):
        return None
    return CapacityReport(service_name, member_id, n_free, n_waiting, wait_ms)
