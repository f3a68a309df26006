"""Data of one routed request that its performers use and its filters do not see."""

from collections import deque

from gevent.queue import SimpleQueue
from hornbeamstand_core.records import Record

from ..context import CALLER_GONE


class StopEnds(Record):
    """The planned stop of this VM ends, so that requests must be answered now."""

    __slots__ = ()


STOP_ENDS = StopEnds()
# Messages after which a request doesn't wait for a slot.
INTERRUPTS = (CALLER_GONE, STOP_ENDS)


class EdgeContext(Record):
    """The request as received, its mailbox and its exchanges in flight.

    ``caller_request_id`` is the caller's id of the request, or None. ``path`` is the
    path and query, and ``header_items`` are the header lines to forward. ``pending``
    holds the events that arrived while a reply or the answer to a load probe was
    awaited.
    ``key_by_exchange`` maps each exchange in flight to its Permit, Relay or SendProbe,
    and ``exchanges`` are all that have sent the request, whose responses take memory.
    ``announce_sends`` tells the peer that relayed the request how many sends may have
    run; it is None for a request of a caller.
    """

    __slots__ = (
        "caller_request_id",
        "method",
        "path",
        "header_items",
        "body",
        "mailbox",
        "pending",
        "key_by_exchange",
        "exchanges",
        "announce_sends",
    )

    def __init__(self, caller_request_id, method, path, header_items, body):
        self.caller_request_id = caller_request_id
        self.method = method
        self.path = path
        self.header_items = header_items
        self.body = body
        self.mailbox = SimpleQueue()
        self.pending = deque()
        self.key_by_exchange = {}
        self.exchanges = []
        self.announce_sends = None

    def release_answers(self):
        """Release the memory of all responses, once the caller has got its answer."""
        for exchange in self.exchanges:
            exchange.release_answer()
