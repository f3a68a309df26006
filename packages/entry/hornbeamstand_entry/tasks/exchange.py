"""One request to send over a connection, and its result: messages between tasks."""

from hornbeamstand_core.messages import CANCELLED, SendFailure
from hornbeamstand_core.records import Record

from .task import receive, receive_arrived

# Maximum number of turns of the event loop in which the bytes that have arrived for an
# exchange are read. In each turn, a connection reads a part of a response.
N_READ_TURNS_MAX = 128
# Size from which on a body without a stated length, or what is missing of another one,
# is not awaited after a timeout.
LARGE_BODY_BYTES = 1 << 20


class Exchange:
    """One request to send, and the mailbox that its result is put into.

    ``not_after_ms`` is the time on the local clock from which the request is no longer
    sent. ``needs_recent_response`` is set for a request that may run only once.
    ``request_bytes`` is the whole request, or its head if it has a separate ``body``.
    A response fails if its body is longer than ``answer_max_bytes`` before it is
    complete. ``expected_id`` is the request id that the response echoes, or None.
    ``is_sent`` is set as soon as any byte may have been sent, ``is_whole_sent`` once
    all have, and ``has_ended_sending`` once the sending side is to end after them.
    ``connection`` carries the exchange, and is None until one is assigned.
    ``reply_to`` is None once the exchange is cancelled. If
    ``keeps_answer_hold`` is set, the memory of the response counts until the requester
    calls ``release_answer``; otherwise only while it is read. An exchange that
    ``is_optional`` fails if it needs a new connection while few descriptors are left.
    One that ``reports_interim`` also passes on each InterimResponse, as a result before
    the last one.
    """

    __slots__ = (
        "method",
        "request_bytes",
        "not_after_ms",
        "needs_recent_response",
        "answer_max_bytes",
        "reply_to",
        "expected_id",
        "is_sent",
        "is_whole_sent",
        "has_ended_sending",
        "is_cancelled",
        "has_timed_out",
        "connection",
        "body",
        "keeps_answer_hold",
        "is_optional",
        "reports_interim",
        "_answer_hold",
    )

    def __init__(
        self,
        method,
        request_bytes,
        not_after_ms,
        needs_recent_response,
        answer_max_bytes,
        reply_to,
        expected_id=None,
        body=b"",
        keeps_answer_hold=False,
        is_optional=False,
        reports_interim=False,
    ):
        self.method = method
        self.request_bytes = request_bytes
        self.not_after_ms = not_after_ms
        self.needs_recent_response = needs_recent_response
        self.answer_max_bytes = answer_max_bytes
        self.reply_to = reply_to
        self.expected_id = expected_id
        self.body = body
        self.is_sent = False
        self.is_whole_sent = False
        self.has_ended_sending = False
        self.is_cancelled = False
        self.has_timed_out = False
        self.connection = None
        self.keeps_answer_hold = keeps_answer_hold
        self.is_optional = is_optional
        self.reports_interim = reports_interim
        self._answer_hold = None

    def take_answer_hold(self, hold):
        """Take over the ByteHold of the complete response, or release it."""
        if self.keeps_answer_hold and not self.is_cancelled:
            self._answer_hold = hold
        else:
            hold.release()

    def release_answer(self):
        """Release the memory of the response, which is needed no more."""
        if self._answer_hold is not None:
            self._answer_hold.release()
            self._answer_hold = None

    def receive_result(self, timeout_ms):
        """Return the result of the exchange, or a message of another type.

        Late results of earlier exchanges are dropped, so that a response is only
        taken for its own request. The result is None after the timeout.
        """
        while True:
            message = receive(self.reply_to, timeout_ms)
            if message is None:
                message = receive_unread(self.reply_to, [self])
            if type(message) is not ExchangeResult:
                return message
            if message.exchange is self:
                return message.result

    def may_have_arrived(self):
        """Return whether the rest of the response may have arrived without being read.

        Of a body of a stated length, no more may be missing than arrives while the rest
        is read. Other bodies are not awaited once they are large.
        """
        connection = self.connection
        if connection is None or connection.exchange is not self:
            return False
        if connection.stream is None or connection.parser is None:
            return False
        parser = connection.parser
        if not parser.has_unparsed and not connection.stream.has_bytes():
            return False
        if parser.has_stated_length:
            n_unread_bytes = connection.stream.count_unread_bytes()
            return parser.n_announced_bytes <= max(n_unread_bytes, LARGE_BODY_BYTES)
        return parser.n_body_bytes < LARGE_BODY_BYTES

    @property
    def n_open_ended_bytes(self):
        """The bytes that were read of an incomplete response without a stated length.

        One that states its length is either refused at its head or comes to an end.
        """
        connection = self.connection
        if connection is None or connection.exchange is not self:
            return 0
        parser = connection.parser
        if parser is None or parser.has_stated_length:
            return 0
        return parser.n_received_bytes

    def report(self, result):
        """Pass a result to the requester, unless the exchange is cancelled."""
        if self.reply_to is not None:
            self.reply_to.put(ExchangeResult(self, result))

    def end_sending(self):
        """End the sending side of the connection once the request is sent as a whole.

        The connection carries no other exchange after it. An exchange of which nothing
        was sent yet is cancelled, and its result says so.
        """
        if self.is_cancelled:
            return
        if not self.is_sent:
            self._stop()
            self.report(SendFailure(CANCELLED, False))
            return
        self.has_ended_sending = True
        if self.is_whole_sent:
            self._shut_down_sending()

    def note_whole_sent(self):
        """Note that all bytes have been sent, and end the sending side if asked to."""
        self.is_whole_sent = True
        if self.has_ended_sending:
            self._shut_down_sending()

    def _shut_down_sending(self):
        connection = self.connection
        if connection is not None and connection.exchange is self:
            connection.stream.end_sending()

    def cancel(self, has_timed_out=False):
        """Cancel the exchange and close the connection that carries it, if any.

        ``has_timed_out`` states that no response came in time.
        """
        self.has_timed_out = has_timed_out
        # A result that is in the mailbox already would keep itself alive otherwise.
        self.reply_to = None
        self._stop()

    def _stop(self):
        self.is_cancelled = True
        connection = self.connection
        if connection is not None and connection.exchange is self:
            connection.task.greenlet.kill(block=False)


class ExchangeResult(Record):
    """The result of an exchange: a CompleteResponse or a SendFailure.

    It may also be an InterimResponse, which is followed by the final result.
    """

    __slots__ = ("exchange", "result")

    def __init__(self, exchange, result):
        self.exchange = exchange
        self.result = result


def receive_unread(mailbox, exchanges):
    """Return the next message, or None once no response may have arrived unread.

    The rest of a response may have arrived in time though this process was late.
    """
    for _ in range(N_READ_TURNS_MAX):
        if not any(exchange.may_have_arrived() for exchange in exchanges):
            return None
        message = receive_arrived(mailbox)
        if message is not None:
            return message
    return None
