"""Waits until this VM's addresses are free before the process starts to serve.

An earlier process of the VM may still hold them for a moment, and so may an outgoing
connection whose port the system has chosen.
"""

import errno
import socket

# Interval at which an address that is in use is tried again.
RETRY_INTERVAL_MS = 100.0
# Interval of the log lines about an address that is in use.
LOG_INTERVAL_MS = 1000.0
# Errors that end by themselves: another socket has the address, or the VM's network is
# not up yet.
TEMPORARY_ERRORS = frozenset([errno.EADDRINUSE, errno.EADDRNOTAVAIL])


def wait_until_free(addresses, kind, clock, log, wait):
    """Wait until each address can be bound; return whether all can be.

    Parameters
    ----------
    addresses : sequence of str
        IP addresses and ports.
    kind : int
        ``socket.SOCK_STREAM`` or ``socket.SOCK_DGRAM``.
    clock : Clock
        The process's clock.
    log : EdgeLog
        Logs the addresses that are in use.
    wait : callable
        Takes a time in milliseconds, waits for it and returns whether to give up.

    Raises OSError if an address can never be bound, such as one of another VM's.
    """
    logged_at_ms = float("-inf")
    for address in addresses:
        while (error := try_bind(address, kind)) is not None:
            if clock.now_ms() - logged_at_ms >= LOG_INTERVAL_MS:
                logged_at_ms = clock.now_ms()
                detail = f"{error.strerror}; trying again"
                log.warning("process: address in use", address=address, error=detail)
            if wait(RETRY_INTERVAL_MS):
                return False
    return True


def try_bind(address, kind):
    """Bind an address and free it again; return the error if that is temporary."""
    host, _, port = address.rpartition(":")
    with socket.socket(socket.AF_INET, kind) as sock:
        if kind == socket.SOCK_STREAM:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, int(port)))
            if kind == socket.SOCK_STREAM:
                sock.listen()
        except OSError as error:
            if error.errno not in TEMPORARY_ERRORS:
                raise
            return error
    return None
