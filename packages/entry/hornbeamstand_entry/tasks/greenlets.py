"""Greenlets that keep nothing alive after a kill."""

import gevent


def spawn(run, *args):
    """Return a new greenlet that calls ``run``, and may be killed."""
    return gevent.spawn(run_until_killed, run, *args)


def run_until_killed(run, *args):
    """Return the result of ``run``, or None if the greenlet is killed meanwhile.

    gevent would keep the exception of the kill as the greenlet's value, and with its
    traceback all that the frames refer to. If one of them refers to the greenlet, only
    a garbage collection frees it.
    """
    try:
        return run(*args)
    except gevent.GreenletExit:
        return None
