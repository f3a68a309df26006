"""Names of the HTTP headers exchanged with callers, targets and peers."""

# In requests from callers, and to targets and peers. REQUEST_ID is also in responses to
# callers, and in those of targets that echo it. ATTEMPT is 1 if the caller never sent
# the idempotency key before.
DEADLINE = "Hornbeam-Deadline-Ms"
REQUEST_ID = "Hornbeam-Request-Id"
IDEMPOTENCY_KEY = "Idempotency-Key"
ATTEMPT = "Hornbeam-Attempt"
# In responses to callers and peers.
OUTCOME = "Hornbeam-Outcome"
REFUSAL = "Hornbeam-Refusal"
STEP = "Hornbeam-Step"
TARGET = "Hornbeam-Target"
# Time in seconds after which a refused caller may retry.
RETRY_AFTER = "Retry-After"

# Between entry VMs. HOPS counts the VMs that forwarded the request, RECORDED is 1 if
# the order's primary has recorded it, and ROOM carries the capacity report of the VM
# that answers.
HOPS = "Hornbeam-Hops"
RECORDED = "Hornbeam-Recorded"
ROOM = "Hornbeam-Room"

# In the responses of targets. NOT_RUN is 1 if the target did not run the request; the
# other headers form the TargetReport.
START_ID = "Hornbeam-Start-Id"
STATE = "Hornbeam-State"
IN_FLIGHT = "Hornbeam-In-Flight"
NOT_RUN = "Hornbeam-Not-Run"

# Value of OUTCOME if a target ran the request. A refusal has its certainty there.
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
