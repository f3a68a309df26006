"""What is being read of responses, and what was read of incomplete ones."""

from collections import Counter

from hornbeamstand_core.records import Record

from .streams import LOOK, READ, SEND

# Number of bytes read from which on an incomplete response is reported.
REPORTED_MIN_BYTES = 65_536
# Maximum length of a reported Content-Length: it may have any number of leading zeros.
LENGTH_MAX_CHARS = 24


class UnfinishedResponse(Record):
    """What was read of a response that was given up before it was complete.

    ``status`` is 0 if its head did not arrive. ``length`` is the beginning of the
    Content-Length as it was sent, or None, and ``is_chunked`` whether it has chunks.
    ``parse_ms`` is the time that its parts of more than PARSE_BYTES took to parse.
    ``n_reading_bytes`` are the bytes of the bodies that were being read then, of all
    responses.
    """

    EVENT = "response: unfinished"

    __slots__ = (
        "address",
        "request_id",
        "reason",
        "status",
        "length",
        "is_chunked",
        "n_body_bytes",
        "n_received_bytes",
        "parse_ms",
        "n_reading_bytes",
    )

    def __init__(self, address, request_id, reason, parser, n_reading_bytes):
        self.address = address
        self.request_id = request_id
        self.reason = reason
        has_head = parser.headers_complete
        self.status = parser.status_code if has_head else 0
        length = parser.get("Content-Length") if has_head else None
        self.length = length and str(length)[:LENGTH_MAX_CHARS]
        self.is_chunked = has_head and parser.get("Transfer-Encoding") is not None
        self.n_body_bytes = parser.n_body_bytes
        self.n_received_bytes = parser.n_received_bytes
        self.parse_ms = parser.parse_ms
        self.n_reading_bytes = n_reading_bytes

    def describe(self):
        """Return the fields of a log line by name."""
        return {
            "at": self.address,
            "request": self.request_id,
            "reason": self.reason,
            "status": self.status,
            "length": self.length,
            "is_chunked": self.is_chunked,
            "n_body_bytes": self.n_body_bytes,
            "n_received_bytes": self.n_received_bytes,
            "parse_ms": int(self.parse_ms),
            "n_reading_bytes": self.n_reading_bytes,
        }


class ErrorElsewhere(Record):
    """The StreamError of a response whose reader was not the one to get it.

    ``is_complete`` is whether the response counts as complete all the same, and
    ``n_body_bytes`` the size of the body that was read.
    """

    EVENT = "response: error elsewhere"

    __slots__ = ("address", "request_id", "error", "is_complete", "n_body_bytes")

    def __init__(self, address, request_id, error, is_complete, n_body_bytes):
        self.address = address
        self.request_id = request_id
        self.error = error
        self.is_complete = is_complete
        self.n_body_bytes = n_body_bytes

    def describe(self):
        """Return the fields of a log line by name."""
        return {
            "at": self.address,
            "request": self.request_id,
            "step": self.error.step,
            "reason": self.error.reason,
            "is_complete": self.is_complete,
            "n_body_bytes": self.n_body_bytes,
        }


def report_nothing(report):
    """Report no response."""


class ResponseReads:
    """The responses that the connections of pools read, and figures of them.

    ``parsers`` are those of the responses that are being read. ``n_unfinished`` counts
    the responses of REPORTED_MIN_BYTES or more that were given up, and
    ``n_unfinished_bytes`` the bytes that were read of them. ``parse_ms`` is the time
    that the parts of more than PARSE_BYTES of all responses took to parse. ``n_errors``
    counts the errors of connections by the step that got them.
    ``report(report)`` is called with each UnfinishedResponse and ErrorElsewhere.
    """

    __slots__ = (
        "parsers",
        "n_unfinished",
        "n_unfinished_bytes",
        "parse_ms",
        "n_errors",
        "report",
    )

    def __init__(self, report=report_nothing):
        self.parsers = set()
        self.n_unfinished = 0
        self.n_unfinished_bytes = 0
        self.parse_ms = 0.0
        self.n_errors = Counter()
        self.report = report

    @property
    def n_reading_bytes(self):
        """The bytes of the bodies that are being read."""
        return sum(parser.n_body_bytes for parser in self.parsers)

    def note_begun(self, parser):
        """Note that a response is being read."""
        self.parsers.add(parser)

    def note_ended(self, parser):
        """Note that a response is complete, or was given up."""
        self.parsers.discard(parser)
        self.parse_ms += parser.parse_ms

    def note_unfinished(self, parser, exchange, address, reason):
        """Count and report a response that was given up, if much of it was read."""
        if parser.n_received_bytes < REPORTED_MIN_BYTES:
            return
        self.n_unfinished += 1
        self.n_unfinished_bytes += parser.n_received_bytes
        unfinished = UnfinishedResponse(
            address, exchange.expected_id, reason, parser, self.n_reading_bytes
        )
        self.report(unfinished)

    def note_stream_error(self, connection, exchange, address, is_complete):
        """Count the error of a connection, if any; report one that its reader missed.

        ``is_complete`` is whether the response to the exchange counts as complete.
        """
        error = connection.stream.error
        if error is None:
            return
        self.n_errors[error.step] += 1
        if error.step != READ:
            n_body_bytes = connection.parser.n_body_bytes
            self.report(
                ErrorElsewhere(
                    address, exchange.expected_id, error, is_complete, n_body_bytes
                )
            )

    def gauges(self):
        """Return the functions that read the gauges, by name."""
        return {
            "response_bytes_reading": lambda: self.n_reading_bytes,
            "responses_unfinished": lambda: self.n_unfinished,
            "response_bytes_unfinished": lambda: self.n_unfinished_bytes,
            "response_parse_ms": lambda: self.parse_ms,
            "response_errors_read": lambda: self.n_errors[READ],
            "response_errors_send": lambda: self.n_errors[SEND],
            "response_errors_look": lambda: self.n_errors[LOOK],
        }
