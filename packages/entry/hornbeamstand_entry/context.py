"""What the tasks know of one request besides its decisions."""

from gevent.queue import SimpleQueue
from hornbeamstand_core.records import Record


class RequestContext:
    """One request's bytes and the mailbox of the greenlet that serves it."""

    __slots__ = ("request", "path", "header_items", "body", "mailbox", "is_caller_gone")

    def __init__(self, request, path, header_items, body):
        self.request = request
        self.path = path
        self.header_items = header_items
        self.body = body
        self.mailbox = SimpleQueue()
        self.is_caller_gone = False


class CallerGone(Record):
    """The caller closed its connection before it had its answer."""

    __slots__ = ()


CALLER_GONE = CallerGone()
