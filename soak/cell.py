"""The processes of one run, with a proxy on each way to the store and servers."""

import gevent

from standins.edge_cell import DOMAINS, EdgeCell

from .proxy import Proxy

PREFIXES = {"/tools/": ("shop", "idempotent"), "/orders/": ("desk", "non_idempotent")}
N_SERVERS = {"shop": 6, "desk": 6}
WORK_MS = 30.0


class SoakCell(EdgeCell):
    """An EdgeCell whose links can be harmed.

    ``store_proxies`` has one for each VM, ``server_proxies`` one for each server.
    ``claimed_vms`` names those that a fault has stopped or is stopping;
    ``start_counts`` counts the starts of each VM's process.
    """

    def __init__(self, folder, n_vms):
        super().__init__(folder, n_vms)
        self.store_proxies = []
        self.server_proxies = {}
        self.claimed_vms = set()
        self.start_counts = {}
        self.version = 0

    def store_address(self):
        """Return the address of the next VM's proxy to the store."""
        proxy = Proxy(self.store.address)
        proxy.start(self.stack)
        self.store_proxies.append(proxy)
        return proxy.address

    def write_entry(self, server, cold_remaining_ms=0):
        """Write a server's entry; the first time its proxy takes its address."""
        if server.server_id not in self.server_proxies:
            proxy = Proxy(server.address)
            proxy.start(self.stack)
            self.server_proxies[server.server_id] = proxy
            server.address = proxy.address
        super().write_entry(server, cold_remaining_ms)

    def add_servers(self):
        """Start the servers of both services, in turn over the failure domains."""
        for service, n_servers in N_SERVERS.items():
            for i in range(n_servers):
                domain = DOMAINS[i % len(DOMAINS)]
                name = f"{service}-{i}"
                self.add_server(name, service, domain, work_ms=WORK_MS)

    def publish(self):
        """Write the next version: its own probe route replaces the last one's."""
        self.version += 1
        probe_route = {f"/v{self.version}/": ("shop", "idempotent")}
        self.set_config(self.version, {**PREFIXES, **probe_route})

    def start_vm(self, vm):
        """Start one edge process, and count its starts."""
        self.start_counts[vm.name] = self.start_counts.get(vm.name, 0) + 1
        super().start_vm(vm)

    def wait_for_exit(self, vm, timeout_s):
        """Wait for a process's end; returns whether it ended in time."""
        with gevent.Timeout(timeout_s, False):
            while vm.process.poll() is None:
                gevent.sleep(0.02)
            return True
        return False
