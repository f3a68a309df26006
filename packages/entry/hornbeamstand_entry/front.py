"""The HTTP front end for callers and peers.

Callers send lookups and requests, and peers forward requests and replicate orders. The
code runs in the greenlet that the WSGI server starts for each connection.
"""

from hornbeamstand_core.controllers.load.admission import Arrival
from hornbeamstand_core.messages import Refusal, Request

from . import headers
from .context import RequestContext
from .encoding import encode_capacity
from .header_numbers import read_number
from .http_server import (
    CLOSE,
    BodyError,
    has_short_body,
    left_ms,
    read_body,
    watch_caller,
)
from .lookup import answer_lookup
from .memory.answer_body import AnswerBody
from .peer_codec import ORDERS_PATH, PART_MAX_BYTES
from .performers import drive
from .responses import respond_outcome, respond_refusal
from .tasks.byte_budget import ByteBudget
from .tasks.sockets import unread_ms

LOOKUP_PREFIX = "/lookup/"
SERVICES_PREFIX = "/services/"
# Headers that are not forwarded as the caller sent them: those that this VM sets itself
# on a forwarded request, and those that belong to one connection. The names have the
# form of WSGI's keys, without HTTP_.
UNFORWARDED_HEADERS = frozenset(
    name.upper().replace("-", "_")
    for name in (
        headers.DEADLINE,
        headers.REQUEST_ID,
        headers.IDEMPOTENCY_KEY,
        headers.HOPS,
        headers.RECORDED,
        *headers.HOP_BY_HOP,
    )
)


