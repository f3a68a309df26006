"""WSGI servers of either program, which keep track of their open connections."""

from math import inf

import gevent
from gevent.pywsgi import WSGIServer
from hornbeamstand_core.controllers.load.shortage import choose_longest_stalled

from ..clock import make_process_clock
from ..http_server import CLOSE
from ..memory.costs import CONNECTION_BYTES
from ..memory.limited_handler import LimitedHandler
from ..tasks.byte_budget import ByteBudget
from ..tasks.failures import call_soon_if_possible, report_failure
from ..tasks.sockets import NO_DESCRIPTOR_ERRORS, has_bytes

MS_PER_S = 1000.0
# Interval at which a server with the maximum number of connections ends idle ones, if
# more wait to be accepted.
HOLD_BACK_INTERVAL_MS = 20.0
# Number of idle connections that are then ended at a time: a share of the maximum, and
# a minimum.
ENDED_SHARE = 1 / 16
N_ENDED_MIN = 4
# Maximum idle time after which a VM sends a request on a connection to another VM. One
# that may run only once has the shorter LAST_RESPONSE_MAX_AGE_MS.
PEER_REUSE_MS = 3000.0
# Idle time before which a connection is not ended for another one: its caller, or the
# peer that still uses it, may have a request on its way.
CALLER_MIN_IDLE_MS = 100.0
PEER_MIN_IDLE_MS = PEER_REUSE_MS + 500.0
# Maximum idle time of a connection of a peer. It doesn't depend on the operators'
# limits, which peers may know in another version, and leaves room for a peer that
# noticed the last response late because it did not run.
PEER_IDLE_MS = 40_000.0
# Minimum interval of the reports that a server holds connections back.
REPORT_INTERVAL_MS = 1000.0
# Time without an accepted connection, while some are held back, after which a server
# no longer counts as accepting. A VM that says it is ready gets more callers.
ACCEPTING_MS = 1000.0


class IdleConnectionEnded(OSError):
    """Raised in the greenlet of an idle connection that is closed."""


class IdleTimeout(OSError):
    """Raised in the greenlet of a connection that may have been idle for too long."""


