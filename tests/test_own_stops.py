"""A planned stop of the product's own program answers each request that it has read."""

import signal

import gevent
from gevent import socket

from soak.day.exchange import receive

from .processes import control, start_cluster

N_CALLERS = 24
# Number of targets, and the time that each takes for a request.
N_TARGETS = 12
WORK_MS = 30
STOP_DEADLINE_MS = 6000
GRACE_S = 10.0
QUERY = (
    b"GET /services/shop/x HTTP/1.1\r\nHost: h\r\nHornbeam-Deadline-Ms: 1400\r\n\r\n"
)


class KeptCaller:
    """Sends one query after the other on its connection until that is closed.

    ``n_answered`` counts the answers and ``n_refused`` those with another status than
    200. ``cut_after_s`` has the time from the last byte of a query to the end of its
    connection without an answer, or None. ``was_told`` is whether the last answer said
    that the connection ends.
    """

    __slots__ = ("n_answered", "n_refused", "cut_after_s", "was_told")

    def __init__(self):
        self.n_answered = 0
        self.n_refused = 0
        self.cut_after_s = None
        self.was_told = False

    def run(self, address, pause_s):
        host, _, port = address.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=4.0) as sock:
            while not self.was_told and self.cut_after_s is None:
                self._query(sock)
                gevent.sleep(pause_s)

    def _query(self, sock):
        now_s = gevent.get_hub().loop.now
        sent_s = now_s()
        try:
            sock.sendall(QUERY)
            head = read_answer(sock)
        except OSError:
            self.cut_after_s = now_s() - sent_s
            return
        self.n_answered += 1
        self.n_refused += not head.startswith(b"HTTP/1.1 200")
        self.was_told = b"connection: close" in head.lower()


def read_answer(sock):
    """Read an answer; return its head. Raises OSError if it breaks off."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += receive(sock)
    head, _, body = data.partition(b"\r\n\r\n")
    length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
    while len(body) < int(length or 0):
        body += receive(sock)
    return head


def test_callers_that_keep_their_connections_are_all_answered_in_a_stop(stack):
    """Guards against queries that the end of the process cuts on kept connections."""
    settings = {"stop_deadline_ms": STOP_DEADLINE_MS}
    cluster, targets = start_cluster(stack, 3, N_TARGETS, settings)
    for target in targets:
        control(target, service_ms=WORK_MS)
    for vm in list(cluster.vms)[:2]:
        callers = [KeptCaller() for _ in range(N_CALLERS)]
        jobs = [
            gevent.spawn(caller.run, vm.front_address, 0.002 * i)
            for i, caller in enumerate(callers)
        ]
        gevent.sleep(0.5)
        vm.signal(signal.SIGTERM)
        gevent.joinall(jobs, timeout=GRACE_S)
        with gevent.Timeout(GRACE_S):
            while vm.process.poll() is None:
                gevent.sleep(0.02)
        cut = [x.cut_after_s for x in callers if x.cut_after_s is not None]
        seen = [(x.n_answered, x.n_refused, x.was_told) for x in callers]
        assert vm.process.returncode == 0
        assert cut == [], (cut, seen)
        assert all(x.was_told for x in callers), seen
        assert not any(x.n_refused for x in callers), seen
