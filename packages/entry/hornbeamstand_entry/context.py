"""The state of one request, owned by the greenlet that serves it."""

from gevent.queue import SimpleQueue
from hornbeamstand_core.messages import Call
from hornbeamstand_core.records import Record


class RequestContext:
    """One request with its headers and body, and the mailbox of its greenlet.

    ``path`` is the path after the service name, with the query, as the caller sent it.
    ``header_items`` are the headers to forward, as (name, value) pairs. ``mailbox``
    receives the replies of the tasks and the results of exchanges. ``is_caller_gone``
    is set once the caller has closed its connection. ``call`` is the request's Call in
    the filter chain, and ``exchanges`` are those whose responses take memory.
    """

    __slots__ = (
        "request",
        "path",
        "header_items",
        "body",
        "mailbox",
        "is_caller_gone",
        "call",
        "exchanges",
    )

    def __init__(self, request, path, header_items, body):
        self.request = request
        self.path = path
        self.header_items = header_items
        self.body = body
        self.mailbox = SimpleQueue()
        self.is_caller_gone = False
        self.call = Call(request)
        self.exchanges = []

    def release_answers(self):
        """Release the memory of all responses, once the answer is chosen."""
        for exchange in self.exchanges:
            exchange.release_answer()


class CallerGone(Record):
    """The caller closed its connection before it received the answer."""

    __slots__ = ()


CALLER_GONE = CallerGone()
