"""Opens the sockets of connections to targets, peers and the store."""

import errno
import fcntl
import socket
import sys
import termios
from math import inf

from gevent import socket as gevent_socket

# Number of unanswered TCP keepalive probes after which a connection counts as broken.
KEEPALIVE_PROBES = 2
# Errors for which the process or the system has no descriptor left.
NO_DESCRIPTOR_ERRORS = frozenset([errno.EMFILE, errno.ENFILE])
MS_PER_S = 1000.0
# Errors for which the system, or a filter of its calls, does not allow an option.
NO_OPTION_ERRORS = frozenset(
    [errno.ENOPROTOOPT, errno.EOPNOTSUPP, errno.ENOSYS, errno.EPERM, errno.EACCES]
)
# Size of the system's count of the bytes in a queue.
COUNT_BYTES = 4
# Offset and end of tcpi_last_data_recv, in milliseconds, in the system's TCP_INFO.
LAST_DATA_OFFSET = 52
LAST_DATA_END = LAST_DATA_OFFSET + 4


def parse_address(address):
    """Return the IPv4 address and the port of a text.

    Raises OSError or ValueError if it has none. Names are not looked up: that would
    take a system thread.
    """
    host, _, port = address.rpartition(":")
    socket.inet_pton(socket.AF_INET, host)
    return host, int(port)


def open_socket(address, rules, left_ms=inf):
    """Return a socket that is connected to an IPv4 address and port.

    ``rules`` are the ConnectionRules, and ``left_ms`` is the time left until the
    request that needs the connection is no longer sent. Raises OSError or
    OverflowError if it can't be connected in time.
    """
    sock = gevent_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        # A later start of this VM may listen at the port that the system chooses.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, rules.receive_buffer_bytes)
        sock.settimeout(rules.connect_limit_ms(left_ms) / MS_PER_S)
        connect_in_time(sock, address)
        sock.settimeout(None)
        set_options(sock, rules)
    except BaseException:
        sock.close()
        raise
    return sock


def connect_in_time(sock, address):
    """Connect a socket; raises OSError after its timeout.

    A connection that is open by then is kept: a process that did not run for a while
    may handle its timers before its sockets.
    """
    try:
        sock.connect(address)
    except TimeoutError:
        # Raises OSError if the connection is not open.
        sock.getpeername()


def peek(sock):
    """Return a byte that waits to be read at a socket, or none at its end.

    Raises BlockingIOError if neither is there, and OSError if the connection failed.
    The system then tells no other call of that failure.
    """
    return sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)


def has_bytes(sock):
    """Return whether bytes have arrived from a caller and were not read yet.

    Connections that this VM opened have a Stream, which keeps what this drops.
    """
    try:
        return bool(peek(sock))
    except OSError:
        return False


def count_unread_bytes(sock):
    """Return the number of bytes that have arrived at a socket and were not read yet.

    It is infinity if the system can't tell.
    """
    try:
        return read_queue_bytes(sock, termios.FIONREAD)
    except (OSError, ValueError):
        return inf


def read_queue_bytes(sock, request):
    """Return the length of a queue of a socket, by a request of ioctl.

    Raises OSError or ValueError if the system can't tell.
    """
    raw = fcntl.ioctl(sock.fileno(), request, bytes(COUNT_BYTES))
    return int.from_bytes(raw, sys.byteorder)


def set_options(sock, rules):
    """Set the TCP options that send small requests at once and detect a dead server.

    The connection does without those that the host lacks.
    """
    set_tcp_option(sock, "TCP_NODELAY", 1)
    if rules.tcp_user_timeout_ms:
        set_tcp_option(sock, "TCP_USER_TIMEOUT", rules.tcp_user_timeout_ms)
    if rules.keepalive_s:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        set_tcp_option(sock, "TCP_KEEPIDLE", rules.keepalive_s)
        set_tcp_option(sock, "TCP_KEEPINTVL", 1)
        set_tcp_option(sock, "TCP_KEEPCNT", KEEPALIVE_PROBES)


def set_tcp_option(sock, name, value):
    """Set an option of a TCP socket, unless the host lacks it."""
    try:
        sock.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)
    except AttributeError:
        return
    except OSError as error:
        if error.errno not in NO_OPTION_ERRORS:
            raise


def has_option(sock, name):
    """Return whether the host has an option of TCP sockets."""
    try:
        sock.getsockopt(socket.IPPROTO_TCP, getattr(socket, name))
    except AttributeError:
        return False
    except OSError as error:
        return error.errno not in NO_OPTION_ERRORS
    return True


def unread_ms(sock):
    """Return the time since the last bytes arrived at a connected socket.

    The system notes it also while the connection waits to be accepted, or while this
    process does not run. It is 0 if the system can't tell.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_END)
    except (AttributeError, OSError):
        return 0.0
    return float(int.from_bytes(info[LAST_DATA_OFFSET:], sys.byteorder))
