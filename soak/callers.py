"""Callers that cache lookups and keep each connection while it works."""

import gevent
from geventhttpclient import HTTPClient

from standins.edge_cell import HOST

from .records import Attempt, VersionProbe

# Mean pause of a caller between a response and its next request.
REQUEST_INTERVAL_S = 0.06
# Maximum age of a lookup response that a caller uses.
LOOKUP_MAX_AGE_S = 1.0
# Deadline that a caller sends with each request.
DEADLINE_MS = 2000
# Timeout for opening a connection to a VM.
CONNECT_TIMEOUT_S = 1.0
# Timeout for a response: a little longer than the deadline that the caller sends.
RESPONSE_TIMEOUT_S = 3.0
# One request out of this many is an order, which may run only once.
N_REQUESTS_PER_ORDER = 3
# Pause between two rounds of version probes over all VMs.
VERSION_PROBE_INTERVAL_S = 0.15


class Caller:
    """One caller, with at most one open connection to each VM.

    ``journal`` receives an Attempt for each request. ``now_s`` is a callable that
    returns the time on the clock of the run, and ``rng`` draws pauses and VMs.
    ``_lookup`` is (time, VMs) of the last lookup that named a VM.
    """

    __slots__ = (
        "cell",
        "journal",
        "now_s",
        "name",
        "rng",
        "n_sent",
        "_clients",
        "_lookup",
    )

    def __init__(self, cell, journal, now_s, name, rng):
        self.cell = cell
        self.journal = journal
        self.now_s = now_s
        self.name = name
        self.rng = rng
        self.n_sent = 0
        self._clients = {}
        self._lookup = (float("-inf"), [])

    def run(self):
        """Send requests until the greenlet is killed."""
        while True:
            gevent.sleep(REQUEST_INTERVAL_S * (0.5 + self.rng.random()))
            vm = self._choose_vm()
            if vm is not None:
                self._send(vm)

    def _choose_vm(self):
        looked_up_s, vms = self._lookup
        if self.now_s() - looked_up_s > LOOKUP_MAX_AGE_S:
            queried = self.rng.choice(self.cell.vms)
            addresses = self.cell.look_up(queried, queried.domain)
            by_front = {f"{vm.ip}:{vm.ports['front']}": vm for vm in self.cell.vms}
            found_vms = [
                by_front[address] for address in addresses if address in by_front
            ]
            if found_vms:
                vms = found_vms
                self._lookup = (self.now_s(), found_vms)
        return self.rng.choice(vms) if vms else None

    def _send(self, vm):
        self.n_sent += 1
        attempt_id = f"{self.name}-{self.n_sent}"
        is_order = self.n_sent % N_REQUESTS_PER_ORDER == 0
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
        client = self._clients.get(vm.name)
        if client is None:
            client = HTTPClient(
                vm.ip,
                vm.ports["front"],
                connection_timeout=CONNECT_TIMEOUT_S,
                network_timeout=RESPONSE_TIMEOUT_S,
                concurrency=1,
            )
            self._clients[vm.name] = client
        try:
            response = client.request(method, path, headers=headers)
            body = bytes(response.read())
            return response.status_code, response.get("server-seal"), body
        except Exception:
            # Sockets, the HTTP parser and the pool raise unrelated types.
            client.close()
            self._clients.pop(vm.name, None)
            return 0, None, b""


def probe_versions(cell, journal, now_s):
    """Probe every VM repeatedly for the last two configuration versions.

    Each version has a route of its own, which a VM serves while that version is in
    force.
    """
    n_probes = 0
    while True:
        for vm in cell.vms:
            for version in (cell.version, cell.version - 1):
                n_probes += 1
                if version < 1 or vm.name in cell.claimed_vms:
                    continue
                n_starts, sent_s = cell.start_counts[vm.name], now_s()
                response = cell.call(
                    vm,
                    "front",
                    "GET",
                    f"/v{version}/x",
                    {
                        "Host": HOST,
                        "Attempt-Id": f"version-{n_probes}",
                        "Deadline-Ms": "1000",
                    },
                )
                probe = VersionProbe(
                    vm.name, n_starts, version, sent_s, now_s(), response.status
                )
                journal.version_probes.append(probe)
        gevent.sleep(VERSION_PROBE_INTERVAL_S)
