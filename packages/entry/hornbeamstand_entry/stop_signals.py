"""The signals that stop the process of the product's own mode."""

import signal

import gevent
from gevent.queue import Queue

from .life.inherited import (
    Corrections,
    open_standard_descriptors,
    remove_variables,
    unblock_signals,
)

STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)


def handle_stop_signals():
    """Handle SIGTERM and SIGINT from now on, and correct the inherited state.

    Returns (queue, corrections): the queue of the signals that came, and the
    Corrections.
    """
    # The event loop opens descriptors with the first handler.
    opened, ignored = open_standard_descriptors(), remove_variables()
    received = Queue()
    for number in STOP_SIGNALS:
        gevent.signal_handler(number, received.put, number)
    return received, Corrections(unblock_signals(STOP_SIGNALS), opened, ignored)
