"""Ends callers when what is held for them nears its limit."""

from math import ceil, inf

from hornbeamstand_core.controllers.load.shortage import choose_callers

from ..edge.servers import end_longest_idle
from ..life.native_memory import return_free_memory
from ..tasks.failures import call_soon_if_possible
from .costs import CONNECTION_BYTES
from .queued_bytes import QueuedBytes, limit_send_buffer

# Minimum interval at which callers are ended, and at which that is reported.
RELIEF_INTERVAL_MS = 50.0
REPORT_INTERVAL_MS = 1000.0
# Maximum number of idle connections that are ended at a time.
N_IDLE_ENDED_MAX = 64


def limit_memory(budget, servers, open_connections, clock, report):
    """Count the connections in a budget, and free memory when it gets short.

    ``servers`` are those whose connections count. Returns the MemoryRelief.
    """
    queued = QueuedBytes(servers, budget.limit_bytes, clock)

    def count_connections():
        n_accepted = 0
        for server in servers:
            n_accepted += server.n_connections
        n_bytes = CONNECTION_BYTES * (n_accepted + open_connections.n_open)
        return n_bytes + queued.count(n_accepted, n_bytes + budget.n_held_bytes)

    budget.count_others = count_connections
    return MemoryRelief(budget, servers, clock, report)


def limit_connections(server):
    """Let further connections of a server wait when memory is short."""
    server.limits_connections = True
    limit_send_buffer(server.socket)


class MemoryRelief:
    """Frees memory of a budget by ending the callers that have not moved for longest.

    ``n_ended`` counts the callers that were ended while they sent or read.

    Parameters
    ----------
    budget : ByteBudget
        The budget, which calls ``relieve`` from now on.
    servers : list of EdgeServer
        The servers whose idle connections may be ended.
    clock : Clock
        The process's clock.
    report : callable
        Called with this object after callers were ended, or memory was refused.
    """

    __slots__ = (
        "budget",
        "servers",
        "clock",
        "report",
        "n_ended",
        "_relieved_at_ms",
        "_reported_at_ms",
    )

    def __init__(self, budget, servers, clock, report):
        self.budget = budget
        self.servers = servers
        self.clock = clock
        self.report = report
        self.n_ended = 0
        self._relieved_at_ms = -inf
        self._reported_at_ms = -inf
        budget.relieve = self.relieve
        budget.return_memory = self.return_memory

    def relieve(self, n_wanted_bytes, is_exhausted):
        """End stalled callers.

        If bytes were just refused, slow callers and idle connections are ended too.
        """
        now_ms = self.clock.now_ms()
        if now_ms - self._relieved_at_ms < RELIEF_INTERVAL_MS:
            return
        self._relieved_at_ms = now_ms
        callers = self.budget.callers
        ended = choose_callers(callers, n_wanted_bytes, is_exhausted, now_ms)
        for caller in ended:
            caller.end_soon()
            n_wanted_bytes -= caller.n_bytes
        self.n_ended += len(ended)
        if is_exhausted and n_wanted_bytes > 0:
            n_idle = min(N_IDLE_ENDED_MAX, ceil(n_wanted_bytes / CONNECTION_BYTES))
            # Whoever calls this method may be serving a request on one of these.
            call_soon_if_possible(end_longest_idle, self.servers, n_idle)
        if ended or is_exhausted:
            self._report(now_ms)

    def return_memory(self):
        """Return the heap's free memory to the system in the next event loop turn."""
        call_soon_if_possible(return_free_memory)

    def gauges(self):
        """Return the functions that read the gauges, by name."""
        budget = self.budget
        return {
            "body_bytes": self._n_body_bytes,
            "held_bytes": lambda: budget.n_used_bytes,
            "held_limit_bytes": lambda: budget.limit_bytes,
            "callers_ended_for_memory": lambda: self.n_ended,
        }

    def _n_body_bytes(self):
        """Return the bytes that bodies of requests and answers take."""
        n_head_bytes = sum(
            handler.head_hold.n_bytes
            for server in self.servers
            for handler in server.open_handlers
        )
        return self.budget.n_held_bytes - n_head_bytes

    def describe(self):
        """Return the figures of a report by name."""
        return {
            "n_held_bytes": self.budget.n_used_bytes,
            "limit_bytes": self.budget.limit_bytes,
            "n_callers": len(self.budget.callers),
            "n_ended": self.n_ended,
        }

    def _report(self, now_ms):
        if now_ms - self._reported_at_ms >= REPORT_INTERVAL_MS:
            self._reported_at_ms = now_ms
            self.report(self)
