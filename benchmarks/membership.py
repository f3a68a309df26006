"""Measures what the membership of edge VMs costs each of them, on a virtual clock.

Run with ``python -m benchmarks.membership``. The controllers of all VMs run in this
process, with the datagrams that they exchange. One VM of each size is killed at the
end. Processor times leave out sockets and the event loop.
"""

import argparse
import heapq
import time
from itertools import count
from math import inf

from hornbeamstand_core.controllers.edge import EdgeNode
from hornbeamstand_core.discovery import ConfigEntry, StoreSnapshot
from hornbeamstand_core.edge_messages import StateChange
from hornbeamstand_core.edge_node_messages import (
    Contacts,
    EdgeTick,
    RetryLimits,
    SendContacts,
    SendEdgeHeartbeat,
)
from hornbeamstand_core.identity import EdgeIdentity
from hornbeamstand_core.routes import (
    CallerLimits,
    HostRoute,
    RoutingConfig,
    ServiceRules,
    WeightedService,
)
from hornbeamstand_entry.edge.heartbeats import decode_heartbeat, encode_heartbeat

N_DOMAINS = 5
# Number of larger VMs in a failure domain, and the size classes of VMs.
N_LARGE = 3
LARGE_CAPACITY = 0
SMALL_CAPACITY = -2
N_SEEDS = 3
SERVICE_NAMES = ("lookup", "orders", "archive")
# Time that a datagram takes.
HOP_MS = 0.5
TICK_INTERVAL_MS = 100.0
# Time over which the starts are spread, and from which VMs are measured.
START_SPREAD_MS = 1000.0
SETTLED_MS = 16_000.0
# Bytes of the headers of a datagram.
HEADER_BYTES = 28
MS_PER_S = 1000.0


class Load:
    """What one VM received and sent, and the processor time of its controllers."""

    __slots__ = ("n_received", "n_sent", "n_bytes", "processor_s")

    def __init__(self):
        self.n_received = 0
        self.n_sent = 0
        self.n_bytes = 0
        self.processor_s = 0.0


class Fleet:
    """Edge controllers that exchange heartbeats on a virtual clock."""

    def __init__(self, n_vms):
        ips = [f"10.0.{i // 250}.{i % 250 + 1}" for i in range(n_vms)]
        self.seed_ips = ips[:N_SEEDS]
        self.nodes = {}
        self.loads = {ip: Load() for ip in ips}
        # Maps the address of a VM to those that it noticed as silent, and when.
        self.silent_at_ms = {ip: {} for ip in ips}
        self._events = []
        self._order = count()
        for i, ip in enumerate(ips):
            is_large = i < N_LARGE * N_DOMAINS
            self._add(ip, i, LARGE_CAPACITY if is_large else SMALL_CAPACITY, n_vms)

    def _add(self, ip, index, capacity, n_vms):
        started_at_ms = START_SPREAD_MS * index / n_vms
        domain = f"domain-{index % N_DOMAINS}"
        identity = EdgeIdentity(ip, 1, ip, domain, started_at_ms, capacity)
        limits = RetryLimits(0.2, 50.0, 10_000.0, N_DOMAINS)
        node = EdgeNode(identity, limits, 2, self.seed_ips)
        node.handle(
            StoreSnapshot([ConfigEntry("op/config", make_config())], 1), started_at_ms
        )
        self.nodes[ip] = node
        self._schedule(started_at_ms, ip, None)

    def _schedule(self, at_ms, ip, message):
        heapq.heappush(self._events, (at_ms, next(self._order), ip, message))

    def run_until(self, end_ms):
        """Play all events up to a time."""
        while self._events and self._events[0][0] <= end_ms:
            at_ms, _, ip, message = heapq.heappop(self._events)
            if ip in self.nodes:
                self._play(at_ms, ip, message)

    def _play(self, at_ms, ip, message):
        load = self.loads[ip]
        began_s = time.process_time()
        if message is None:
            out = self.nodes[ip].handle(EdgeTick(), at_ms)
            self._schedule(at_ms + TICK_INTERVAL_MS, ip, None)
        else:
            out = self.nodes[ip].handle(decode(*message), at_ms)
            load.n_received += 1
        last = None
        for item in out:
            if type(item) is SendEdgeHeartbeat and item.heartbeat is not last:
                last, raw = item.heartbeat, encode_heartbeat(item.heartbeat)
            if type(item) is SendEdgeHeartbeat:
                self._send(at_ms, ip, item.ip, raw, len(raw))
            elif type(item) is SendContacts:
                self._send(
                    at_ms, ip, item.ip, item.contacts, 4 * len(item.contacts.ips)
                )
            elif type(item) is StateChange and item.event == "silent":
                self.silent_at_ms[ip][item.subject] = at_ms
        load.processor_s += time.process_time() - began_s

    def _send(self, at_ms, sender_ip, ip, content, n_bytes):
        load = self.loads[sender_ip]
        load.n_sent += 1
        load.n_bytes += n_bytes + HEADER_BYTES
        self._schedule(at_ms + HOP_MS, ip, (content, sender_ip))


