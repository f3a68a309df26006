"""The signals by which operators stop a process or have it read its settings."""

import signal

import gevent
from gevent.event import Event

MS_PER_S = 1000.0


class Signals:
    """The signals that were received and not handled yet.

    ``n_stop_requests`` counts SIGTERM and SIGINT, and ``is_reload_requested`` is set
    when SIGHUP comes.
    """

    __slots__ = ("n_stop_requests", "is_reload_requested", "_received")

    def __init__(self):
        self.n_stop_requests = 0
        self.is_reload_requested = False
        self._received = Event()

    @property
    def is_stop_requested(self):
        """Whether SIGTERM or SIGINT came."""
        return self.n_stop_requests > 0

    def install(self, early_signals=()):
        """Handle SIGTERM, SIGINT and SIGHUP from now on.

        ``early_signals`` holds the numbers of those that came before that.
        """
        handlers = {
            signal.SIGTERM: self._note_stop,
            signal.SIGINT: self._note_stop,
            signal.SIGHUP: self._note_reload,
        }
        for number, handler in handlers.items():
            gevent.signal_handler(number, handler)
        for number in early_signals:
            handlers[number]()

    def _note_stop(self):
        self.n_stop_requests += 1
        self._received.set()

    def _note_reload(self):
        self.is_reload_requested = True
        self._received.set()

    def wait(self, timeout_ms=None):
        """Wait until a signal comes; return whether a stop is requested."""
        self._received.wait(None if timeout_ms is None else timeout_ms / MS_PER_S)
        if not self.is_stop_requested:
            self._received.clear()
        return self.is_stop_requested
