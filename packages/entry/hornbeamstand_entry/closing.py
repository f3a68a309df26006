"""Closes resources within a time limit."""

import gevent

MS_PER_S = 1000.0


def close_bounded(resources, max_ms):
    """Close an exit stack; what has not closed after ``max_ms`` is left open."""
    with gevent.Timeout(max_ms / MS_PER_S, False):
        resources.close()
