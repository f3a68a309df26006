"""What the tasks know of one routed request besides its decisions."""

from collections import deque

from gevent.queue import SimpleQueue
from hornbeamstand_core.records import Record


class EdgeContext(Record):
    """One request's bytes, its exchanges in flight and its mailbox.

    ``attempt_id`` is the caller's own id of the request, or None; ``pending``
    has events that came while a decision was awaited.
    """

    __slots__ = (
        "attempt_id",
        "method",
        "path",
        "header_items",
        "body",
        "mailbox",
        "pending",
        "key_by_exchange",
    )

    def __init__(self, attempt_id, method, path, header_items, body):
        self.attempt_id = attempt_id
        self.method = method
        self.path = path
        self.header_items = header_items
        self.body = body
        self.mailbox = SimpleQueue()
        self.pending = deque()
        self.key_by_exchange = {}
