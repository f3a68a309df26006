"""The processes of a day, and what its operators publish."""

from random import Random

from standins.edge_cell import DOMAINS, EdgeCell

from ..cell import SoakCell
from ..senders import find_owner
from .peer_network import PeerNetwork
from .records import now_s
from .site import (
    CHANGING_ORGANISATION,
    GRACE_S,
    KEYS,
    KINDS,
    MOVED_PREFIX,
    PROBE_ORGANISATION,
    SERVICES,
    changing_key,
    key_headers,
)
from .target import DayTarget

MS_PER_S = 1000
# Service that runs the requests of probes.
PROBED_SERVICE = "tubo-lookup"
# Peer port of the first VM, if the paths between VMs can be cut: each VM has another.
FIRST_PEER_PORT = 31_000


class DayCell(SoakCell):
    """A SoakCell of the size of a site, whose VMs and targets come and go.

    ``routes`` maps a prefix to (service or weights, kind, timeout in s). ``started_s``
    maps a VM's name to the time of its last start, ``young_vms`` has the names of those
    that have not been ready since: SIGTERM may end them at once. ``spared_vms`` has the
    names of those whose process no event ends. ``network`` is the PeerNetwork between
    the VMs if ``has_cuts``, otherwise None.
    """

    grace_ms = int(GRACE_S * MS_PER_S)

    def __init__(self, folder, n_vms, journal, has_cuts=False):
        super().__init__(folder, n_vms)
        self.network = PeerNetwork(self.stack) if has_cuts else None
        self.journal = journal
        self.routes = {
            kind.prefix: (kind.service, kind, kind.deadline_s) for kind in KINDS
        }
        self.routes[MOVED_PREFIX] = ("tubo-lookup", KINDS[0], KINDS[0].deadline_s)
        self.started_s = {}
        self.young_vms = set()
        self.spared_vms = set()
        self._ports = {}
        self._n_made = 0

    def _make_vm(self, i, ports):
        self._ports = ports
        self._n_made = i + 1
        if self.network is None:
            return super()._make_vm(i, ports)
        peer_port = FIRST_PEER_PORT + i
        vm = super()._make_vm(i, {**ports, "peer": peer_port, "last": peer_port})
        self.network.add(vm)
        return vm

    def add_vm(self):
        """Add a VM at a new address and start it; returns it."""
        vm = self._make_vm(self._n_made, self._ports)
        self.start_vm(vm)
        self.vms.append(vm)
        return vm

    def add_vms(self, n_added):
        """Add VMs and start them at the same moment; returns them."""
        vms = [self._make_vm(self._n_made, self._ports) for _ in range(n_added)]
        for vm in vms:
            self.start_vm(vm)
        self.vms += vms
        return vms

    def start_vm(self, vm):
        """Start one edge process and note when."""
        self.started_s[vm.name] = now_s()
        self.journal.starts.append((vm.name, now_s()))
        self.young_vms.add(vm.name)
        super().start_vm(vm)

    def write_settings(self, vm, lookup_ttl_s):
        """Change the settings file of a VM."""
        lines = vm.settings_file.read_text().splitlines()
        lines = [
            f'ttl_max = "{lookup_ttl_s}s"' if line.startswith("ttl_max") else line
            for line in lines
        ]
        vm.settings_file.write_text("\n".join(lines) + "\n")

    def add_servers(self):
        """Start all targets, in turn over the failure domains."""
        for service, (n_targets, _) in SERVICES.items():
            for _ in range(n_targets):
                self.add_target(service, DOMAINS[len(self.servers) % len(DOMAINS)])

    def add_target(self, service, domain, port=0):
        """Start a target, at a given port or any, and write its entry; returns it."""
        name = f"i-{len(self.servers)}"
        target = DayTarget(name, service, domain, self.journal, Random(name))
        target.find_sender = self._find_sender
        target.start(self.stack, port)
        self.servers.append(target)
        self.write_entry(target)
        return target

    def _find_sender(self, client_address, target_address):
        return find_owner(self.vms, client_address, target_address)

    def write_entry(self, server, cold_remaining_ms=0):
        """Write the entry of a target, with its own address."""
        EdgeCell.write_entry(self, server, cold_remaining_ms)

    def prefixes(self, kind):
        """Return the prefixes of the routes of a RequestKind."""
        return [prefix for prefix, route in self.routes.items() if route[1] is kind]

    def probe(self, vm, path, organisation=PROBE_ORGANISATION, key=None):
        """Send a request with a key, by default that of probes; returns its status."""
        return self.send(vm, path, **key_headers(organisation, key)).status

    def live_targets(self):
        """Return the targets that are ready."""
        return [server for server in self.servers if server.state == "ready"]

    def publish(self):
        """Publish the next configuration version with the current routes.

        It has a route for probes that all later versions have too, and one that none
        of them has.
        """
        self.version += 1
        self.publish_again()

    def publish_again(self):
        """Write the newest configuration version."""
        prefixes = {
            prefix: (service, "non_idempotent" if kind.is_order else "idempotent")
            for prefix, (service, kind, _) in self.routes.items()
        }
        probes = [f"/sonda{i}/" for i in range(1, self.version + 1)]
        for prefix in [*probes, f"/sola{self.version}/"]:
            prefixes[prefix] = (PROBED_SERVICE, "idempotent")
        fields = {
            prefix: {
                "Timeout": f"{timeout_s * MS_PER_S:.0f}ms",
                "Goal": f"{kind.goal_s * MS_PER_S:.0f}ms",
            }
            for prefix, (_, kind, timeout_s) in self.routes.items()
        }
        organisations = {name: [key] for name, key in KEYS.items()}
        organisations[CHANGING_ORGANISATION] = [changing_key(self.version)]
        self.set_config(
            self.version, prefixes, fields=fields, organisations=organisations
        )
        self.journal.config_acked_s[self.version] = now_s()

    def change_routes(self, rng):
        """Draw one change of the routes: a timeout, a move, a new route or a split."""
        draw = rng.randrange(4)
        if draw == 0:
            prefix = rng.choice([kind.prefix for kind in KINDS])
            service, kind, _ = self.routes[prefix]
            self.routes[prefix] = (
                service,
                kind,
                kind.deadline_s * rng.uniform(0.8, 1.3),
            )
        elif draw == 1:
            _, kind, timeout_s = self.routes[MOVED_PREFIX]
            service = rng.choice(["tubo-lookup", "archivo-fichas"])
            self.routes[MOVED_PREFIX] = (service, kind, timeout_s)
        elif draw == 2:
            kind = rng.choice(KINDS)
            prefix = f"/nueva{self.version}/"
            self.routes[prefix] = (kind.service, kind, kind.deadline_s)
        else:
            _, kind, timeout_s = self.routes["/archivo/"]
            weights = {"archivo-fichas": rng.choice([80, 90]), "tubo-lookup": 20}
            service = rng.choice([weights, "archivo-fichas"])
            self.routes["/archivo/"] = (service, kind, timeout_s)