class EdgeServer(WSGIServer):
    """Limits and counts the accepted connections.

    Connections beyond ``n_connections_max`` stay in the listen queue. Meanwhile idle
    ones are ended, and the responses on the others announce their end.

    ``n_unstarted`` is the number of connections whose greenlets have not begun to run,
    and ``open_handlers`` are the EdgeHandlers of the other open connections.
    ``siblings`` are all servers of the process, whose idle connections are ended when
    no descriptor is left to accept another one. ``min_idle_ms`` is the idle time before
    which a connection is not ended for another one. ``n_held_back`` counts how often
    connections began to be held back; ``report_held_back(server)`` is then called, but
    not more often than at REPORT_INTERVAL_MS. ``ends_connections()`` returns whether
    all connections are to end after the requests that have arrived. ``n_ahead`` is the
    number of requests that run beside an earlier one of their connection, and
    ``may_start_early(host, path)`` returns whether a request without a body may.
    ``budget`` limits what is held for callers; further connections wait if it
    ``limits_connections``.
    """

    clock = make_process_clock()
    n_connections_max = inf
    min_idle_ms = CALLER_MIN_IDLE_MS
    n_unstarted = 0
    n_ahead = 0
    may_start_early = staticmethod(lambda host, path: False)
    siblings = ()
    is_holding_back = False
    accepts_none_since_ms = inf
    n_held_back = 0
    report_held_back = None
    ends_connections = staticmethod(lambda: False)
    reported_at_ms = -inf
    budget = ByteBudget()
    limits_connections = False

    @property
    def n_connections(self):
        """The number of open connections."""
        return self.n_unstarted + len(self.open_handlers)

    def full(self):
        """Return whether no further connection is accepted now."""
        if not self.has_room():
            return True
        return self.limits_connections and not self.budget.has_room(CONNECTION_BYTES)

    def has_room(self):
        """Return whether one more connection or early request is within the maximum.

        A request that starts early needs a descriptor of its own to be sent.
        """
        return self.n_connections + self.n_ahead < self.n_connections_max

    def _do_read(self):
        """Accept the connections that wait, up to the maximum number.

        This runs in the event loop, which takes an error for a callback that was lost.
        """
        try:
            self._accept()
        except MemoryError as error:
            report_failure("acceptor", error)
            self.stop_accepting()
            self._accept_later()

    def _accept(self):
        super()._do_read()
        if self.full() and self._watcher is None and self._timer is None:
            self._hold_back()
        else:
            self.is_holding_back = False
            self.accepts_none_since_ms = inf

    def is_accepting(self):
        """Return whether there is room for a connection, or was within ACCEPTING_MS."""
        waited_ms = self.clock.now_ms() - self.accepts_none_since_ms
        return not self.full() or waited_ms < ACCEPTING_MS

    def _hold_back(self):
        """End idle connections, and try to accept again a little later."""
        if not self.is_holding_back:
            self.is_holding_back = True
            self.accepts_none_since_ms = self.clock.now_ms()
            self.n_held_back += 1
            self._report()
        n_max = min(self.n_connections_max, self.n_connections)
        n_ended_max = max(N_ENDED_MIN, int(ENDED_SHARE * n_max))
        end_longest_idle([self], n_ended_max)
        self._end_stalled(n_ended_max)
        self._accept_later()

    def _end_stalled(self, n_max):
        """End callers that have neither sent nor read for a while."""
        callers = [handler.memory for handler in self.open_handlers if handler.memory]
        now_ms = self.clock.now_ms()
        for caller in choose_longest_stalled(callers, n_max, now_ms):
            caller.end_soon()

    def _accept_later(self):
        self._timer = self.loop.timer(HOLD_BACK_INTERVAL_MS / MS_PER_S)
        self._timer.start(self._start_accepting_if_started)

    def _report(self):
        now_ms = self.clock.now_ms()
        is_due = now_ms - self.reported_at_ms >= REPORT_INTERVAL_MS
        if self.report_held_back is not None and is_due:
            self.reported_at_ms = now_ms
            self.report_held_back(self)

    def note_closed(self, handler):
        """Note that a connection was closed, so that another one may be accepted."""
        self.open_handlers.discard(handler)
        self._start_accepting_if_started()

    def do_read(self):
        """Accept a connection; return its socket and address, or None."""
        try:
            return super().do_read()
        except OSError as error:
            if error.errno in NO_DESCRIPTOR_ERRORS:
                end_longest_idle(self.siblings)
            raise

    def do_handle(self, *accepted):
        """Start the greenlet of a connection."""
        super().do_handle(*accepted)
        self.n_unstarted += 1
        if self.is_holding_back:
            self.accepts_none_since_ms = self.clock.now_ms()

    def handle(self, sock, address):
        """Serve a connection; its greenlet calls this as it begins to run."""
        self.n_unstarted -= 1
        try:
            super().handle(sock, address)
        except MemoryError as error:
            # gevent would report it, for which there may be no memory either.
            report_failure("http-server", error)


class EdgeHandler(LimitedHandler):
    """Serves one connection, which a planned stop may close while it is idle.

    ``begun_at_ms`` is when the first byte of the last request was read.
    """

    begun_at_ms = inf

    def handle(self):
        """Register the handler with its server while the connection is open."""
        try:
            self.greenlet = gevent.getcurrent()
            self.is_idle = True
            self.idle_since_ms = self.server.clock.now_ms()
            self.server.open_handlers.add(self)
            super().handle()
        finally:
            self.server.note_closed(self)
            self._release()

    def _release(self):
        """Drop what refers back to this handler, so that it needs no collection.

        An end that is due may still ask the server whether the connection is open.
        """
        server = self.server
        self.__dict__.clear()
        self.server = server

    def wait_for_request(self):
        """Mark the connection as idle until the next request begins to arrive.

        Returns False if the caller ends the connection instead.
        The wait is limited by the maximum idle time that is in force at its end. A
        request that arrived before that is served, also if this process notices it
        later.
        """
        self.is_idle = True
        self.idle_since_ms = self.server.clock.now_ms()
        # The file of a socket can't be read any more after a timeout of the socket.
        self.socket.settimeout(None)
        while self.is_idle:
            left_s = max(0.0, self.idle_left_ms() / MS_PER_S)
            try:
                with gevent.Timeout(left_s, IdleTimeout("idle for too long")):
                    has_arrived = super().wait_for_request()
                self.is_idle = False
                self.begun_at_ms = self.server.clock.now_ms()
            except IdleTimeout:
                if self.idle_left_ms() <= 0 and not has_bytes(self.socket):
                    raise
            except IdleConnectionEnded:
                if not has_bytes(self.socket):
                    raise
        self.socket.settimeout(self.server.idle_ms() / MS_PER_S)
        return has_arrived

    def get_environ(self):
        """Return the WSGI environment, with the time that the head took to arrive."""
        environ = super().get_environ()
        head_ms = max(0.0, self.server.clock.now_ms() - self.begun_at_ms)
        environ["hornbeamstand.head_ms"] = head_ms
        return environ

    def idle_left_ms(self):
        """Return the time for which the connection may still be idle."""
        idle_ms = self.server.clock.now_ms() - self.idle_since_ms
        return self.server.idle_ms() - idle_ms

    def start_response(self, status, items, exc_info=None):
        """Start the response; it announces the end of the connection, if that is due.

        A request that has arrived before that is served too.
        """
        is_ending = self.server.full() or self.server.ends_connections()
        if is_ending and CLOSE not in items and not self.has_next_request():
            items = [*items, CLOSE]
        return super().start_response(status, items, exc_info)

    def has_next_request(self):
        """Return whether bytes have arrived after those of the current request."""
        timeout_s = self.socket.gettimeout()
        self.socket.settimeout(0.0)
        try:
            return bool(self.rfile.peek(1))
        except OSError:
            return False
        finally:
            self.socket.settimeout(timeout_s)


