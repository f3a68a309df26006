"""Reads complete HTTP responses from a connection and matches them to their requests.

A connection has one parser for its whole life. The request id that a response echoes
shows whether it is a duplicate, or the late response to an earlier request, instead of
the response to the current request. What is read for one exchange is limited, because a
faulty server may send bytes without end.
"""

from collections import deque

import gevent
from geventhttpclient.response import HTTPResponse

from ..clock import make_process_clock
from .response_messages import (
    CompleteResponse,
    InterimResponse,
    ResponseError,
    ResponseMemoryError,
)

# Clock of the time that parsing takes.
CLOCK = make_process_clock()
# Maximum number of bytes read from the socket by one call.
READ_BYTES = 65536
# Maximum number of these bytes that are parsed at a time, and number of the parser's
# calls after which others get a turn: each chunk, however small, takes one call.
PARSE_BYTES = 8192
N_CALLS_PER_TURN = 256
# Statuses of interim responses, which precede a final one, and of final responses. An
# answer with any other status is invalid, as is the agreement to switch to another
# protocol, which no request asks for.
INTERIM_STATUSES = range(100, 200)
FINAL_STATUSES = range(200, 600)
STATUS_SWITCHING_PROTOCOLS = 101
# Lowest status of an error response.
ERROR_STATUS_MIN = 400
# Maximum number of bytes outside of bodies that are read for one exchange, unless the
# connection's rules state another one: status lines, headers, trailers, chunk sizes and
# interim responses.
HEAD_MAX_BYTES = 65536
# Number of bytes of chunk sizes that are read in addition for each byte of a body. Each
# chunk costs time, so that one target could take all of this VM's time with tiny ones.
CHUNK_OVERHEAD_SHARE = 0.25
# Size up to which a body without a stated length that finds no memory is not held
# against its target.
OPEN_ENDED_MAX_BYTES = 1 << 20
# Number of the lengths that the parser's signed count of remaining bytes stands for.
N_LENGTHS = 1 << 64
# Size at which the bytes of a body begin a new piece.
PIECE_BYTES = 65536
# Maximum number of responses to other requests that are dropped during one exchange.
N_DROPPED_MAX = 16


class ResponseParser(HTTPResponse):
    """Parses the responses of one connection; ``complete`` holds those not yet read.

    ``interim`` holds the interim responses not yet read if the exchange reports them.
    ``n_responses`` counts the complete responses of the connection, and
    ``has_echoed_ids`` is set once one of them echoed a request id. ``n_body_bytes``,
    ``n_header_bytes`` and ``n_received_bytes`` count the bytes of bodies, of headers
    with trailers, and all bytes of the current exchange. ``n_calls`` counts the
    parser's calls since the last turn of the event loop, and ``has_unparsed`` is set
    while bytes that were read are not parsed. ``parse_ms`` is the time that was spent
    on the parts of more than PARSE_BYTES of the current exchange.
    """

    def __init__(self):
        super().__init__("GET")
        self.complete = deque()
        self.interim = deque()
        self._reports_interim = False
        self.n_responses = 0
        self.has_echoed_ids = False
        self.has_unparsed = False
        self._pieces = []
        self._is_at_end = False
        self._begin_counts()

    def _begin_counts(self):
        self.n_body_bytes = 0
        self.n_header_bytes = 0
        self.n_received_bytes = 0
        self.n_calls = 0
        self.parse_ms = 0.0

    @property
    def has_stated_length(self):
        """Whether the head of the response has arrived and states its length."""
        return self.headers_complete and self.get("Content-Length") is not None

    @property
    def n_announced_bytes(self):
        """The bytes still to come of a body of a stated length, or of a chunk.

        There are none once a response is complete, whatever follows it.
        """
        if self.complete or not self.headers_complete or self.message_complete:
            return 0
        return self.get_remaining_content_length() % N_LENGTHS

    def begin_exchange(self, method, reports_interim=False):
        """Prepare for the response to a request with ``method``."""
        self.method = method
        self._reports_interim = reports_interim
        self._begin_counts()

    def drop(self):
        """Drop the bodies that were read; the parser is not used any more."""
        self._pieces.clear()
        self._body_buffer = bytearray()
        self.complete.clear()

    def feed(self, data):
        """Parse bytes; no bytes are the end of the connection.

        The feed of HTTPResponse is passed over: behind a response to a HEAD request it
        drops invalid bytes unnoticed.
        """
        self._is_at_end = not data
        super(HTTPResponse, self).feed(data)

    def _on_headers_complete(self):
        check_status(self.status_code)
        return super()._on_headers_complete()

    def _on_header_field(self, string):
        self.n_calls += 1
        self.n_header_bytes += len(string)
        super()._on_header_field(string)

    def _on_header_value(self, string):
        self.n_header_bytes += len(string)
        super()._on_header_value(string)

    def _on_body(self, buf):
        super()._on_body(buf)
        self.n_calls += 1
        self.n_body_bytes += len(buf)
        if len(self._body_buffer) >= PIECE_BYTES:
            self._end_piece()

    def _end_piece(self):
        if self._body_buffer:
            self._pieces.append(bytes(self._body_buffer))
            self._body_buffer = bytearray()

    def _on_message_complete(self):
        super()._on_message_complete()
        self._end_piece()
        if self.status_code in FINAL_STATUSES:
            response = CompleteResponse(
                self.status_code,
                list(self.items()),
                self._pieces,
                self.method,
                not self.should_keep_alive(),
            )
            response.is_framed = not self._is_at_end
            self.complete.append(response)
        elif self._reports_interim:
            self.interim.append(InterimResponse(list(self.items())))
        self._pieces = []


