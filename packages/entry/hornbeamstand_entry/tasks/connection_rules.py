"""How the connections of a pool are opened, read and kept."""

from hornbeamstand_core.records import Record

from .byte_budget import ByteBudget
from .open_connections import OpenConnections
from .response_parser import HEAD_MAX_BYTES
from .response_reads import ResponseReads

# Timeout for opening a connection.
CONNECT_TIMEOUT_MS = 1000.0
# Maximum age of the last response on a connection that is reused for a request that may
# run only once. A connection without a recent response may be broken, and the outcome
# of a request that fails on it is unknown.
LAST_RESPONSE_MAX_AGE_MS = 1000.0
# Maximum idle time after which a connection is still reused.
IDLE_MAX_MS = 30_000.0
# Size of the receive buffer, which the system doubles. It grows to many megabytes
# otherwise, for a server that sends faster than this process reads.
RECEIVE_BUFFER_BYTES = 262_144
# Minimum of a timeout for opening a connection that is a share of the time left.
CONNECT_MIN_MS = 100.0


class ConnectionRules(Record):
    """How the connections of a pool are opened, read and kept.

    Parameters
    ----------
    connect_timeout_ms : float
        Timeout for opening a connection.
    connect_share : float
        Maximum of the same, as a share of the time left to the request that needs the
        connection, but no less than ``CONNECT_MIN_MS``.
    tcp_user_timeout_ms : int
        Maximum time for which sent bytes may stay unacknowledged; 0 leaves it to the
        system.
    keepalive_s : int
        Idle time after which TCP keepalive probes are sent; 0 for none.
    id_header : str, optional
        The header in which a response echoes the id of its request.
    requires_id : bool
        Whether every target echoes the id of a request that has one.
    accepts_unframed : bool
        Whether a response that ends only with its connection is accepted.
    last_response_max_age_ms : float
        Maximum age of the last response on a connection that is reused for a request
        that may run only once.
    idle_max_ms : float
        Maximum idle time after which a connection is still reused.
    answer_budget : ByteBudget, optional
        Limits the bytes of all responses that are being read.
    head_max_bytes : int
        Maximum number of bytes outside of bodies that are read for one exchange.
    open_connections : OpenConnections, optional
        Limits the connections of all pools that share it.
    reads : ResponseReads, optional
        Counts and reports what is read of responses.
    receive_buffer_bytes : int
        Size of the receive buffer that is asked for.
    """

    __slots__ = (
        "connect_timeout_ms",
        "connect_share",
        "tcp_user_timeout_ms",
        "keepalive_s",
        "id_header",
        "requires_id",
        "accepts_unframed",
        "last_response_max_age_ms",
        "idle_max_ms",
        "answer_budget",
        "head_max_bytes",
        "open_connections",
        "reads",
        "receive_buffer_bytes",
    )

    def __init__(
        self,
        connect_timeout_ms=CONNECT_TIMEOUT_MS,
        tcp_user_timeout_ms=0,
        keepalive_s=0,
        id_header=None,
        requires_id=False,
        accepts_unframed=False,
        last_response_max_age_ms=LAST_RESPONSE_MAX_AGE_MS,
        idle_max_ms=IDLE_MAX_MS,
        answer_budget=None,
        head_max_bytes=HEAD_MAX_BYTES,
        open_connections=None,
        connect_share=1.0,
        reads=None,
        receive_buffer_bytes=RECEIVE_BUFFER_BYTES,
    ):
        self.connect_timeout_ms = connect_timeout_ms
        self.connect_share = connect_share
        self.tcp_user_timeout_ms = tcp_user_timeout_ms
        self.keepalive_s = keepalive_s
        self.id_header = id_header
        self.requires_id = requires_id
        self.accepts_unframed = accepts_unframed
        self.last_response_max_age_ms = last_response_max_age_ms
        self.idle_max_ms = idle_max_ms
        self.answer_budget = answer_budget or ByteBudget()
        self.head_max_bytes = head_max_bytes
        self.open_connections = open_connections or OpenConnections()
        self.reads = reads or ResponseReads()
        self.receive_buffer_bytes = receive_buffer_bytes

    def connect_limit_ms(self, left_ms):
        """Return the timeout for opening a connection, with this time left."""
        share_ms = max(CONNECT_MIN_MS, self.connect_share * left_ms)
        return min(self.connect_timeout_ms, share_ms)