def start_server(
    address, app, stack, idle_ms, limits, listener=None, handler_class=EdgeHandler
):
    """Start a server for a WSGI application; the exit stack stops it.

    ``listener`` is a listening socket for the address, which the server owns from now
    on. Without it the server opens one, and raises OSError if it can't.
    ``idle_ms`` is a callable that returns the maximum idle time of a connection in
    milliseconds, and ``limits`` one that returns the CallerLimits. They are called
    before each request, so that new limits apply to open connections too.
    ``handler_class`` is EdgeHandler or a subclass.
    """
    server = make_server(address, app, handler_class)
    if listener is not None:
        server.set_listener(listener)
    server.caller_idle_s = idle_ms() / MS_PER_S
    server.idle_ms = idle_ms
    server.limits = limits
    server.open_handlers = set()
    server.start()
    stack.callback(server.stop, timeout=0)
    return server


def make_server(address, app, handler_class):
    """Return an EdgeServer for a WSGI application, which does not listen yet.

    The library would ask a name server for the name of its address.
    """
    host, _, port = address.rpartition(":")
    return EdgeServer(
        (host, int(port)),
        app,
        log=None,
        error_log=None,
        handler_class=handler_class,
        environ={"SERVER_NAME": host},
    )


def stop_accepting(servers):
    """Accept the connections that wait, then close the listening sockets.

    A connection that the operating system has accepted, and this process has not, would
    be reset otherwise, with the request that its caller has sent. Returns False if
    connections wait that can't be accepted now; the function is then called again.
    """
    for server in servers:
        if not server.closed and accept_waiting(server):
            server.close()
    return all(server.closed for server in servers)


def accept_waiting(server):
    """Accept the connections that wait at a server; return whether none is left."""
    try:
        while not server.full():
            accepted = server.do_read()
            if not accepted:
                return True
            server.do_handle(*accepted)
    except (OSError, MemoryError):
        # The process has no free descriptor or memory, or the caller has left.
        return False
    return False


def has_requests(servers):
    """Return whether a request has arrived on any connection and is not answered yet.

    Its connection's task may not have begun to run, or to read it.
    """
    return any(
        server.n_unstarted or any(map(is_busy, server.open_handlers))
        for server in servers
    )


def is_busy(handler):
    """Return whether a connection serves a request or has received bytes of one."""
    if not handler.is_idle:
        return True
    return handler.socket is not None and has_bytes(handler.socket)


def close_idle_connections(servers):
    """End the servers' connections on which no request has begun to arrive."""
    for server in servers:
        for handler in server.open_handlers:
            if handler.is_idle:
                call_soon_if_possible(end_if_idle, handler)


def end_longest_idle(servers, n_ended_max=inf):
    """End the connections that have been idle for longest, as far as servers allow."""
    now_ms = EdgeServer.clock.now_ms()
    idle = [
        handler
        for server in servers
        for handler in server.open_handlers
        if handler.is_idle and now_ms - handler.idle_since_ms >= server.min_idle_ms
    ]
    idle.sort(key=lambda handler: handler.idle_since_ms)
    for handler in idle[: min(len(idle), n_ended_max)]:
        call_soon_if_possible(end_if_idle, handler)


def end_if_idle(handler):
    """End the connection of a handler if it still waits for a request.

    This runs in the hub, so that no request can begin between the check and the end.
    """
    is_open = handler in handler.server.open_handlers
    if is_open and not is_busy(handler):
        handler.greenlet.throw(IdleConnectionEnded())
