"""Reads whole answers off a connection, each only for its own request.

One parser lives as long as its connection. An answer that comes twice, or late
where the next one is expected, is told apart by the id that it echoes.
"""

from collections import deque

from geventhttpclient.response import HTTPResponse
from hornbeamstand_core.records import Record

READ_BYTES = 65536
STATUS_FINAL = 200
NO_BODY_STATUSES = frozenset([204, 304])


class AnswerError(Exception):
    """An answer broke off, is too long, or has no stated length."""


class WholeAnswer(Record):
    """One complete answer; ``is_last`` means that its connection ends."""

    __slots__ = ("status_code", "header_items", "body", "method", "is_last")

    def __init__(self, status_code, header_items, body, method, is_last):
        self.status_code = status_code
        self.header_items = header_items
        self.body = body
        self.method = method
        self.is_last = is_last

    def get(self, name, default=None):
        """Return the first value of a header, or the default."""
        wanted = name.lower()
        for key, value in self.header_items:
            if key.lower() == wanted:
                return value
        return default

    def items(self):
        """Return the header lines as pairs."""
        return self.header_items

    def should_close(self):
        """Tell whether the connection can't carry another exchange."""
        return self.is_last

    @property
    def is_framed(self):
        """Tell whether the answer stated where it ends."""
        if self.method == "HEAD" or self.status_code in NO_BODY_STATUSES:
            return True
        if self.get("Content-Length") is not None:
            return True
        return "chunked" in self.get("Transfer-Encoding", "").lower()


class AnswerParser(HTTPResponse):
    """Collects the complete answers of one connection."""

    def __init__(self):
        super().__init__("GET")
        self.complete = deque()

    def _on_message_complete(self):
        super()._on_message_complete()
        if self.status_code >= STATUS_FINAL:
            answer = WholeAnswer(
                self.status_code,
                list(self.items()),
                bytes(self._body_buffer),
                self.method,
                not self.should_keep_alive(),
            )
            self.complete.append(answer)
        self._body_buffer = bytearray()

    @property
    def n_body_bytes(self):
        """Count the bytes of the unfinished answer's body."""
        return len(self._body_buffer)


def read_answer(sock, parser, exchange, rules):
    """Return the whole answer to an exchange; raises AnswerError if none comes.

    Answers with another id than the exchange's are dropped.
    """
    parser.method = exchange.method
    while True:
        while parser.complete:
            answer = parser.complete.popleft()
            if is_own(answer, exchange, rules):
                return check(answer, parser, rules)
        data = sock.recv(READ_BYTES)
        feed(parser, data)
        if parser.n_body_bytes > exchange.answer_max_bytes:
            raise AnswerError("is longer than answer_max_bytes")
        if not data and not parser.complete:
            raise AnswerError("ended before it was whole")


def feed(parser, data):
    """Parse bytes; those after a complete answer may be anything."""
    try:
        parser.feed(data)
    except Exception as error:
        # The parser raises its own types and those of its callbacks.
        if not parser.complete:
            raise AnswerError(repr(error)) from error
        parser.complete[-1].is_last = True


def is_own(answer, exchange, rules):
    """Tell whether an answer belongs to the exchange."""
    if rules.id_header is None or exchange.answer_id is None:
        return True
    echoed = answer.get(rules.id_header)
    return echoed is None or echoed == exchange.answer_id


def check(answer, parser, rules):
    """Return the answer, marked if its connection can't go on."""
    if not answer.is_framed:
        if not rules.accepts_unframed:
            raise AnswerError("states no length")
        answer.is_last = True
    if parser.complete or (parser.message_begun and not parser.message_complete):
        answer.is_last = True
    return answer
