"""Callers of a day: open arrivals, pools of connections, look-ups and repeats."""

import gevent
import msgspec

from standins.edge_cell import HOST

from .exchange import Connection, exchange
from .forms import PIPELINED, draw_request_form, encode_request
from .records import ANSWERED, CLOSED, NOT_CONNECTED, DayAttempt, now_s
from .site import CALLER_ORGANISATIONS, LASTING_PREFIXES, key_headers

# Numbers of callers that keep connections, and that open one for each request.
N_KEEPING = 8
N_FRESH = 5
# Connections that a keeping caller holds before it only reuses them.
N_HELD = 10
# Every third caller keeps a look-up this many times as long as it is told.
LATE_FACTOR = 3.0
LATE_EVERY = 3
# Idle time after which a connection is not used again: four fifths of the limit.
REUSE_IDLE_S = 12.0
# Number of VMs that a caller asks in one look-up.
N_LOOKUPS = 3
# Share of the requests that go to any route of their kind.
OTHER_ROUTE_SHARE = 0.15
# Statuses that say that a request did not run, and those after which none is repeated.
NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])
FINAL_STATUSES = frozenset([200, 400, 401, 404, 413, 431])
RETRY_WAIT_SHARE = 1.0 / 3.0


class DayCaller:
    """A caller with its own look-ups and, if it ``keeps`` them, connections."""

    __slots__ = (
        "cell",
        "journal",
        "rng",
        "name",
        "organisation",
        "keeps",
        "factor",
        "_vms",
        "_until_s",
        "_idle",
        "_n_sent",
    )

    def __init__(self, cell, journal, rng, i):
        self.cell = cell
        self.journal = journal
        self.rng = rng
        self.name = f"c{i}"
        self.organisation = CALLER_ORGANISATIONS[i % len(CALLER_ORGANISATIONS)]
        self.keeps = False
        self.factor = LATE_FACTOR if i % LATE_EVERY == 0 else 1.0
        self._vms = []
        self._until_s = 0.0
        self._idle = []
        self._n_sent = 0

    def request(self, kind, prefix):
        """Send one request, and once more if the rules allow it."""
        until_s = now_s() + kind.deadline_s
        attempt, lines = self._attempt(kind, prefix, until_s, self._take())
        if attempt is None or not self._may_repeat(attempt):
            return
        left_s = until_s - now_s()
        wait_s = float(lines.get("retry-after", 0.0))
        if left_s <= 0.0 or wait_s > left_s:
            return
        gevent.sleep(min(wait_s, left_s * RETRY_WAIT_SHARE))
        self._attempt(kind, prefix, until_s, self._connect(attempt.vm))

    def _attempt(self, kind, prefix, until_s, connection):
        if connection is None:
            return None, {}
        form = draw_request_form(self.rng, kind.is_order)
        n_attempts = 2 if form == PIPELINED else 1
        attempts = [
            self._add_attempt(kind, prefix, until_s, form) for _ in range(n_attempts)
        ]
        parts = [
            part
            for attempt in attempts
            for part in self._encode(attempt, prefix, until_s)
        ]
        if form == PIPELINED:
            parts = [b"".join(parts)]
        lines = exchange(connection, attempts, parts, until_s)
        for attempt in attempts:
            attempt.late_timeout_s = self.cell.routes[prefix][2]
        if connection.unread:
            self.journal.findings.append(f"bytes behind {attempts[-1].attempt_id}")
        self._give_back(connection, attempts[-1], lines)
        return attempts[0], lines

    def _add_attempt(self, kind, prefix, until_s, form):
        self._n_sent += 1
        timeout_s = min(until_s - now_s(), self.cell.routes[prefix][2])
        attempt = DayAttempt(f"{self.name}-{self._n_sent}.", kind, timeout_s)
        attempt.form = form
        attempt.has_lasting_route = prefix in LASTING_PREFIXES
        self.journal.attempts.append(attempt)
        return attempt

    def _encode(self, attempt, prefix, until_s):
        kind, attempt_id = attempt.kind, attempt.attempt_id
        key_lines = "".join(
            f"{name}: {value}\r\n"
            for name, value in key_headers(self.organisation).items()
        )
        head = (
            f"{'POST' if kind.is_order else 'GET'} {prefix}{attempt_id} HTTP/1.1\r\n"
            f"Host: {HOST}\r\nAttempt-Id: {attempt_id}\r\n{key_lines}"
            f"Deadline-Ms: {int((until_s - now_s()) * 1000)}\r\n"
        )
        return encode_request(attempt.form, head.encode(), kind.is_order, self.rng)

    def _may_repeat(self, attempt):
        if attempt.end == ANSWERED and attempt.status in FINAL_STATUSES:
            return False
        if not attempt.kind.is_order or attempt.end == NOT_CONNECTED:
            return True
        if attempt.end == CLOSED:
            return attempt.attempt_id not in self.journal.arrivals
        return attempt.status in NOT_RUN_STATUSES

    # Connections and look-ups.

    def _take(self):
        while self.keeps and len(self._idle) >= self.rng.randint(1, N_HELD):
            connection = self._idle.pop(self.rng.randrange(len(self._idle)))
            if connection.reuse_until_s > now_s():
                return connection
            connection.close()
        return self._connect("")

    def _connect(self, failed):
        vms = [vm for vm in self._look_up() if vm.name != failed]
        return Connection(self.rng.choice(vms)) if vms else None

    def _give_back(self, connection, attempt, lines):
        may_keep = attempt.end == ANSWERED and lines.get("connection") != "close"
        if not self.keeps or not may_keep:
            connection.close()
            return
        told = lines.get("keep-alive", "").partition("timeout=")[2].partition(",")[0]
        idle_s = min(REUSE_IDLE_S, float(told) if told else REUSE_IDLE_S)
        connection.reuse_until_s = now_s() + idle_s
        self._idle.append(connection)

    def _look_up(self):
        if now_s() < self._until_s:
            return self._vms
        asked = self.rng.sample(self.cell.vms, min(N_LOOKUPS, len(self.cell.vms)))
        for vm in asked:
            path = f"/resolve?Name={HOST}&Region=r&Zone={vm.domain}"
            response = self.cell.call(vm, "lookup", "GET", path, timeout_s=1.0)
            if response.status != 200:
                continue
            body = msgspec.json.decode(response.body)
            by_front = {f"{x.ip}:{x.ports['front']}": x for x in self.cell.vms}
            self._vms = [by_front[a] for a in body["Addresses"] if a in by_front]
            ttl_s = float(body["Ttl"].removesuffix("ms").removesuffix("s"))
            ttl_s /= 1000.0 if body["Ttl"].endswith("ms") else 1.0
            self._until_s = now_s() + ttl_s * self.factor
            break
        return self._vms


def send_arrivals(kind, callers, cell, rng):
    """Send requests of a kind at random moments until the greenlet is killed."""
    while True:
        gevent.sleep(rng.expovariate(kind.rate_per_s))
        prefix = kind.prefix
        if rng.random() < OTHER_ROUTE_SHARE:
            prefix = rng.choice(cell.prefixes(kind))
        gevent.spawn(rng.choice(callers).request, kind, prefix)


def make_callers(cell, journal, rng, n_keeping=N_KEEPING, n_fresh=N_FRESH):
    """Return the callers of a day; the first ``n_keeping`` keep connections."""
    callers = [DayCaller(cell, journal, rng, i) for i in range(n_keeping + n_fresh)]
    for i, caller in enumerate(callers):
        caller.keeps = i < n_keeping
    return callers
