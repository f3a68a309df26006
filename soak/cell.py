"""The processes of one run, with proxies in front of the store and the servers."""

import gevent

from standins.edge_cell import DOMAINS, EdgeCell
from standins.process_limits import ProcessLimits

from .proxy import Proxy
from .senders import find_owner

# Path prefix -> (service, kind of its requests).
PREFIXES = {"/tools/": ("shop", "idempotent"), "/orders/": ("desk", "non_idempotent")}
# Service -> number of its servers.
N_SERVERS = {"shop": 6, "desk": 6}
# Work time of each request at a server.
WORK_MS = 30.0


class SoakCell(EdgeCell):
    """An EdgeCell whose connections to the store and the servers can be disturbed.

    ``store_proxies`` has one proxy for each VM, ``server_proxies`` maps a server id to
    its proxy. ``claimed_vms`` has the names of the VMs whose process a fault has
    killed, paused or told to stop, and ``claimed_servers`` the ids of the servers that
    say something of themselves. ``senders`` maps a server id and the port of a
    connection to the name of the VM that opened it. ``start_counts`` maps a VM's name
    to the number of starts of its process. ``version`` is the last published
    configuration version. ``cores`` are the numbers of the cores on which the VMs run,
    or None for all.
    """

    def __init__(self, folder, n_vms):
        super().__init__(folder, n_vms)
        self.store_proxies = []
        self._proxy_by_vm = {}
        self.server_proxies = {}
        self.claimed_vms = set()
        self.claimed_servers = set()
        self.senders = {}
        self.start_counts = {}
        self.version = 0
        self.cores = None

    def store_address(self):
        """Start a proxy to the store for the next VM; returns its address."""
        proxy = Proxy(self.store.address)
        proxy.start(self.stack)
        self.store_proxies.append(proxy)
        return proxy.address

    def store_proxy(self, vm):
        """Return the proxy between a VM and the store."""
        return self._proxy_by_vm[vm.name]

    def _make_vm(self, i, ports):
        vm = super()._make_vm(i, ports)
        self._proxy_by_vm[vm.name] = self.store_proxies[-1]
        return vm

    def write_entry(self, server, cold_remaining_ms=0):
        """Write the entry of a server, with the address of its proxy.

        The first call starts the proxy.
        """
        if server.server_id not in self.server_proxies:
            proxy = Proxy(server.address, self._make_note_sender(server))
            proxy.start(self.stack)
            self.server_proxies[server.server_id] = proxy
            server.address = proxy.address
        super().write_entry(server, cold_remaining_ms)

    def _make_note_sender(self, server):
        def note_sender(client_address, proxy_address, port):
            vm = find_owner(self.vms, client_address, proxy_address)
            if vm is not None:
                self.senders[(server.server_id, port)] = vm.name

        return note_sender

    def add_servers(self):
        """Start the servers of both services, in turn over the failure domains."""
        for service, n_servers in N_SERVERS.items():
            for i in range(n_servers):
                domain = DOMAINS[i % len(DOMAINS)]
                name = f"{service}-{i}"
                self.add_server(name, service, domain, work_ms=WORK_MS)

    def publish(self):
        """Publish the next configuration version.

        Its probe route replaces the probe route of the version before.
        """
        self.version += 1
        probe_route = {f"/v{self.version}/": ("shop", "idempotent")}
        self.set_config(self.version, {**PREFIXES, **probe_route})

    def start_vm(self, vm):
        """Start one edge process under the settings' limits and count the start."""
        vm.limits = ProcessLimits.from_settings()
        vm.limits.cores = self.cores
        self.start_counts[vm.name] = self.start_counts.get(vm.name, 0) + 1
        super().start_vm(vm)

    def is_usable(self, server):
        """Return whether a server is ready and says nothing else of itself."""
        return server.state == "ready" and server.server_id not in self.claimed_servers

    def wait_for_exit(self, vm, timeout_s):
        """Wait until a process exits; returns whether it exited in time."""
        with gevent.Timeout(timeout_s, False):
            while vm.process.poll() is None:
                gevent.sleep(0.02)
            return True
        return False


def find_exit(vm):
    """Return a list with a finding if a VM's process has ended, else an empty one."""
    if vm.process.poll() is None:
        return []
    return [f"{vm.name} exited unexpectedly with status {vm.process.returncode}"]
