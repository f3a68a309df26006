"""What the process uses of the system's resources, and its limits.

A process that reaches one of them fails at whatever it needs next: memory, a thread, a
connection.
"""

import os
import resource
from contextlib import suppress
from math import inf

# Limit of the resource that a gauge shows, and the name under which it is shown.
LIMITS = {
    "address_space_limit_bytes": resource.RLIMIT_AS,
    "data_limit_bytes": resource.RLIMIT_DATA,
    "descriptors_limit": resource.RLIMIT_NOFILE,
    "threads_limit": resource.RLIMIT_NPROC,
}
# Line of the status file, and the name of its gauge.
STATUS_GAUGES = {
    b"VmSize": "address_space_bytes",
    b"VmRSS": "resident_bytes",
    b"VmData": "data_bytes",
    b"Threads": "threads",
}
STATUS_PATH = "/proc/self/status"
DESCRIPTORS_PATH = "/proc/self/fd"
BYTES_PER_KB = 1024


def read_limits():
    """Return the limits in force by name; infinity for none."""
    limits = {}
    for name, kind in LIMITS.items():
        soft, _ = resource.getrlimit(kind)
        limits[name] = inf if soft == resource.RLIM_INFINITY else soft
    return limits


def describe_limits():
    """Return the limits in force by name, for the log."""
    return {
        name: "unlimited" if limit == inf else limit
        for name, limit in read_limits().items()
    }


def read_process_gauges():
    """Return the use of each resource and its limit by name.

    What can't be read is left out: a process without a free descriptor can't read its
    use, but its limits.
    """
    gauges = read_limits()
    with suppress(OSError):
        gauges |= read_status()
        # Listing the directory opens a descriptor of its own.
        gauges["descriptors"] = len(os.listdir(DESCRIPTORS_PATH)) - 1
    return gauges


def read_status():
    """Return the gauges of the status file by name."""
    gauges = {}
    with open(STATUS_PATH, "rb") as file:
        for line in file:
            label, _, value = line.partition(b":")
            name = STATUS_GAUGES.get(label)
            if name is not None:
                gauges[name] = read_status_value(value)
    return gauges


def read_status_value(text):
    """Return the number of a line of the status file, in bytes if it is in kB."""
    number, *unit = text.split()
    return int(number) * (BYTES_PER_KB if unit else 1)