class Front:
    """The WSGI application for callers and peers.

    Parameters
    ----------
    node : Node
        Read for lookups and free capacity.
    chain : callable
        The handler of the filter chain.
    performers : dict
        Effect class to performer, as made by ``make_performers``.
    control_task : ControlTask
        Counts the requests that this VM is serving.
    orders_task : OrdersTask
        Stores the orders that peers replicate.
    clock, settings :
        The clock and the settings of the process.
    budget : ByteBudget, optional
        Limits the bytes that are held for all callers.
    """

    __slots__ = (
        "node",
        "chain",
        "performers",
        "control_task",
        "orders_task",
        "clock",
        "settings",
        "budget",
        "_n_received",
        "_mailboxes",
    )

    def __init__(
        self,
        node,
        chain,
        performers,
        control_task,
        orders_task,
        clock,
        settings,
        budget=None,
    ):
        self.node = node
        self.chain = chain
        self.performers = performers
        self.control_task = control_task
        self.orders_task = orders_task
        self.clock = clock
        self.settings = settings
        self.budget = budget or ByteBudget()
        self._n_received = 0
        # The mailboxes of the calls in progress.
        self._mailboxes = set()

    def app(self, environ, start_response):
        """Serve one HTTP request (the WSGI application)."""
        path = environ["PATH_INFO"]
        if path.startswith(SERVICES_PREFIX):
            return self._serve_request(environ, start_response)
        if path.startswith(LOOKUP_PREFIX):
            name = path.removeprefix(LOOKUP_PREFIX)
            return answer_lookup(self.node, name, start_response)
        if path == ORDERS_PATH:
            return self._store_orders(environ, start_response)
        refusal = Refusal("unknown path", status=404, step="front")
        return respond_refusal(start_response, refusal, [])

    def _store_orders(self, environ, start_response):
        """Store the orders of a peer, whose responses may be as large as any."""
        max_bytes = self.settings.answer_max_bytes + PART_MAX_BYTES
        hold = self.budget.hold(environ["hornbeamstand.memory"])
        try:
            raw = read_body(environ, max_bytes, hold)
            query = environ["QUERY_STRING"]
            return self.orders_task.answer_peer(raw, query, start_response)
        except BodyError as error:
            return respond_refusal(start_response, error.refusal, [CLOSE])
        finally:
            hold.release()

    def _serve_request(self, environ, start_response):
        arrived_at_ms = self.clock.now_ms()
        self.control_task.n_requests += 1
        hold = self.budget.hold(environ["hornbeamstand.memory"])
        try:
            waited_ms = unread_ms(environ["hornbeamstand.socket"])
            request, path = self._read_request(environ, arrived_at_ms, waited_ms)
            refusal = self._refuse_if_late(request, waited_ms)
            if refusal is not None:
                if not has_short_body(environ):
                    environ["hornbeamstand.refuse_body"]()
                return respond_refusal(start_response, refusal, [])
            try:
                body = read_body(environ, self.settings.body_max_bytes, hold)
            except BodyError as error:
                return respond_refusal(start_response, error.refusal, [CLOSE])
            context = RequestContext(request, path, forwarded_headers(environ), body)
            try:
                outcome = self._run(environ, context)
            finally:
                context.release_answers()
            # The caller knows the request by the part of the id before "~".
            extra_items = [(headers.REQUEST_ID, request.request_id.partition("~")[0])]
            if request.n_hops:
                extra_items += self._capacity_items(request.service_name)
            pieces = respond_outcome(start_response, outcome, extra_items)
            return AnswerBody(pieces, self.budget.hold(hold.caller))
        finally:
            hold.release()
            self.control_task.n_requests -= 1

    def _run(self, environ, context):
        sock = environ["hornbeamstand.socket"]
        watcher = watch_caller(sock, context.mailbox)
        self._mailboxes.add(context.mailbox)
        try:
            return drive(self.chain, context.call, context, self.performers)
        finally:
            self._mailboxes.discard(context.mailbox)
            watcher.stop()
            watcher.close()

    def lengthen_margins(self, message):
        """Pass an AnswerMarginGrown to the calls in progress."""
        for mailbox in self._mailboxes:
            mailbox.put(message)

    def _refuse_if_late(self, request, waited_ms):
        """Return the Refusal of a request that this VM can't take now, or None."""
        service = self.node.ownership.configuration.services.get(request.service_name)
        if service is None:
            return None
        limit_ms = service.deadline_ms
        if request.deadline_ms is not None:
            limit_ms = min(request.deadline_ms + waited_ms, service.deadline_max_ms)
        # Priority 9 is the most urgent one of a service.
        arrival = Arrival(waited_ms, limit_ms, -service.priority)
        return self.node.admission.refusal(arrival, request.arrived_at_ms)

    def _read_request(self, environ, arrived_at_ms, waited_ms):
        # PATH_INFO is decoded, and the path has to be forwarded byte for byte.
        request_target = environ["hornbeamstand.target"].removeprefix(SERVICES_PREFIX)
        name, _, path = request_target.partition("/")
        path = f"/{path}"
        self._n_received += 1
        # A caller may use an id again. The part after "~" makes it unique in this VM.
        base_request_id = environ.get("HTTP_HORNBEAM_REQUEST_ID")
        base_request_id = base_request_id or f"{self.settings.vm_id}-{self._n_received}"
        deadline_ms = read_number(environ.get("HTTP_HORNBEAM_DEADLINE_MS"))
        if deadline_ms is not None:
            deadline_ms = left_ms(environ, deadline_ms, waited_ms) - waited_ms
        request = Request(
            f"{base_request_id}~{self._n_received}",
            name,
            environ["REQUEST_METHOD"],
            path.partition("?")[0],
            environ.get("HTTP_IDEMPOTENCY_KEY"),
            deadline_ms,
            arrived_at_ms,
            int(read_number(environ.get("HTTP_HORNBEAM_HOPS")) or 0),
            environ.get("HTTP_HORNBEAM_RECORDED") == "1",
            environ.get("HTTP_HORNBEAM_ATTEMPT") == "1",
            self.node.admission.answer_margin_ms,
            waited_ms,
        )
        return request, path

    def _capacity_items(self, name):
        service = self.node.balancer.services.get(name)
        if service is None:
            return []
        return [
            (
                headers.ROOM,
                encode_capacity(service.capacity_report(self.clock.now_ms())),
            )
        ]


def forwarded_headers(environ):
    """Return the caller's headers that are forwarded, as (name, value) pairs."""
    items = []
    for name, value in environ.items():
        if name.startswith("HTTP_") and name[5:] not in UNFORWARDED_HEADERS:
            items.append((name[5:].replace("_", "-").title(), value))
    content_type = environ.get("CONTENT_TYPE")
    if content_type:
        items.append(("Content-Type", content_type))
    return items
