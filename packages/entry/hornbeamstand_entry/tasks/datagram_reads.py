"""Reads from a UDP socket that go on after an error."""

import gevent

from .failures import report_failure

# Delay before the next read after one that failed: the process may lack memory for it.
RETRY_DELAY_MS = 100.0
MS_PER_S = 1000.0


def read_datagram(sock, n_bytes_max, name):
    """Return the next datagram of a socket and the address of its sender.

    ``name`` is that of the reading part, in the reports of failed reads.
    """
    while True:
        try:
            return sock.recvfrom(n_bytes_max)
        except ConnectionError:
            # The error concerns an earlier datagram that was refused; the socket can
            # still be used.
            continue
        except (OSError, MemoryError) as error:
            report_failure(name, error)
            gevent.sleep(RETRY_DELAY_MS / MS_PER_S)
