"""Edge processes on loopback, with the stand-in store and stand-in servers."""

import os
import signal
import socket
import subprocess
import sys
from contextlib import ExitStack
from importlib.util import find_spec
from pathlib import Path

import gevent
import msgspec
from geventhttpclient import HTTPClient

from standins.environment import make_environment
from standins.process_limits import MEMORY_MB, N_DESCRIPTORS_MAX, ProcessLimits
from standins.server import Server
from standins.store import Store

ROOT = Path(__file__).resolve().parent.parent
# The program, which the deploy file runs by its path too.
ENTRY_POINT = find_spec("hornbeamstand_platform.__main__").origin
DOMAINS = ("ub-a", "ub-b", "ub-c")
# Host name of every route, and thus of the requests of callers.
HOST = "shop.example"
# Grace period of a planned stop, in the settings of the VMs.
GRACE_MS = 3000
# Default timeout of a call of a VM.
CALL_TIMEOUT_S = 4.0
# Default timeout of wait_for().
WAIT_TIMEOUT_S = 10.0
# Maximum rate of requests to a cold server, in the operators' configuration.
COLD_RATE_PER_S = 5.0
# Lowest port of the VMs. Each test process uses its own ports above it, by process id.
FIRST_PORT = 20100
METRICS_PORT = 9464
# Number of networks 127.0.X.0/24 for the VMs of cells that run at the same time.
N_NETWORKS = 200
# Retry budget in the settings of the VMs: share of the requests in a window, and number
# of retries allowed on top of it.
RETRY_RATIO = 0.2
RETRY_SLACK = 50

SETTINGS = """
[Self]
NodeName = "{name}"
Ip = "{ip}"
Zone = "{domain}"
[Self.Limits]
CpuShare = 1.0
Cpus = 1
MemoryMb = {memory_mb}
MaxFds = {n_descriptors}
BandwidthMbps = 1000.0
[Network]
InternalPorts = [{peer_port}, {last_port}]
Seeds = []
[Network.Listen]
Frontend = "{ip}:{front_port}"
Readiness = "{ip}:{ready_port}"
Registry = "{ip}:{lookup_port}"
[Network.Zones]
ub-a = "r"
ub-b = "r"
ub-c = "r"
[Platform.Platform]
Address = "{store}"
[Terms.Bounds]
ttl_max = "5s"
Grace = "{grace_ms}ms"
RetryRatio = {retry_ratio}
RetrySlack = {retry_slack}
RetryWindow = "10s"
QuotaWindow = "5s"
QuotaOverage = 0.1
QuotaSlack = 20
"""


class Response:
    """The response that a caller got; ``status`` is 0 if none came.

    ``headers`` maps lower-case names to values.
    """

    __slots__ = ("status", "headers", "body")

    def __init__(self, status, headers=None, body=b""):
        self.status = status
        self.headers = headers or {}
        self.body = body


class EdgeVm:
    """One VM that runs an edge process.

    ``ports`` maps the name of a listener, such as ``front``, to its port. ``process``
    is None until the first start. ``limits`` are set on the process when it starts.
    """

    __slots__ = (
        "name",
        "ip",
        "domain",
        "ports",
        "process",
        "settings_file",
        "limits",
    )

    def __init__(self, name, ip, domain, ports, settings_file):
        self.name = name
        self.ip = ip
        self.domain = domain
        self.ports = ports
        self.process = None
        self.settings_file = settings_file
        self.limits = ProcessLimits()

    def start(self, log_file):
        """Start the process, with its output in a log file."""
        env = make_environment(HORNBEAMSTAND_NODE_FILE=str(self.settings_file))
        command = [sys.executable, "-P", ENTRY_POINT]
        self.process = subprocess.Popen(
            command,
            env=env,
            stdout=log_file,
            stderr=log_file,
            cwd=log_file.name + ".d",
            preexec_fn=self.limits.apply,
        )


def claim_network(stack):
    """Return the number of a network that no other running cell has.

    The stack gives it back. Raises RuntimeError if there is none.
    """
    for i in range(N_NETWORKS):
        number = (os.getpid() + i) % N_NETWORKS
        # The system frees an abstract name with the process, however it ends.
        claim = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        try:
            claim.bind(f"\0hornbeamstand-cell-{number}")
        except OSError:
            claim.close()
            continue
        stack.callback(claim.close)
        return number
    raise RuntimeError(f"all {N_NETWORKS} networks are in use")


