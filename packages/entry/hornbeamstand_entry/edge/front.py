"""WSGI applications of an edge process: requests, lookups and readiness."""

from contextlib import suppress

from hornbeamstand_core.controllers.load.admission import Arrival
from hornbeamstand_core.controllers.organisations.keys import (
    UNAUTHORIZED,
    find_priority,
)
from hornbeamstand_core.edge_messages import RETRY, EdgeCall, EdgeRequest
from hornbeamstand_core.messages import CANCELLED, NOT_RUN, Refusal
from hornbeamstand_core.routes import CallerLimits
from result import Err

from .. import headers
from ..header_numbers import read_number
from ..http_server import (
    BodyError,
    has_left,
    has_short_body,
    left_ms,
    read_body,
)
from ..memory.answer_body import AnswerBody
from ..performers import drive
from ..responses import length_items, status_line
from ..tasks.sockets import unread_ms
from .context import STOP_ENDS, EdgeContext
from .messages import (
    FIRST_KIND_HEADER,
    RETRY_AFTER_HEADER,
    TARGET_START_HEADER,
    caller_status,
    forwarded_items,
    interim_response,
    read_policy,
    response_items,
)
from .peer_copies import PeerCopies

# Maximum time in which the body of a request without a deadline arrives.
BODY_TIMEOUT_MS = 30_000.0
MS_PER_S = 1000.0
# Header of status 401 that names the authentication scheme. See RFC 9110, section 11.6.
CHALLENGE_HEADER = "WWW-Authenticate"
PLAIN = ("Content-Type", "text/plain")
JSON = ("Content-Type", "application/json")
BINARY = ("Content-Type", "application/octet-stream")


