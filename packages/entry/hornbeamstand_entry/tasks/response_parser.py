"""Reads whole answers off a connection, each only for its own request.

One parser lives as long as its connection. A response that comes twice, or late
where the next one is expected, is told apart by the id that it echoes.
"""

from collections import deque

from geventhttpclient.response import HTTPResponse
from hornbeamstand_core.records import Record

READ_BYTES = 65536
STATUS_FINAL = 200
NO_BODY_STATUSES = frozenset([204, 304])


class ResponseError(Exception):
    """A response broke off, is too long, or has no stated length."""


class CompleteResponse(Record):
    """One complete response; ``closes_connection`` means that its connection ends."""

    __slots__ = ("status_code", "header_items", "body", "method", "closes_connection")

    def __init__(self, status_code, header_items, body, method, closes_connection):
        self.status_code = status_code
        self.header_items = header_items
        self.body = body
        self.method = method
        self.closes_connection = closes_connection

    def get(self, name, default=None):
        """Return the first value of a header, or the default."""
        lower_name = name.lower()
        for key, value in self.header_items:
            if key.lower() == lower_name:
                return value
        return default

    def items(self):
        """Return the header lines as pairs."""
        return self.header_items

    def should_close(self):
        """Tell whether the connection can't carry another exchange."""
        return self.closes_connection

    @property
    def is_framed(self):
        """Tell whether the response stated where it ends."""
        if self.method == "HEAD" or self.status_code in NO_BODY_STATUSES:
            return True
        if self.get("Content-Length") is not None:
            return True
        return "chunked" in self.get("Transfer-Encoding", "").lower()


class ResponseParser(HTTPResponse):
    """Collects the complete answers of one connection."""

    def __init__(self):
        super().__init__("GET")
        self.complete = deque()

    def _on_message_complete(self):
        super()._on_message_complete()
        if self.status_code >= STATUS_FINAL:
            response = CompleteResponse(
                self.status_code,
                list(self.items()),
                bytes(self._body_buffer),
                self.method,
                not self.should_keep_alive(),
            )
            self.complete.append(response)
        self._body_buffer = bytearray()

    @property
    def n_body_bytes(self):
        """Count the bytes of the unfinished response's body."""
        return len(self._body_buffer)


def read_response(sock, parser, exchange, rules):
    """Return the whole response to an exchange; raises ResponseError if none comes.

    Answers with another id than the exchange's are dropped.
    """
    parser.method = exchange.method
    while True:
        while parser.complete:
            response = parser.complete.popleft()
            if is_for_exchange(response, exchange, rules):
                return check_framing(response, parser, rules)
        data = sock.recv(READ_BYTES)
        feed(parser, data)
        if parser.n_body_bytes > exchange.answer_max_bytes:
            raise ResponseError("is longer than answer_max_bytes")
        if not data and not parser.complete:
            raise ResponseError("ended before it was whole")


def feed(parser, data):
    """Parse bytes; those after a complete response may be anything."""
    try:
        parser.feed(data)
    except Exception as error:
        # The parser raises its own types and those of its callbacks.
        if not parser.complete:
            raise ResponseError(repr(error)) from error
        parser.complete[-1].closes_connection = True


def is_for_exchange(response, exchange, rules):
    """Tell whether a response belongs to the exchange."""
    if rules.id_header is None or exchange.expected_id is None:
        return True
    echoed_id = response.get(rules.id_header)
    return echoed_id is None or echoed_id == exchange.expected_id


def check_framing(response, parser, rules):
    """Return the response, marked if its connection can't go on."""
    if not response.is_framed:
        if not rules.accepts_unframed:
            raise ResponseError("states no length")
        response.closes_connection = True
    if parser.complete or (parser.message_begun and not parser.message_complete):
        response.closes_connection = True
    return response
