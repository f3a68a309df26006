"""Names of the HTTP headers of the callers', targets' and hop interfaces."""

DEADLINE = "Hornbeam-Deadline-Ms"
REQUEST_ID = "Hornbeam-Request-Id"
IDEMPOTENCY_KEY = "Idempotency-Key"
ATTEMPT = "Hornbeam-Attempt"
OUTCOME = "Hornbeam-Outcome"
REFUSAL = "Hornbeam-Refusal"
STEP = "Hornbeam-Step"
TARGET = "Hornbeam-Target"

HOPS = "Hornbeam-Hops"
RECORDED = "Hornbeam-Recorded"
ROOM = "Hornbeam-Room"

START_ID = "Hornbeam-Start-Id"
STATE = "Hornbeam-State"
IN_FLIGHT = "Hornbeam-In-Flight"
NOT_RUN = "Hornbeam-Not-Run"

OUTCOME_RAN = "ran"

# Connection-level headers, never passed on (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "host",
        "content-length",
    ]
)