class EdgeFront:
    """The HTTP front end of an edge process.

    ``is_stopping`` is set once a planned stop begins; ``n_requests`` is the number of
    requests in progress. ``is_accepting()`` returns whether callers' connections are
    accepted.

    Parameters
    ----------
    node : EdgeNode
        Read for lookups, readiness and configuration copies.
    chain : callable
        The filter chain's handler.
    performers : dict
        Performer of each effect class, see ``make_performers``.
    dialect : Dialect
        The platform's headers and codecs.
    clock, settings
        The process's clock and settings.
    body_budget : ByteBudget
        Limits the bytes that are held for all callers.
    log : EdgeLog
        The process's log.
    suspensions : Suspensions
        Tells whether requests may have waited because the process did not run.
    """

    __slots__ = (
        "node",
        "chain",
        "performers",
        "dialect",
        "clock",
        "settings",
        "body_budget",
        "log",
        "suspensions",
        "is_stopping",
        "is_accepting",
        "n_requests",
        "_mailboxes",
        "_own_header_names",
        "_n_received",
        "copies",
    )

    def __init__(
        self,
        node,
        chain,
        performers,
        dialect,
        clock,
        settings,
        body_budget,
        log,
        suspensions,
    ):
        self.node = node
        self.chain = chain
        self.performers = performers
        self.dialect = dialect
        self.clock = clock
        self.settings = settings
        self.body_budget = body_budget
        self.log = log
        self.suspensions = suspensions
        self.is_stopping = False
        self.is_accepting = lambda: True
        self.n_requests = 0
        # The mailboxes of the calls in progress.
        self._mailboxes = set()
        names = dialect.headers
        own_names = (names.deadline_ms, names.expected_target)
        self._own_header_names = frozenset(name.lower() for name in own_names)
        self._n_received = 0
        self.copies = PeerCopies(node)

    # Requests.

    def serve_caller(self, environ, start_response):
        """Serve a request of a caller (WSGI)."""
        return self._serve(environ, start_response, None, self._respond_caller)

    def serve_peer(self, environ, start_response):
        """Serve a request that a peer relayed, or a copy for a peer (WSGI)."""
        text = environ.get("HTTP_HORNBEAM_TERMS")
        if text is None and self.copies.has(environ["PATH_INFO"]):
            return self._serve_copy(environ, start_response)
        organisation_text = environ.get("HTTP_HORNBEAM_ORGANISATION")
        policy = read_policy(text, organisation_text) if text else None
        if policy is None:
            return respond(start_response, 400, b"no terms", [PLAIN])
        return self._serve(environ, start_response, policy, self._respond_peer)

    def _serve_copy(self, environ, start_response):
        body = self.copies.get(environ["PATH_INFO"], self.clock.now_ms())
        if body is None:
            return respond(start_response, 404, b"", [PLAIN])
        return respond(start_response, 200, body, [BINARY])

    def _serve(self, environ, start_response, policy, respond_outcome):
        hold = self.body_budget.hold(environ["hornbeamstand.memory"])
        self.n_requests += 1
        try:
            return self._serve_body(
                environ, start_response, policy, respond_outcome, hold
            )
        finally:
            hold.release()
            self.n_requests -= 1

    def _serve_body(self, environ, start_response, policy, respond_outcome, hold):
        arrived_at_ms = self.clock.now_ms()
        context = self._read_context(environ)
        request = self._read_request(environ, context, arrived_at_ms)
        refusal = self._refuse_if_late(request, policy)
        if refusal is not None:
            if not has_short_body(environ):
                environ["hornbeamstand.refuse_body"]()
            return respond_outcome(start_response, Err(refusal), context)
        try:
            context.body = self._read_body(environ, request, hold, policy is not None)
        except BodyError as error:
            self.log.refused_early(request, error.refusal)
            return respond_outcome(start_response, Err(error.refusal), context)
        call = EdgeCall(request, policy)
        if call.is_relayed:
            self._note_relayed(environ, context, call)
        try:
            outcome = self._run(environ, context, call)
            pieces = respond_outcome(start_response, outcome, context)
            # From here on nothing refers to the context, and the body of the request.
            context.release_answers()
            return AnswerBody(pieces, self.body_budget.hold(hold.caller))
        finally:
            context.release_answers()

    def _note_relayed(self, environ, context, call):
        """Note what the peer that relayed a request says of it, and is to be told."""
        name = FIRST_KIND_HEADER.upper().replace("-", "_")
        if environ.get(f"HTTP_{name}") == RETRY:
            call.first_kind = RETRY
        sock = environ["hornbeamstand.socket"]

        def announce_sends(n_sends):
            # A peer that has left is noticed as the next event.
            with suppress(OSError):
                sock.sendall(interim_response(n_sends))

        context.announce_sends = announce_sends

    def _refuse_if_late(self, request, policy):
        """Return the Refusal of a request that this VM can't take now, or None."""
        timeout_ms, priority = self._find_urgency(request, policy)
        if request.deadline_ms is not None:
            timeout_ms = min(timeout_ms, request.deadline_ms)
        arrival = Arrival(request.waited_ms, timeout_ms, priority)
        return self.node.admission.refusal(arrival, request.arrived_at_ms)

    def _find_urgency(self, request, policy):
        """Return the timeout and the priority of a request before its lookup.

        ``policy`` is that of a relayed request, or None.
        """
        if policy is not None:
            return policy.timeout_ms, policy.priority
        config = self.node.routing.config
        route = config.find(request.host, request.path) if config else None
        if route is None:
            return BODY_TIMEOUT_MS, 0
        return route.timeout_ms, find_priority(config, route, request.key)

    def _read_body(self, environ, request, hold, is_relayed):
        """Return the body of a request, which must arrive within its deadline.

        The VM that relayed a request has held its body to the limit.
        """
        config = self.node.routing.config
        limits = config.limits if config else CallerLimits()
        max_bytes = float("inf") if is_relayed else limits.body_max_bytes
        timeout_ms = BODY_TIMEOUT_MS
        if request.deadline_ms is not None:
            timeout_ms = min(timeout_ms, request.deadline_ms - request.waited_ms)
        return read_body(environ, max_bytes, hold, timeout_ms)

    def _read_context(self, environ):
        header_items = environ["hornbeamstand.header_items"]
        caller_request_id = None
        id_header = self.dialect.headers.request_id.lower()
        for name, value in header_items:
            if name.lower() == id_header:
                caller_request_id = value
                break
        return EdgeContext(
            caller_request_id,
            environ["REQUEST_METHOD"],
            environ["hornbeamstand.target"],
            forwarded_items(header_items, self._own_header_names),
            b"",
        )

    def _read_request(self, environ, context, arrived_at_ms):
        self._n_received += 1
        # A caller may use an id again. The part after "~" makes it unique in this VM.
        base_request_id = context.caller_request_id or self.settings.vm_id
        waited_ms = unread_ms(environ["hornbeamstand.socket"])
        deadline_name = self.dialect.headers.deadline_ms.upper().replace("-", "_")
        deadline_ms = read_number(environ.get(f"HTTP_{deadline_name}"))
        if deadline_ms is not None:
            deadline_ms = left_ms(environ, deadline_ms, waited_ms)
        return EdgeRequest(
            f"{base_request_id}~{self._n_received}",
            read_host(environ.get("HTTP_HOST", "")),
            context.path,
            context.method,
            deadline_ms,
            arrived_at_ms,
            waited_ms,
            self.node.admission.answer_margin_ms,
            self.dialect.read_key(environ["hornbeamstand.header_items"]),
        )

    def _run(self, environ, context, call):
        sock = environ["hornbeamstand.socket"]
        if self.suspensions.is_just_over() and has_left(sock):
            refusal = Refusal(CANCELLED, NOT_RUN, 499, "front")
            self.log.refused_early(call.request, refusal)
            return Err(refusal)
        unwatch = environ["hornbeamstand.watch_caller"](context.mailbox)
        self._mailboxes.add(context.mailbox)
        try:
            return drive(self.chain, call, context, self.performers)
        finally:
            self._mailboxes.discard(context.mailbox)
            unwatch()
            for exchange in context.key_by_exchange:
                exchange.cancel()

    def end_calls(self):
        """Let the calls in progress end at once, because the process does."""
        for mailbox in self._mailboxes:
            mailbox.put(STOP_ENDS)

    def lengthen_margins(self, message):
        """Pass an AnswerMarginGrown to the calls in progress."""
        for mailbox in self._mailboxes:
            mailbox.put(message)

    def _respond_caller(self, start_response, outcome, context):
        if outcome.is_ok():
            response = outcome.ok_value.payload
            status = caller_status(response.status_code)
            if status == response.status_code:
                return forward_response(start_response, response, [])
            return respond(start_response, status, b"", [PLAIN])
        refusal = outcome.err_value
        names = self.dialect.headers
        items = [PLAIN]
        if context.caller_request_id is not None:
            items.append((names.request_id, context.caller_request_id))
        if refusal.status == UNAUTHORIZED:
            items.append((CHALLENGE_HEADER, names.key_scheme))
        if refusal.retry_after_ms is not None and refusal.status in (429, 503):
            seconds = refusal.retry_after_ms / MS_PER_S
            items.append((names.retry_after, f"{seconds:.2f}"))
        return respond(start_response, refusal.status, refusal.reason.encode(), items)

    def _respond_peer(self, start_response, outcome, context):
        if outcome.is_ok():
            answer = outcome.ok_value
            extra_items = [(headers.TARGET, answer.target_id)]
            if answer.started_wall_ms:
                start = str(answer.started_wall_ms)
                extra_items.append((TARGET_START_HEADER, start))
            return forward_response(start_response, answer.payload, extra_items)
        refusal = outcome.err_value
        items = [
            PLAIN,
            (headers.REFUSAL, refusal.reason),
            (headers.OUTCOME, refusal.certainty),
            (headers.STEP, refusal.step),
        ]
        if refusal.retry_after_ms is not None:
            items.append((RETRY_AFTER_HEADER, f"{refusal.retry_after_ms:.0f}"))
        return respond(start_response, refusal.status, b"", items)

    def may_start_early(self, host, path):
        """Return whether a request may run beside others of its connection."""
        config = self.node.routing.config
        route = config.find(read_host(host), path) if config else None
        return route is not None and route.is_idempotent

    # Lookups and readiness.

    def serve_lookup(self, environ, start_response):
        """Respond with the addresses of the VMs that callers of a host should use."""
        if environ["PATH_INFO"] != self.dialect.lookup_path:
            return respond(start_response, 404, b"", [PLAIN])
        host, failure_domain = self.dialect.read_lookup(environ["QUERY_STRING"])
        port = self.settings.front_port
        now_ms = self.clock.now_ms()
        ips = self.node.named_ips(read_host(host), failure_domain, now_ms)
        if not ips:
            return respond(start_response, 503, b"", [PLAIN])
        addresses = [f"{ip}:{port}" for ip in ips]
        body = self.dialect.encode_lookup(addresses, self.settings.lookup_ttl_ms)
        return respond(start_response, 200, body, [JSON])

    def serve_ready(self, environ, start_response):
        """Respond with 200 if this VM accepts callers' requests, otherwise with 503."""
        if environ["PATH_INFO"] != self.dialect.ready_path:
            return respond(start_response, 404, b"", [PLAIN])
        is_ready = (
            self.node.peers.is_serving
            and not self.is_stopping
            and self.is_accepting()
            and not self.node.is_cut_off(self.clock.now_ms())
        )
        return respond(start_response, 200 if is_ready else 503, b"", [PLAIN])


def read_host(text):
    """Return a host name in lower case, without its port."""
    return text.partition(":")[0].lower()


def respond(start_response, status, body, items):
    """Respond with the given header lines, a Content-Length and the body."""
    start_response(status_line(status), [*items, ("Content-Length", str(len(body)))])
    return [body] if body else []


def forward_response(start_response, response, extra_items):
    """Respond with a target's complete response."""
    status = response.status_code
    items = response_items(response)
    items += length_items(status, response, response.n_body_bytes)
    start_response(status_line(status), [*items, *extra_items])
    return response.body_pieces