def decode(content, sender_ip):
    """Return the message of a datagram."""
    if type(content) is Contacts:
        return content
    return decode_heartbeat(content, sender_ip)


def make_config():
    """Return a configuration with a route to each service."""
    routes = {
        f"/{name}/": HostRoute(
            name, f"/{name}/", [WeightedService(name)], True, 3000.0, 800.0, 0, 2
        )
        for name in SERVICE_NAMES
    }
    services = {name: ServiceRules(name) for name in SERVICE_NAMES}
    return RoutingConfig(1, {"h": routes}, services, CallerLimits())


def describe_loads(fleet, length_s):
    """Return a line for each role with the means of its VMs."""
    lines = []
    for role, is_preferred in (("preferred", True), ("other", False)):
        loads = [
            fleet.loads[ip]
            for ip, node in fleet.nodes.items()
            if node.peers.is_preferred == is_preferred
        ]
        if not loads:
            continue
        n = len(loads) * length_s
        lines.append(
            f"  {role} ({len(loads)}): "
            f"heard {sum(x.n_received for x in loads) / n:.1f}/s, "
            f"sent {sum(x.n_sent for x in loads) / n:.1f}/s, "
            f"{sum(x.n_bytes for x in loads) / n / 1000:.2f} KB/s, "
            f"{100 * sum(x.processor_s for x in loads) / n:.2f}% of a core"
        )
    return lines


def time_to_notice(fleet, ip, from_ms):
    """Kill a VM; return the time until all of its domain know, and their number."""
    domain = fleet.nodes[ip].me.failure_domain
    knew = [other for other, node in fleet.nodes.items() if ip in node.peers.peers]
    del fleet.nodes[ip]
    fleet.run_until(from_ms + 20_000.0)
    local = [other for other in knew if fleet.nodes[other].me.failure_domain == domain]
    latest_ms = max(fleet.silent_at_ms[other].get(ip, inf) for other in local)
    return latest_ms - from_ms, len(local)


def measure(n_vms, length_s):
    """Print the loads of one fleet and how soon it notices killed VMs."""
    fleet = Fleet(n_vms)
    fleet.run_until(SETTLED_MS)
    fleet.loads = {ip: Load() for ip in fleet.nodes}
    end_ms = SETTLED_MS + length_s * MS_PER_S
    fleet.run_until(end_ms)
    print(f"{n_vms} VMs", *describe_loads(fleet, length_s), sep="\n")
    for role, is_preferred in (("preferred", True), ("other", False)):
        ips = [
            ip
            for ip, node in fleet.nodes.items()
            if node.peers.is_preferred == is_preferred
        ]
        if not ips:
            continue
        local_ms, n_local = time_to_notice(fleet, ips[-1], end_ms)
        end_ms += 20_000.0
        print(
            f"  killed {role}: the {n_local} of its domain know after {local_ms:.0f} ms"
        )


def main():
    """Measure the given sizes one after another."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--vms", type=int, nargs="+", default=[6, 60, 311])
    parser.add_argument("--length-s", type=float, default=10.0)
    args = parser.parse_args()
    for n_vms in args.vms:
        measure(n_vms, args.length_s)


if __name__ == "__main__":
    main()
