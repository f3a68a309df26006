"""The process's clock."""

import time

from hornbeamstand_core.clock import Clock


def make_process_clock():
    """Return a Clock over the system's monotonic clock."""
    return Clock.from_reader(lambda: time.monotonic() * 1000.0)
