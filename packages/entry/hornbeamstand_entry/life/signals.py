"""The signals by which operators stop a process or have it read its settings."""

import signal

import gevent
from gevent.event import Event

# Delay until a reload that failed is requested again. It doubles each time.
FIRST_RETRY_DELAY_MS = 100.0
# Maximum number of these requests after one SIGHUP: for about three seconds.
N_RETRIES_MAX = 5
MS_PER_S = 1000.0


class Signals:
    """The signals that were received and not handled yet.

    ``n_stop_requests`` counts SIGTERM and SIGINT, and ``is_reload_requested`` is set
    when SIGHUP comes, or a reload is to be tried again.
    """

    __slots__ = ("n_stop_requests", "is_reload_requested", "_n_retries", "_received")

    def __init__(self):
        self.n_stop_requests = 0
        self.is_reload_requested = False
        self._n_retries = 0
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
        self._n_retries = 0
        self._request_reload()

    def _request_reload(self):
        self.is_reload_requested = True
        self._received.set()

    def retry_reload(self):
        """Request a reload that failed again, after a while and a few times at most.

        The file may be about to be written, and no other signal need follow.
        """
        if self._n_retries == N_RETRIES_MAX:
            return
        delay_ms = FIRST_RETRY_DELAY_MS * 2**self._n_retries
        self._n_retries += 1
        gevent.spawn_later(delay_ms / MS_PER_S, self._request_retry)

    def _request_retry(self):
        if not self.is_stop_requested:
            self._request_reload()

    def wait(self, timeout_ms=None):
        """Wait until a signal comes; return whether a stop is requested."""
        self._received.wait(None if timeout_ms is None else timeout_ms / MS_PER_S)
        if not self.is_stop_requested:
            self._received.clear()
        return self.is_stop_requested
