"""Reads complete HTTP responses from a connection and matches them to their requests.

A connection has one parser for its whole life. The request id that a response echoes
shows whether it is a duplicate, or the late response to an earlier request, instead of
the response to the current request.
"""

from collections import deque

from geventhttpclient.response import HTTPResponse
from hornbeamstand_core.records import Record

# Maximum number of bytes read from the socket by one call.
READ_BYTES = 65536
# Lowest status of a final response. Responses below it are interim (1xx).
FINAL_STATUS_MIN = 200
NO_BODY_STATUSES = frozenset([204, 304])


class ResponseError(Exception):
    """A response that is incomplete, malformed, too long or of unknown length."""


class CompleteResponse(Record):
    """One complete response to a request with ``method``.

    ``closes_connection`` is set if the connection must not carry another exchange.
    """

    __slots__ = ("status_code", "header_items", "body", "method", "closes_connection")

    def __init__(self, status_code, header_items, body, method, closes_connection):
        self.status_code = status_code
        self.header_items = header_items
        self.body = body
        self.method = method
        self.closes_connection = closes_connection

    def get(self, name, default=None):
        """Return the first value of a header, or the default if it is absent."""
        lower_name = name.lower()
        for key, value in self.header_items:
            if key.lower() == lower_name:
                return value
        return default

    def items(self):
        """Return the headers as (name, value) pairs, in order."""
        return self.header_items

    def should_close(self):
        """Return whether the connection must not carry another exchange."""
        return self.closes_connection

    @property
    def is_framed(self):
        """Return whether the response states its own end."""
        if self.method == "HEAD" or self.status_code in NO_BODY_STATUSES:
            return True
        if self.get("Content-Length") is not None:
            return True
        return "chunked" in self.get("Transfer-Encoding", "").lower()


class ResponseParser(HTTPResponse):
    """Parses the responses of one connection; ``complete`` holds those not yet read."""

    def __init__(self):
        super().__init__("GET")
        self.complete = deque()

    def _on_message_complete(self):
        super()._on_message_complete()
        if self.status_code >= FINAL_STATUS_MIN:
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
        """Number of bytes received so far of the body of an incomplete response."""
        return len(self._body_buffer)


def read_response(sock, parser, exchange, rules):
    """Return the complete response to an exchange.

    Responses that echo another request's id are dropped. Raises ResponseError if the
    response is invalid or incomplete, or too long before it is complete, and OSError if
    the connection fails.
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
            raise ResponseError(
                f"response body is longer than {exchange.answer_max_bytes} bytes"
            )
        if not data and not parser.complete:
            raise ResponseError(
                "connection closed before the response was complete, after"
                f" {parser.n_body_bytes} bytes of its body"
            )


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
            raise ResponseError(f"response is malformed: {error!r}") from error
        parser.complete[-1].closes_connection = True


def is_for_exchange(response, exchange, rules):
    """Return whether a response belongs to an exchange.

    A response that echoes no id is taken for the exchange's own.
    """
    if rules.id_header is None or exchange.expected_id is None:
        return True
    echoed_id = response.get(rules.id_header)
    return echoed_id is None or echoed_id == exchange.expected_id


def check_framing(response, parser, rules):
    """Return the response, or raise ResponseError if its length is unknown.

    The response is marked as closing its connection if only the end of the connection
    ends it, or if bytes of another response follow it.
    """
    if not response.is_framed:
        if not rules.accepts_unframed:
            raise ResponseError(
                "response has neither Content-Length nor chunked encoding"
            )
        response.closes_connection = True
    if parser.complete or (parser.message_begun and not parser.message_complete):
        response.closes_connection = True
    return response
