"""The events that the filter chain of a request awaits.

Names that end in ``_at_ms`` are times on the local clock; durations end in ``_ms``
alone.
"""

from .records import Record


class AwaitEvent(Record):
    """Wait for the next event of this request; the reply is one of the events below."""

    __slots__ = ("until_ms",)

    def __init__(self, until_ms):
        self.until_ms = until_ms


# Events that AwaitEvent returns.


class ExchangeEnded(Record):
    """An exchange ended with an UpstreamResponse or a SendFailure.

    ``key`` is the Permit of the send, or the Relay.
    """

    __slots__ = ("key", "result", "now_ms")

    def __init__(self, key, result, now_ms):
        self.key = key
        self.result = result
        self.now_ms = now_ms


class WaitTimedOut(Record):
    """No event came until the given time."""

    __slots__ = ("now_ms",)

    def __init__(self, now_ms):
        self.now_ms = now_ms


class StopReached(Record):
    """The planned stop of this VM ends now, and the request with it."""

    __slots__ = ("now_ms",)

    def __init__(self, now_ms):
        self.now_ms = now_ms


class AnswerMarginGrown(Record):
    """A call must end earlier before its deadline, since this VM is late."""

    __slots__ = ("margin_ms",)

    def __init__(self, margin_ms):
        self.margin_ms = margin_ms


class CallerDisconnected(Record):
    """The caller closed its connection."""

    __slots__ = ("now_ms",)

    def __init__(self, now_ms):
        self.now_ms = now_ms
