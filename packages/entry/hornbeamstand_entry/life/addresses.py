"""Opens the sockets of this VM's addresses, at once or when they become free.

An earlier process of the VM may still hold an address for a moment, another program for
good, and an outgoing connection whose port the system has chosen for as long as it
lasts.
"""

import errno
from contextlib import ExitStack

from gevent import socket
from hornbeamstand_core.errors import HornbeamError

# Maximum number of connections that wait to be accepted, which the system may lower. It
# drops what comes beyond it, and the caller repeats that a second later, unseen here.
LISTEN_QUEUE_MAX = 4096
# Interval at which an address that is in use is tried again.
RETRY_INTERVAL_MS = 100.0
# Interval of the log lines about an address that is in use.
LOG_INTERVAL_MS = 1000.0
# Errors that end by themselves: another socket has the address, the VM's network is not
# up yet, or the system lacks descriptors or memory.
TEMPORARY_ERRORS = frozenset(
    [
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    ]
)


class AddressError(HornbeamError):
    """An address can't be bound; ``is_temporary`` says that it may be later."""

    is_temporary = False


def open_listener(address):
    """Return a listening socket for an address; raises AddressError."""
    return open_socket(address, socket.SOCK_STREAM)


def open_socket(address, kind):
    """Return a bound socket, which listens if it is a stream; raises AddressError.

    Parameters
    ----------
    address : str
        IP address and port.
    kind : int
        ``socket.SOCK_STREAM`` or ``socket.SOCK_DGRAM``.
    """
    host, _, port = address.rpartition(":")
    with ExitStack() as opened:
        try:
            sock = socket.socket(socket.AF_INET, kind)
            opened.callback(sock.close)
            if kind == socket.SOCK_STREAM:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((host, int(port)))
            if kind == socket.SOCK_STREAM:
                sock.listen(LISTEN_QUEUE_MAX)
        except (OSError, OverflowError, TypeError, ValueError) as error:
            raise make_address_error(address, error) from error
        opened.pop_all()
    return sock


def make_address_error(address, error):
    """Return the AddressError for an error of a socket, or of the address itself."""
    detail = getattr(error, "strerror", None) or str(error)
    made = AddressError("address.bind", address, detail)
    made.is_temporary = getattr(error, "errno", None) in TEMPORARY_ERRORS
    return made


def open_next(address, kind, opened):
    """Open a socket as ``open_socket`` does; the exit stack ``opened`` closes it."""
    sock = open_socket(address, kind)
    opened.callback(sock.close)
    return sock


def wait_for_sockets(open_sockets, clock, log, wait):
    """Return the sockets of the process as soon as all their addresses are free.

    Parameters
    ----------
    open_sockets : callable
        Returns the sockets, or raises AddressError and leaves none of them open.
    clock : Clock
        The process's clock.
    log : object
        Logs the addresses that are in use.
    wait : callable
        Takes a time in milliseconds, waits for it and returns whether to give up. The
        result is then None.

    Raises AddressError if an address can never be bound.
    """
    log_at_ms = float("-inf")
    while True:
        try:
            return open_sockets()
        except AddressError as error:
            if not error.is_temporary:
                raise
            if clock.now_ms() >= log_at_ms:
                log_at_ms = clock.now_ms() + LOG_INTERVAL_MS
                log_in_use(log, error, "trying again")
        if wait(RETRY_INTERVAL_MS):
            return None


def log_in_use(log, error, consequence):
    """Log that an address can't be had, and what the process does about it."""
    detail = f"{error.detail}; {consequence}"
    log.warning("process: address in use", address=error.peer, error=detail)
