"""Callers that look up, keep connections, and go on using them while they work."""

import gevent
from geventhttpclient import HTTPClient

from standins.edge_cell import HOST

from .records import Attempt, VersionSeen

PAUSE_S = 0.06
KEEP_S = 1.0
DEADLINE_MS = 2000
CONNECT_S = 1.0
# A caller waits a little longer than the deadline that it sends.
WAIT_S = 3.0
ORDER_EVERY = 3
PROBE_PAUSE_S = 0.15


class Caller:
    """One caller with one open connection to each VM that it knows."""

    __slots__ = ("cell", "journal", "now_s", "name", "rng", "n_sent", "_open", "_kept")

    def __init__(self, cell, journal, now_s, name, rng):
        self.cell = cell
        self.journal = journal
        self.now_s = now_s
        self.name = name
        self.rng = rng
        self.n_sent = 0
        self._open = {}
        self._kept = (float("-inf"), [])

    def run(self):
        """Send requests until the greenlet is ended."""
        while True:
            gevent.sleep(PAUSE_S * (0.5 + self.rng.random()))
            vm = self._choose()
            if vm is not None:
                self._send(vm)

    def _choose(self):
        kept_s, vms = self._kept
        if self.now_s() - kept_s > KEEP_S:
            asked = self.rng.choice(self.cell.vms)
            named = self.cell.look_up(asked, asked.domain)
            by_front = {f"{vm.ip}:{vm.ports['front']}": vm for vm in self.cell.vms}
            found = [by_front[address] for address in named if address in by_front]
            if found:
                vms = found
                self._kept = (self.now_s(), found)
        return self.rng.choice(vms) if vms else None

    def _send(self, vm):
        self.n_sent += 1
        attempt_id = f"{self.name}-{self.n_sent}"
        is_order = self.n_sent % ORDER_EVERY == 0
        path = f"/{'orders' if is_order else 'tools'}/{attempt_id}"
        method = "POST" if is_order else "GET"
        sent_s = self.now_s()
        status, seal, body = self._exchange(vm, method, path, attempt_id)
        attempt = Attempt(
            attempt_id,
            vm.name,
            path,
            is_order,
            sent_s,
            self.now_s(),
            status,
            seal,
            body,
        )
        self.journal.attempts.append(attempt)

    def _exchange(self, vm, method, path, attempt_id):
        headers = {
            "Host": HOST,
            "Attempt-Id": attempt_id,
            "Deadline-Ms": str(DEADLINE_MS),
        }
        client = self._open.get(vm.name)
        if client is None:
            client = HTTPClient(
                vm.ip,
                vm.ports["front"],
                connection_timeout=CONNECT_S,
                network_timeout=WAIT_S,
                concurrency=1,
            )
            self._open[vm.name] = client
        try:
            answer = client.request(method, path, headers=headers)
            body = bytes(answer.read())
            return answer.status_code, answer.get("server-seal"), body
        except Exception:
            # Sockets, the HTTP parser and the pool each raise their own types.
            client.close()
            self._open.pop(vm.name, None)
            return 0, None, b""


def watch_versions(cell, journal, now_s):
    """Ask every VM again and again which versions it serves."""
    n_asked = 0
    while True:
        for vm in cell.vms:
            for version in (cell.version, cell.version - 1):
                n_asked += 1
                if version < 1 or vm.name in cell.busy_vms:
                    continue
                start, sent_s = cell.starts[vm.name], now_s()
                answer = cell.call(
                    vm,
                    "front",
                    "GET",
                    f"/v{version}/x",
                    {
                        "Host": HOST,
                        "Attempt-Id": f"version-{n_asked}",
                        "Deadline-Ms": "1000",
                    },
                )
                seen = VersionSeen(
                    vm.name, start, version, sent_s, now_s(), answer.status
                )
                journal.versions.append(seen)
        gevent.sleep(PROBE_PAUSE_S)
