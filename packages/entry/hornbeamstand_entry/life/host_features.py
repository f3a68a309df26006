"""Finds what the process uses of its host and can do without."""

import os
import socket
import time
from contextlib import closing

from ..process_use import DESCRIPTORS_PATH, STATUS_PATH
from ..tasks.sockets import has_option

# Options of a TCP socket by their names; a connection without one of them is slower, or
# notices later that the other side is gone.
TCP_OPTIONS = (
    "TCP_NODELAY",
    "TCP_USER_TIMEOUT",
    "TCP_KEEPIDLE",
    "TCP_KEEPINTVL",
    "TCP_KEEPCNT",
    "TCP_INFO",
)
# Files of the process's own use of resources.
PATHS = (STATUS_PATH, DESCRIPTORS_PATH)
BOOT_CLOCK = "CLOCK_BOOTTIME"


def find_missing():
    """Return the names of the features that the host lacks."""
    missing = [name for name in TCP_OPTIONS if not has_tcp_option(name)]
    missing += [path for path in PATHS if not os.path.exists(path)]
    if not has_boot_clock():
        missing.append(BOOT_CLOCK)
    return missing


def has_tcp_option(name):
    """Return whether the sockets of the host have an option."""
    try:
        with closing(socket.socket(socket.AF_INET, socket.SOCK_STREAM)) as sock:
            return has_option(sock, name)
    except OSError:
        # No descriptor is left: what the host has can't be told.
        return True


def has_boot_clock():
    """Return whether the host has a clock that counts while it is suspended."""
    try:
        time.clock_gettime(getattr(time, BOOT_CLOCK))
    except (AttributeError, OSError):
        return False
    return True
