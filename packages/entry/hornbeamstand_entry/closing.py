"""Closing within a bounded time."""

import gevent

MS_PER_S = 1000.0


def close_bounded(resources, max_ms):
    """Close what a stack owns, but leave what does not close in time."""
    with gevent.Timeout(max_ms / MS_PER_S, False):
        resources.close()