def names_of(service):
    """Return the names of a service, or of several with weights."""
    return list(service) if isinstance(service, dict) else [service]


def encode_services(service):
    """Return the field of a route that names its service, or several with weights."""
    if not isinstance(service, dict):
        return {"Backend": service}
    parts = [{"Backend": name, "Weight": weight} for name, weight in service.items()]
    return {"TrafficSplit": parts}


class EdgeCell:
    """A store, servers and edge processes, all stopped when the context is left.

    Parameters
    ----------
    folder : Path
        Folder for settings and logs.
    n_vms : int
        Number of edge processes, spread over three failure domains in turn.
    memory_mb : int, optional
        Memory in the settings of the VMs, in place of the usual one.

    Attributes
    ----------
    grace_ms : int
        Grace period of a planned stop, in the settings of the VMs.
    memory_mb : int
        Memory in the settings of the VMs.
    deadline_ms : int
        Deadline of the requests that ``send`` sends without one.
    timeout_s : float
        Time for which ``send`` waits for an answer.
    """

    grace_ms = GRACE_MS
    # Further lines of the bounds in the settings of the VMs.
    more_bounds = ""
    memory_mb = MEMORY_MB

    def __init__(self, folder, n_vms=3, memory_mb=None):
        self.folder = Path(folder)
        self.n_vms = n_vms
        if memory_mb is not None:
            self.memory_mb = memory_mb
        self.stack = ExitStack()
        self.store = Store()
        self.servers = []
        self.vms = []
        self.n_sent = 0
        self._network_number = None
        self.deadline_ms = 2000
        self.timeout_s = CALL_TIMEOUT_S

    def __enter__(self):
        self.store.start(self.stack)
        self._network_number = claim_network(self.stack)
        first_port = FIRST_PORT + (os.getpid() % 500) * 20
        names = ("front", "ready", "lookup", "peer", "last")
        ports = {name: first_port + i for i, name in enumerate(names)}
        ports["metrics"] = METRICS_PORT
        for i in range(self.n_vms):
            self.vms.append(self._make_vm(i, ports))
        return self

    def __exit__(self, *exc_info):
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.kill()
                vm.process.wait()
        self.stack.close()

    def store_address(self):
        """Return the address of the store in the settings of the next VM."""
        return self.store.address

    def _make_vm(self, i, ports):
        name, domain = f"edge-{i}", DOMAINS[i % len(DOMAINS)]
        ip = f"127.0.{1 + self._network_number}.{10 + i}"
        file = self.folder / f"{name}.toml"
        text = SETTINGS.format(
            name=name,
            ip=ip,
            domain=domain,
            store=self.store_address(),
            grace_ms=self.grace_ms,
            retry_ratio=RETRY_RATIO,
            retry_slack=RETRY_SLACK,
            memory_mb=self.memory_mb,
            n_descriptors=N_DESCRIPTORS_MAX,
            **{f"{key}_port": port for key, port in ports.items()},
        )
        file.write_text(text + self.more_bounds)
        return EdgeVm(name, ip, domain, ports, file)

    # Actions of operators and servers.

    def add_server(self, name, service="shop", domain="ub-a", **values):
        """Start a server and write its entry; returns it."""
        server = self.make_server(name, service, domain, **values)
        self.write_entry(server)
        return server

    def make_server(self, name, service, domain, **values):
        """Start a server that has no entry yet; returns it."""
        server = Server(name, service, domain, **values)
        server.start(self.stack)
        self.servers.append(server)
        return server

    def write_entry(self, server, cold_remaining_ms=0):
        """Write the entry of a server to the store."""
        self.store.put(f"servers/{server.server_id}", server.entry(cold_remaining_ms))

    def set_config(
        self,
        version,
        prefixes,
        timeout_ms=1500,
        goal_ms=600,
        fields=None,
        organisations=None,
        quotas=None,
    ):
        """Write the operators' configuration, with one route for each prefix.

        ``prefixes`` maps a path prefix to (service, kind of its requests). A dict of
        services and weights in place of a service splits the requests. ``fields`` maps
        a prefix to a dict of fields that its route has in place of the usual ones.
        ``organisations`` maps the name of each organisation to the list of its keys,
        and ``quotas`` the names of some to a rate a second and a burst.
        """
        paths = [
            {
                "Name": f"r{i}",
                "Prefix": prefix,
                "RouteType": kind,
                "Timeout": f"{timeout_ms}ms",
                "Goal": f"{goal_ms}ms",
                "Priority": 1,
                "Attempts": 2,
                **encode_services(service),
                **(fields or {}).get(prefix, {}),
            }
            for i, (prefix, (service, kind)) in enumerate(prefixes.items())
        ]
        services = [
            {
                "Name": name,
                "HealthPath": "/health",
                "MaxConns": 100,
                "Warmup": "3s",
                "WarmupPerS": COLD_RATE_PER_S,
            }
            for name in sorted(
                {name for service, _ in prefixes.values() for name in names_of(service)}
            )
        ]
        limits = {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 1 << 20,
            "HeaderTimeout": "3s",
            "IdleTimeout": "15s",
        }
        config = {
            "Version": f"r{version}",
            "Services": services,
            "Limits": limits,
            "Vhosts": [{"Hostname": HOST, "Paths": paths}],
        }
        if organisations is not None:
            config["Tenants"] = [
                {"Name": name, "ApiKeys": keys} for name, keys in organisations.items()
            ]
            for tenant in config["Tenants"]:
                if tenant["Name"] in (quotas or {}):
                    rate_per_s, n_burst = quotas[tenant["Name"]]
                    tenant |= {"RatePerS": rate_per_s, "Burst": n_burst}
        self.store.put("op/config", config)

    # Control of the processes.

    def start_vm(self, vm):
        """Start one edge process."""
        path = self.folder / f"{vm.name}.log"
        Path(f"{path}.d").mkdir(exist_ok=True)
        log_file = open(path, "ab")
        self.stack.callback(log_file.close)
        vm.start(log_file)

    def start_all(self):
        """Start every process and wait until it is ready."""
        for vm in self.vms:
            self.start_vm(vm)
        self.wait_for(lambda: all(self.is_ready(vm) for vm in self.vms))

    def signal(self, vm, number):
        """Send a signal to one process."""
        vm.process.send_signal(number)

    def kill(self, vm):
        """Kill one process."""
        self.signal(vm, signal.SIGKILL)
        vm.process.wait()

    def wait_for(self, is_met, timeout_s=WAIT_TIMEOUT_S):
        """Wait until a condition is met.

        Raises AssertionError if it is not met in time.
        """
        with gevent.Timeout(
            timeout_s, AssertionError(f"condition not met within {timeout_s} s")
        ):
            while not is_met():
                gevent.sleep(0.05)

    def is_ready(self, vm):
        """Return whether a VM reports that it is ready."""
        return self.call(vm, "ready", "GET", "/ready").status == 200

    # Actions of callers.

    def call(
        self, vm, port, method, path, headers=None, body=b"", timeout_s=CALL_TIMEOUT_S
    ):
        """Call one VM on a new connection; returns a Response.

        ``port`` is the name of a listener in ``vm.ports``.
        """
        client = HTTPClient(
            vm.ip, vm.ports[port], connection_timeout=1.0, network_timeout=timeout_s
        )
        try:
            response = client.request(method, path, body=body, headers=headers or {})
            raw = bytes(response.read())
            items = {name.lower(): value for name, value in response.items()}
            return Response(response.status_code, items, raw)
        except AssertionError:
            # The time limit of a test, which may end it in any call.
            raise
        except Exception:
            # Sockets and the HTTP parser raise unrelated types.
            return Response(0)
        finally:
            client.close()

    def send(self, vm, path, method="GET", body=b"", **headers):
        """Send one request with the headers of a caller; returns a Response."""
        self.n_sent += 1
        items = {
            "Host": HOST,
            "Attempt-Id": f"a{self.n_sent}",
            "Deadline-Ms": str(self.deadline_ms),
            **headers,
        }
        return self.call(vm, "front", method, path, items, body, self.timeout_s)

    def look_up(self, vm, domain=""):
        """Return the addresses in a VM's lookup response for callers of a domain."""
        path = f"/resolve?Name={HOST}&Region=r&Zone={domain}"
        response = self.call(vm, "lookup", "GET", path)
        if response.status != 200:
            return []
        return msgspec.json.decode(response.body)["Addresses"]

    def n_runs_max(self):
        """Return the maximum number of runs of one attempt id over all servers."""
        counts = {}
        for server in self.servers:
            for attempt_id, n_runs in server.runs.items():
                counts[attempt_id] = counts.get(attempt_id, 0) + n_runs
        return max(counts.values(), default=0)
