"""Measures how long due work waits for its turn in the event loop."""

import gevent


def measure_turn(admission, clock):
    """Measure how long a callback waits for those before it in the event loop.

    The Admission notes the delay of one callback at a time.
    """
    if admission.is_measuring():
        return
    admission.begin_turn(clock.now_ms())
    gevent.get_hub().loop.run_callback(end_turn, admission, clock)


def end_turn(admission, clock):
    """Note that the turn of the callback has come."""
    admission.end_turn(clock.now_ms())
