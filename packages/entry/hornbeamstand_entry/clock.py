"""The process's clock."""

import time

from hornbeamstand_core.clock import Clock


def make_process_clock():
    """Return a Clock that reads the system's monotonic clock in milliseconds."""
    return Clock.from_reader(lambda: time.monotonic() * 1000.0)
