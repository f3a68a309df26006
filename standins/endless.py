"""Answers of targets that never end, in several forms."""

from contextlib import suppress

import gevent

PIECE = b"x" * 65_536
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
EVENTS = b"Content-Type: text/event-stream\r\n\r\n"
CHUNK = b"10000\r\n" + PIECE + b"\r\n"
LINES = b"A: bbbbbbbb\r\n" * 5000
INTERIM = b"HTTP/1.1 103 E\r\nA: b\r\n\r\n"


class Form:
    """One form of an answer without end.

    ``head`` are the first bytes behind the status line and the usual headers, and
    ``more`` those that follow without end.
    """

    __slots__ = ("head", "more", "status")

    def __init__(self, head, more, status=200):
        self.head = head
        self.more = more
        self.status = status

    def with_status(self, status):
        """Return the same form behind another status."""
        return Form(self.head, self.more, status)

    def begin(self, attempt_id):
        """Return the first bytes of an answer."""
        head = b"HTTP/1.1 %d X\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n"
        return head % (self.status, attempt_id) + self.head


def told_length(length):
    """Return the form of an answer with a stated length and bytes without end."""
    return Form(b"Content-Length: %d\r\n\r\n" % length, PIECE)


FORMS = {
    "header line": Form(b"A: ", PIECE),
    "junk for a chunk size": Form(CHUNKED, b"zz" * 32_768),
    "one chunk": Form(CHUNKED + b"ffffffffff\r\n", PIECE),
    "chunks of a byte": Form(CHUNKED, b"1\r\nx\r\n" * 10_000),
    "told length 10^12": told_length(10**12),
    "told length 2^31": told_length(2**31),
    "told length 2^63 - 1": told_length(2**63 - 1),
    "told length 2^64": told_length(2**64),
    "told length of 4000 digits": told_length(int("9" * 4000)),
    "no length": Form(b"\r\n", PIECE),
    "pieces of an event": Form(EVENTS, b"data: x\n" * 1000),
    "whole events": Form(EVENTS, b"data: x\n\n" * 1000),
}

# Forms whose framing is ambiguous, or whose bytes without end stand outside a body.
FRAMING_FORMS = {
    "chunks": Form(CHUNKED, CHUNK),
    "told length twice": Form(
        b"Content-Length: 10\r\nContent-Length: 1000000000000\r\n\r\n", PIECE
    ),
    "told length beside chunks": Form(
        b"Content-Length: 1000000000000\r\n" + CHUNKED, CHUNK
    ),
    "behind HEAD": Form(b"Content-Length: 10\r\n\r\n", PIECE),
    "behind 204": Form(b"\r\n", PIECE, 204),
    "behind 304": Form(b"\r\n", PIECE, 304),
    "behind an interim answer": Form(b"\r\nHTTP/1.1 200 X\r\n\r\n", PIECE, 103),
    "interim answers": Form(b"\r\n", INTERIM * 1000, 103),
    "trailers": Form(CHUNKED + CHUNK * 16 + b"0\r\n", LINES),
    "chunk extension": Form(CHUNKED + b"1;", PIECE),
}


def send_without_end(sock, form, attempt_id, pause_s=0.0):
    """Send an answer of a Form until the caller closes the connection.

    ``pause_s`` is the time between two pieces.
    """
    with suppress(OSError):
        sock.sendall(form.begin(attempt_id))
        while True:
            sock.sendall(form.more)
            gevent.sleep(pause_s)