def check_status(status):
    """Raise ResponseError if a status is neither that of an interim nor a final one."""
    is_interim = status in INTERIM_STATUSES and status != STATUS_SWITCHING_PROTOCOLS
    if not is_interim and status not in FINAL_STATUSES:
        raise ResponseError(f"response has the invalid status {status}")


def read_response(sock, parser, exchange, rules):
    """Return the complete response to an exchange, which then holds its memory.

    Responses that belong to another request are dropped. Raises ResponseError if the
    response is invalid or incomplete, or too long before it is complete, and OSError if
    the connection fails.
    """
    parser.begin_exchange(exchange.method, exchange.reports_interim)
    hold = rules.answer_budget.hold()
    rules.reads.note_begun(parser)
    try:
        response = read_matching_response(sock, parser, exchange, rules, hold)
    except BaseException:
        # Also if the greenlet is killed.
        parser.drop()
        hold.release()
        raise
    finally:
        rules.reads.note_ended(parser)
    exchange.take_answer_hold(hold)
    return response


def read_matching_response(sock, parser, exchange, rules, hold):
    """Return the complete response to an exchange; see ``read_response``."""
    n_dropped = 0
    is_unsure = False
    while True:
        while parser.interim:
            exchange.report(parser.interim.popleft())
        while parser.complete:
            response = parser.complete.popleft()
            parser.n_responses += 1
            echoed_id = read_echoed_id(response, parser, rules)
            if is_for_exchange(echoed_id, exchange, parser, rules):
                response.closes_connection |= is_unsure
                return check_framing(response, echoed_id, parser, rules)
            n_dropped += 1
            is_unsure |= echoed_id is None
            if n_dropped > N_DROPPED_MAX:
                raise ResponseError(f"more than {N_DROPPED_MAX} other responses")
        receive_bytes(sock, parser, exchange, hold, rules.head_max_bytes)


def receive_bytes(sock, parser, exchange, hold, head_max_bytes):
    """Read from the connection once and parse what came.

    Raises ResponseError if nothing more comes or if a limit is exceeded.
    """
    data = sock.recv(READ_BYTES)
    parser.n_received_bytes += len(data)
    parse(parser, data)
    if not data and not parser.complete:
        raise ResponseError(
            "connection closed before the response was complete, after"
            f" {parser.n_body_bytes} bytes of its body"
        )
    check_size(parser, exchange, hold, head_max_bytes)
    if len(data) == READ_BYTES:
        # More bytes may be there already, and then the next read would not wait.
        take_turn(parser)


