"""Names of the HTTP headers exchanged with callers, targets and peers."""

# In the requests of callers and in the answers to them.
DEADLINE = "Hornbeam-Deadline-Ms"
REQUEST_ID = "Hornbeam-Request-Id"
IDEMPOTENCY_KEY = "Idempotency-Key"
ATTEMPT = "Hornbeam-Attempt"
OUTCOME = "Hornbeam-Outcome"
REFUSAL = "Hornbeam-Refusal"
STEP = "Hornbeam-Step"
TARGET = "Hornbeam-Target"

# Between entry VMs. ROOM carries the capacity report of the VM that answers.
HOPS = "Hornbeam-Hops"
RECORDED = "Hornbeam-Recorded"
ROOM = "Hornbeam-Room"

# In the responses of targets.
START_ID = "Hornbeam-Start-Id"
STATE = "Hornbeam-State"
IN_FLIGHT = "Hornbeam-In-Flight"
NOT_RUN = "Hornbeam-Not-Run"

OUTCOME_RAN = "ran"

# Headers that belong to one connection or message and are never forwarded. See RFC
# 9110, section 7.6.1.
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
