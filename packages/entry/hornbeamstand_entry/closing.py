"""Closes resources within a time limit."""

import gevent

MS_PER_S = 1000.0


def close_bounded(stack, timeout_ms):
    """Close an exit stack; what has not closed after ``timeout_ms`` is left open."""
    with gevent.Timeout(timeout_ms / MS_PER_S, False):
        stack.close()
