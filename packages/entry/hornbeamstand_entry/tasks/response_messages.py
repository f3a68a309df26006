"""Responses that a connection has read, and the error of one that it gave up."""

from hornbeamstand_core.records import Record


class ResponseError(Exception):
    """A response that is incomplete, malformed, too long or of unknown length."""


class ResponseMemoryError(ResponseError):
    """A response that this VM has no memory for, though it may be sound."""


def find_header(header_items, name, default=None):
    """Return the first value of a header, or the default if it is absent."""
    lower_name = name.lower()
    for key, value in header_items:
        if key.lower() == lower_name:
            return value
    return default


class CompleteResponse(Record):
    """One complete response to a request with ``method``.

    ``body_pieces`` are the parts of its body in order, which are not joined because a
    long body would then be in memory twice. ``closes_connection`` is set if the
    connection must not carry another exchange, and ``is_followed`` if further bytes,
    which belong to no request, came behind it. ``is_framed`` is unset if only the end
    of the connection ended the response.
    """

    __slots__ = (
        "status_code",
        "header_items",
        "body_pieces",
        "method",
        "closes_connection",
        "is_followed",
        "is_framed",
    )

    def __init__(
        self, status_code, header_items, body_pieces, method, closes_connection
    ):
        self.status_code = status_code
        self.header_items = header_items
        self.body_pieces = body_pieces
        self.method = method
        self.closes_connection = closes_connection
        self.is_followed = False
        self.is_framed = True

    @property
    def body(self):
        """The whole body as bytes."""
        return b"".join(self.body_pieces)

    @property
    def n_body_bytes(self):
        """The size of the body."""
        return sum(map(len, self.body_pieces))

    def get(self, name, default=None):
        """Return the first value of a header, or the default if it is absent."""
        return find_header(self.header_items, name, default)

    def items(self):
        """Return the headers as (name, value) pairs, in order."""
        return self.header_items

    def should_close(self):
        """Return whether the connection must not carry another exchange."""
        return self.closes_connection


class InterimResponse(Record):
    """One interim response (1xx); ``header_items`` are its headers."""

    __slots__ = ("header_items",)

    def __init__(self, header_items):
        self.header_items = header_items

    def get(self, name, default=None):
        """Return the first value of a header, or the default if it is absent."""
        return find_header(self.header_items, name, default)