def parse(parser, data):
    """Parse bytes, which may take several turns of the event loop."""
    if len(data) <= PARSE_BYTES:
        feed(parser, data)
        return
    parser.has_unparsed = True
    for start in range(0, len(data), PARSE_BYTES):
        if parser.n_calls >= N_CALLS_PER_TURN:
            take_turn(parser)
        began_at_ms = CLOCK.now_ms()
        feed(parser, data[start : start + PARSE_BYTES])
        parser.parse_ms += CLOCK.now_ms() - began_at_ms
    parser.has_unparsed = False


def take_turn(parser):
    """Let the event loop handle its sockets and timers before this greenlet goes on.

    ``gevent.sleep(0)`` doesn't: the loop resumes 50 greenlets that call it, or one of
    them 50 times, before it looks at the time.
    """
    parser.n_calls = 0
    hub = gevent.get_hub()
    with hub.loop.timer(0.0) as timer:
        hub.wait(timer)


def check_size(parser, exchange, hold, head_max_bytes):
    """Raise ResponseError if a response is longer than the limits of its exchange.

    A length that is stated counts as if the body had arrived: all that is still read of
    a body that is too long would be in vain.
    """
    n_body_bytes = parser.n_body_bytes
    n_stated_bytes = n_body_bytes + parser.n_announced_bytes
    if n_stated_bytes > exchange.answer_max_bytes:
        raise ResponseError(
            f"response body is longer than {exchange.answer_max_bytes} bytes:"
            f" {n_stated_bytes} or more"
        )
    if n_stated_bytes > hold.budget.max_bytes(n_stated_bytes):
        raise ResponseError(f"no memory for a response body of {n_stated_bytes} bytes")
    n_other_bytes = parser.n_received_bytes - n_body_bytes
    n_chunk_bytes = n_other_bytes - CHUNK_OVERHEAD_SHARE * n_body_bytes
    if max(parser.n_header_bytes, n_chunk_bytes) > head_max_bytes:
        raise ResponseError(
            f"response has more than {head_max_bytes} bytes outside its body"
        )
    if not hold.grow_to(n_body_bytes):
        may_be_sound = parser.has_stated_length or n_body_bytes < OPEN_ENDED_MAX_BYTES
        error_class = ResponseMemoryError if may_be_sound else ResponseError
        raise error_class("no memory for the response body")


def feed(parser, data):
    """Parse bytes from the connection.

    If the bytes after a complete response are invalid, the response is still valid,
    but its connection is closed.
    """
    try:
        parser.feed(data)
    except Exception as error:
        # The parser raises exceptions of its own and of its callbacks.
        if not parser.complete:
            if isinstance(error, MemoryError):
                raise
            raise ResponseError(f"response is malformed: {error!r}") from error
        parser.complete[-1].closes_connection = True
        parser.complete[-1].is_followed = True


def read_echoed_id(response, parser, rules):
    """Return the request id that a response echoes, or None."""
    if rules.id_header is None:
        return None
    echoed_id = response.get(rules.id_header)
    parser.has_echoed_ids |= echoed_id is not None
    return echoed_id


def is_for_exchange(echoed_id, exchange, parser, rules):
    """Return whether a response belongs to an exchange.

    A response without an id is the exchange's own if it can't be a copy of an earlier
    one. By strict rules (``requires_id``), it can be one unless it is the first of its
    connection. By lenient rules, it can't if no response of the connection echoed an
    id: such a target never does.
    """
    if rules.id_header is None or echoed_id == exchange.expected_id:
        return True
    if exchange.expected_id is None:
        return not rules.requires_id
    if echoed_id is not None:
        return False
    if rules.requires_id:
        return parser.n_responses == 1
    return not parser.has_echoed_ids


def check_framing(response, echoed_id, parser, rules):
    """Return the response, or raise ResponseError if its length is unknown.

    The response is marked as closing its connection if only the end of the connection
    ends it, or if bytes of another response follow it. So is an error response without
    an id: a later copy of it could not be told from the answer to the next request.
    """
    if not response.is_framed:
        if not rules.accepts_unframed:
            raise ResponseError(
                "response has neither Content-Length nor chunked encoding"
            )
        response.closes_connection = True
    if parser.complete or (parser.message_begun and not parser.message_complete):
        response.is_followed = True
        response.closes_connection = True
    if rules.id_header is not None and echoed_id is None:
        response.closes_connection |= response.status_code >= ERROR_STATUS_MIN
    return response
