"""The rules of the connections that an edge process opens to others."""

from ..tasks.connection_rules import ConnectionRules
from ..tasks.response_parser import HEAD_MAX_BYTES
from .servers import PEER_REUSE_MS

# Timeouts for opening a connection.
TARGET_CONNECT_MS = 250.0
PEER_CONNECT_MS = 150.0
STORE_CONNECT_MS = 500.0
# Maximum share of a request's time left that one connection to a target may take to
# open: several targets may be tried.
TARGET_CONNECT_SHARE = 0.1
# Maximum size of the head of a response that another VM relays: that VM has added
# headers to those of a target.
RELAYED_HEAD_MAX_BYTES = 2 * HEAD_MAX_BYTES
# Maximum time for which sent bytes may stay unacknowledged.
TCP_USER_TIMEOUT_MS = 1500
# Maximum idle time after which a connection to a target is still reused.
TARGET_IDLE_MS = 8000.0
# Maximum age of the last answer on a connection to a target that a request reuses, if
# the request may run only once.
TARGET_RESPONSE_MAX_AGE_MS = 1500.0


def store_rules():
    """Return the rules of connections to the store."""
    return ConnectionRules(STORE_CONNECT_MS, TCP_USER_TIMEOUT_MS, keepalive_s=1)


def peer_rules(budget, open_connections, reads):
    """Return the rules of connections to other VMs.

    They share the budget of answers, the OpenConnections and the ResponseReads with
    those to targets.
    """
    return ConnectionRules(
        PEER_CONNECT_MS,
        TCP_USER_TIMEOUT_MS,
        idle_max_ms=PEER_REUSE_MS,
        answer_budget=budget,
        head_max_bytes=RELAYED_HEAD_MAX_BYTES,
        open_connections=open_connections,
        reads=reads,
    )


def target_rules(id_header, budget, open_connections, reads):
    """Return the rules of connections to targets.

    ``id_header`` names the header by which a target repeats the id of a request.
    """
    return ConnectionRules(
        TARGET_CONNECT_MS,
        TCP_USER_TIMEOUT_MS,
        id_header=id_header,
        requires_id=True,
        accepts_unframed=True,
        last_response_max_age_ms=TARGET_RESPONSE_MAX_AGE_MS,
        idle_max_ms=TARGET_IDLE_MS,
        answer_budget=budget,
        open_connections=open_connections,
        connect_share=TARGET_CONNECT_SHARE,
        reads=reads,
    )
