"""Greenlets that keep nothing alive after a kill, and survive a lack of memory."""

import gevent

from .memory_errors import note_failed_allocation


def spawn(run, *args):
    """Return a new greenlet that calls ``run``, and may be killed."""
    return gevent.spawn(run_until_killed, run, *args)


def run_until_killed(run, *args):
    """Return the result of ``run``, or None if the greenlet is killed meanwhile.

    It is None too if an allocation fails and ``run`` doesn't handle that. gevent would
    report the error, for which there may be no memory either; who waits for the
    greenlet learns of its end.

    gevent would keep the exception of a kill as the greenlet's value, and with its
    traceback all that the frames refer to. If one of them refers to the greenlet, only
    a garbage collection frees it.
    """
    try:
        return run(*args)
    except gevent.GreenletExit:
        return None
    except MemoryError:
        note_failed_allocation()
        return None
