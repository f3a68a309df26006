"""A task that opens one server as soon as its address is free.

Callers' requests don't depend on such a server, so the process serves them meanwhile.
"""

from contextlib import ExitStack

import gevent

from ..tasks.task import Task
from .addresses import AddressError, log_in_use, open_listener

# Minimum and maximum interval at which an address is tried again. The interval doubles
# each time: an earlier process frees its addresses soon, another program may keep them.
RETRY_MIN_MS = 100.0
RETRY_MAX_MS = 2000.0
# Interval of the log lines about an address that can't be had.
LOG_INTERVAL_MS = 60_000.0
MS_PER_S = 1000.0


class LateServer:
    """Owns the server of one address, which it opens at once or later.

    Parameters
    ----------
    address : str
        IP address and port.
    serve : callable
        Takes a listening socket and an exit stack, and starts the server, which the
        exit stack stops.
    clock : Clock
        The process's clock.
    log : object
        Logs that the address can't be had, and that it is open later.
    """

    __slots__ = ("address", "serve", "clock", "log", "task", "_opened", "_log_at_ms")

    def __init__(self, address, serve, clock, log):
        self.address = address
        self.serve = serve
        self.clock = clock
        self.log = log
        self.task = Task("late-server")
        self._opened = ExitStack()
        self._log_at_ms = float("-inf")

    def start(self, stack):
        """Open the server, at once if possible; the exit stack closes it."""
        stack.callback(self._opened.close)
        if not self._try_open():
            self.task.start(self._open_later, stack)

    def _open_later(self):
        interval_ms = RETRY_MIN_MS
        while True:
            gevent.sleep(interval_ms / MS_PER_S)
            if self._try_open():
                self.log.info("process: address open", address=self.address)
                return
            interval_ms = min(RETRY_MAX_MS, 2.0 * interval_ms)

    def _try_open(self):
        """Open the server; return whether it is open."""
        try:
            listener = open_listener(self.address)
        except AddressError as error:
            self._log_error(error)
            return False
        self.serve(listener, self._opened)
        return True

    def _log_error(self, error):
        if self.clock.now_ms() < self._log_at_ms:
            return
        self._log_at_ms = self.clock.now_ms() + LOG_INTERVAL_MS
        log_in_use(self.log, error, "serving without it, trying again")
