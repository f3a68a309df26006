"""Connection pools of a process: one task for each address."""

from contextlib import ExitStack

import gevent
from hornbeamstand_core.messages import NO_DESCRIPTOR, SendFailure
from hornbeamstand_core.records import Record

from .connection_rules import ConnectionRules
from .connections import (
    Connection,
    ConnectionIdle,
    fail_exchange,
    reply,
    start_connection,
)
from .exchange import Exchange
from .failures import spawn_supervised
from .task import Task

# Maximum number of idle connections that a pool keeps.
N_IDLE_MAX = 64
# Interval at which the pools close connections that have been idle for too long, and at
# which pools without connections are removed.
SWEEP_INTERVAL_MS = 10_000.0
MS_PER_S = 1000.0


class CloseOutdated(Record):
    """Close the connections that have been idle for too long to be used again."""

    __slots__ = ()


class ConnectionPool:
    """The task that assigns exchanges to the connections of one address.

    After a reused connection did not respond in time, those that were opened earlier
    may be broken too. They are closed when they become idle, or when a newer one does.

    Parameters
    ----------
    address : str
        IP address and port.
    clock : Clock
        The process's clock.
    rules : ConnectionRules, optional
        How connections are opened, read and kept.
    """

    __slots__ = (
        "address",
        "clock",
        "rules",
        "task",
        "_idle",
        "_connection_tasks",
        "_timed_out_at_ms",
    )

    def __init__(self, address, clock, rules=None):
        self.address = address
        self.clock = clock
        self.rules = rules or ConnectionRules()
        self.task = Task(f"pool {address}")
        self._idle = []
        self._connection_tasks = set()
        self._timed_out_at_ms = float("-inf")

    def start(self, stack):
        """Start the task; the exit stack ends it and closes its connections."""
        self.task.start(self._run, stack)
        stack.callback(self._close_all)

    def _run(self):
        while True:
            # Not by a name here: a pool would keep its last message while it waits.
            self._handle(self.task.mailbox.get())

    def _handle(self, message):
        if type(message) is Exchange:
            self._assign(message)
        elif type(message) is ConnectionIdle:
            self._note_idle(message.connection)
        elif type(message) is CloseOutdated:
            self._close_outdated()
        else:
            self._note_closed(message)

    def _assign(self, exchange):
        if exchange.is_cancelled:
            return
        try:
            connection = self._take_idle(exchange)
            if connection is None and self._is_left_out(exchange):
                reply(exchange, SendFailure(NO_DESCRIPTOR, False, self.address))
                return
            connection = connection or self._open()
        except Exception as error:
            fail_exchange(exchange, self.address, error)
            return
        self.rules.open_connections.note_busy(connection)
        exchange.connection = connection
        connection.exchange = exchange
        connection.task.post(exchange)

    def _is_left_out(self, exchange):
        return exchange.is_optional and not self.rules.open_connections.has_spare()

    def _take_idle(self, exchange):
        """Return an idle connection that may carry an exchange, or None.

        A request is not sent again on a connection where it got an error response: a
        late copy of that response would pass for the answer to the second send.
        """
        now_ms = self.clock.now_ms()
        passed_over = []
        taken = None
        while self._idle and taken is None:
            connection = self._idle.pop()
            if exchange.expected_id in connection.failed_ids:
                passed_over.append(connection)
            elif self._is_recent_enough(connection, exchange, now_ms):
                taken = connection
            else:
                self._end(connection)
        self._idle += reversed(passed_over)
        return taken

    def _is_recent_enough(self, connection, exchange, now_ms):
        age_ms = now_ms - connection.last_response_at_ms
        limit_ms = connection.idle_max_ms
        if exchange.needs_recent_response:
            limit_ms = min(limit_ms, self.rules.last_response_max_age_ms)
        return age_ms <= limit_ms

    def _open(self):
        connection = Connection(f"connection {self.address}", self.rules)
        start_connection(connection, self.address, self.task, self.clock)
        self._connection_tasks.add(connection.task)
        self.rules.open_connections.note_opened()
        return connection

    def _note_idle(self, connection):
        if connection.opened_at_ms < self._timed_out_at_ms:
            self._end(connection)
            return
        if len(self._idle) >= N_IDLE_MAX:
            self._end(connection)
            return
        self._idle.append(connection)
        self.rules.open_connections.note_idle(connection, self._close_idle)
        if self._timed_out_at_ms > float("-inf"):
            self._close_older()

    def _close_idle(self, connection):
        self._idle.remove(connection)
        self._end(connection)

    def _end(self, connection):
        """End a connection, which from now on makes no room for another one."""
        self.rules.open_connections.note_busy(connection)
        connection.task.greenlet.kill(block=False)

    def _close_older(self):
        older = [c for c in self._idle if c.opened_at_ms < self._timed_out_at_ms]
        for connection in older:
            self._close_idle(connection)

    def _close_outdated(self):
        now_ms = self.clock.now_ms()
        outdated = [
            connection
            for connection in self._idle
            if now_ms - connection.last_response_at_ms > connection.idle_max_ms
        ]
        for connection in outdated:
            self._close_idle(connection)

    @property
    def is_unused(self):
        """Return whether the pool has no connection and no message to handle."""
        return not self._connection_tasks and self.task.mailbox.empty()

    def _note_closed(self, closed):
        self._connection_tasks.discard(closed.connection.task)
        if closed.has_timed_out:
            self._timed_out_at_ms = self.clock.now_ms()

    def _close_all(self):
        gevent.killall([task.greenlet for task in self._connection_tasks], block=False)


class Pools:
    """Creates the pool of an address when the address is first used.

    A pool that has no connections any more is removed, so that targets that come and go
    at new addresses leave nothing behind.

    Parameters
    ----------
    clock : Clock
        The process's clock.
    stack : ExitStack
        Ends the pools and closes their connections.
    rules : ConnectionRules, optional
        Rules of all pools.
    """

    __slots__ = ("clock", "rules", "_pools", "_stacks")

    def __init__(self, clock, stack, rules=None):
        self.clock = clock
        self.rules = rules
        self._pools = {}
        # Maps an address to the exit stack of its pool.
        self._stacks = {}
        sweeper = spawn_supervised("pool-sweeper", self._sweep_loop)
        stack.callback(sweeper.kill, block=False)
        stack.callback(self._close_all)

    def post(self, address, exchange):
        """Pass an exchange to the pool of an address."""
        pool = self._pools.get(address) or self._open(address)
        pool.task.post(exchange)

    def _open(self, address):
        pool = ConnectionPool(address, self.clock, self.rules)
        with ExitStack() as stack:
            pool.start(stack)
            self._stacks[address] = stack.pop_all()
        self._pools[address] = pool
        return pool

    def _sweep_loop(self):
        while True:
            gevent.sleep(SWEEP_INTERVAL_MS / MS_PER_S)
            self.sweep()

    def sweep(self):
        """Remove the pools without connections; let the others close outdated ones."""
        for address, pool in list(self._pools.items()):
            if pool.is_unused:
                del self._pools[address]
                self._stacks.pop(address).close()
            else:
                pool.task.post(CloseOutdated())

    def _close_all(self):
        for stack in self._stacks.values():
            stack.close()
