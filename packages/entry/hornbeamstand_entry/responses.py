"""Builds the HTTP responses to callers, peers and operators.

The ``respond_`` functions start the response and return its body as WSGI requires.
Header items are (name, value) pairs.
"""

import math

import msgspec

from . import headers

MS_PER_S = 1000.0
REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    508: "Loop Detected",
}
# Statuses of responses without a body.
NO_BODY_STATUSES = frozenset([204, 304])


def status_line(status):
    """Return the WSGI status line of a status code."""
    return f"{status} {REASON_PHRASES.get(status, 'Status')}"


def length_items(status, response, n_body_bytes):
    """Return the Content-Length line for a target's response, if it has one.

    The response to a HEAD request has no body and keeps the target's Content-Length.
    """
    if status in NO_BODY_STATUSES:
        return []
    if response.method == "HEAD":
        return [("Content-Length", response.get("Content-Length", "0"))]
    return [("Content-Length", str(n_body_bytes))]


def respond_json(start_response, status, body, extra_items=()):
    """Answer with a JSON body."""
    raw = msgspec.json.encode(body)
    items = [("Content-Type", "application/json"), ("Content-Length", str(len(raw)))]
    start_response(status_line(status), [*items, *extra_items])
    return [raw]


def respond_refusal(start_response, refusal, extra_items):
    """Answer with a refusal, which is described in the headers and a JSON body."""
    body = {
        "refused": refusal.reason,
        "outcome": refusal.certainty,
        "step": refusal.step,
        "peer": refusal.peer,
    }
    items = [
        (headers.OUTCOME, refusal.certainty),
        (headers.REFUSAL, refusal.reason),
        (headers.STEP, refusal.step),
        *extra_items,
    ]
    if refusal.retry_after_ms is not None:
        seconds = math.ceil(refusal.retry_after_ms / MS_PER_S)
        items.append((headers.RETRY_AFTER, str(seconds)))
    return respond_json(start_response, refusal.status, body, items)


def respond_outcome(start_response, outcome, extra_items):
    """Answer a call with its outcome: the target's response or a refusal.

    Headers that belong to the target's connection, and those that the target sends to
    this VM, are left out.
    """
    if outcome.is_err():
        return respond_refusal(start_response, outcome.err_value, extra_items)
    answer = outcome.ok_value
    response = answer.payload
    items = [
        (name, value)
        for name, value in response.items()
        if name.lower() not in headers.HOP_BY_HOP
        and not name.lower().startswith("hornbeam-")
    ]
    items += length_items(answer.status, response, response.n_body_bytes)
    items.append((headers.OUTCOME, headers.OUTCOME_RAN))
    items.append((headers.TARGET, answer.target_id))
    start_response(status_line(answer.status), [*items, *extra_items])
    return response.body_pieces
