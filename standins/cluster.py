"""Starts a platform, targets and entry VMs as processes, for the demo and tests."""

import json
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path
from random import Random

from geventhttpclient import HTTPClient

from standins.environment import make_environment

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK_IP = "127.0.0.1"
# Ports given to servers: from PORT_MIN up to, but not including, PORT_MAX. They lie
# below the ports that the system gives to outgoing connections.
PORT_MIN = 20_000
PORT_MAX = 32_000
# Maximum wait for processes to start and settle.
START_TIMEOUT_S = 20.0


def shuffled_ports():
    """Yield each port of the range once, in a random order."""
    ports = list(range(PORT_MIN, PORT_MAX))
    Random().shuffle(ports)
    yield from ports


# Shared by the whole process, so that no port is given out twice: a port that was
# given out may not be bound yet.
_ports = shuffled_ports()


def free_addresses(n_wanted):
    """Return loopback addresses whose ports are free for TCP and UDP.

    The ports lie below those that the system gives to outgoing connections, so that
    no such connection takes a port before its server starts. No port is returned
    twice in one process.
    """
    addresses = []
    while len(addresses) < n_wanted:
        port = next(_ports)
        if is_port_free(port):
            addresses.append(f"{LOOPBACK_IP}:{port}")
    return addresses


def is_port_free(port):
    """Return whether a port can be bound for TCP and UDP."""
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        try:
            tcp.bind((LOOPBACK_IP, port))
            udp.bind((LOOPBACK_IP, port))
        except OSError:
            return False
    return True


def request(address, method, path, body=None, headers=None, timeout_s=5.0):
    """Send one request on a new connection; a dict body is sent as JSON.

    Returns (status, header dict with lower-case names, body bytes).
    """
    host, _, port = address.rpartition(":")
    client = HTTPClient(
        host, int(port), connection_timeout=timeout_s, network_timeout=timeout_s
    )
    try:
        raw = json.dumps(body).encode() if isinstance(body, dict) else body or b""
        response = client.request(method, path, body=raw, headers=headers or {})
        content = bytes(response.read())
        response_headers = {name.lower(): value for name, value in response.items()}
        return response.status_code, response_headers, content
    finally:
        client.close()


class Vm:
    """One entry VM; ``process`` is None until its start."""

    __slots__ = ("index", "settings", "settings_file", "process", "log_file")

    def __init__(self, index, settings, settings_file):
        self.index = index
        self.settings = settings
        self.settings_file = settings_file
        self.process = None
        self.log_file = settings_file.with_suffix(".log")

    def write_settings(self, **changed):
        """Change settings, in the file too; a running process has to be told."""
        self.settings.update(changed)
        self.settings_file.write_text(json.dumps(self.settings))

    @property
    def front_address(self):
        """The address at which the VM serves callers."""
        return self.settings["front_address"]

    def status(self):
        """Return the decoded status page of the VM."""
        return json.loads(request(self.settings["admin_address"], "GET", "/status")[2])

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def stop(self):
        """Stop the VM as planned (SIGTERM); returns the exit code."""
        self.signal(signal.SIGTERM)
        return self.process.wait(timeout=60)


class Cluster:
    """The processes of one run, which are killed when the context is left.

    Parameters
    ----------
    domains : list of str
        Failure domains, assigned to the VMs in turn.
    overrides : dict
        Settings of the VMs that differ from the defaults.
    """

    def __init__(self, domains, overrides=None):
        self.domains = domains
        self.overrides = overrides or {}
        self.vms = []
        self.platform_address = None
        self.folder = Path(tempfile.mkdtemp(prefix="hornbeamstand-"))
        self._stack = ExitStack()
        self._n_vms = 0

    def __enter__(self):
        self._stack.callback(shutil.rmtree, self.folder, ignore_errors=True)
        return self

    def __exit__(self, *exc_info):
        self._stack.close()

    def spawn(self, arguments, log_name, **options):
        """Start a process that is killed at the end, and return it.

        ``options`` are those of ``subprocess.Popen``.
        """
        out = self._stack.enter_context(open(self.folder / log_name, "ab"))
        defaults = {
            "stdout": out,
            "stderr": subprocess.STDOUT,
            "cwd": ROOT,
            "env": make_environment(),
        }
        options = {**defaults, **options}
        process = subprocess.Popen(arguments, **options)
        self._stack.callback(kill_process, process)
        return process

    def start_platform(self):
        """Start the stand-in platform and wait until it answers."""
        self.platform_address = free_addresses(1)[0]
        arguments = [sys.executable, "-m", "standins.platform", self.platform_address]
        self.spawn(arguments, "platform.log")
        wait_until(lambda: request(self.platform_address, "GET", "/calls")[0] == 200)

    def start_targets(self, specs):
        """Start stand-in targets in one process and wait until they answer."""
        file = self.folder / "targets.json"
        file.write_text(json.dumps(specs))
        arguments = [sys.executable, "-m", "standins.target", str(file)]
        self.spawn(arguments, "targets.log")
        last = specs[-1]["address"]
        wait_until(lambda: request(last, "GET", "/health")[0] == 200)

    def start_vm(self):
        """Start one entry VM; returns it without waiting until it is ready."""
        vm = self.make_vm()
        self.launch(vm)
        return vm

    def make_vm(self):
        """Write the settings of one entry VM and return it, not started."""
        index = self._n_vms
        self._n_vms += 1
        front, peer, admin = free_addresses(3)
        settings = {
            "vm_id": f"vm{index + 1}",
            "failure_domain": self.domains[index % len(self.domains)],
            "cell": "cell1",
            "front_address": front,
            "peer_address": peer,
            "admin_address": admin,
            "platform_address": self.platform_address,
            **self.overrides,
        }
        vm = Vm(index, settings, self.folder / f"vm{index + 1}.json")
        vm.write_settings()
        self.vms.append(vm)
        return vm

    def launch(self, vm, **options):
        """Start the process of a VM; ``options`` are those of ``subprocess.Popen``."""
        binary = str(Path(sys.executable).parent / "hornbeamstand")
        arguments = [binary, "run", "--settings", str(vm.settings_file)]
        vm.process = self.spawn(arguments, vm.log_file.name, **options)

    def publish(self, folder):
        """Publish a configuration folder with hornbeamctl; returns the output."""
        return self.ctl("publish", str(folder), "--platform", self.platform_address)

    def ctl(self, *arguments):
        """Run hornbeamctl; returns its output.

        Raises RuntimeError with the output if the command fails.
        """
        binary = str(Path(sys.executable).parent / "hornbeamctl")
        completed = subprocess.run(
            [binary, *arguments], capture_output=True, text=True, timeout=60
        )
        if completed.returncode != 0:
            raise RuntimeError(completed.stdout + completed.stderr)
        return completed.stdout

    def set_faults(self, **faults):
        """Set the faults of the stand-in platform, by the names of platform.Faults."""
        request(self.platform_address, "PUT", "/faults", faults)

    def wait_ready(self, n_targets, timeout_s=START_TIMEOUT_S):
        """Wait until the running VMs agree and together own ``n_targets`` targets.

        The VMs agree when they have the same view and configuration, see one another
        as members and all may dispatch requests.
        """
        wait_until(lambda: self._is_ready(n_targets), timeout_s)

    def _is_ready(self, n_targets):
        statuses = [vm.status() for vm in self.vms if vm.process.poll() is None]
        versions = {(s["view_version"], s["config_version"]) for s in statuses}
        n_members = {len(s["members"]) for s in statuses}
        n_owned = sum(
            len(service["targets"])
            for s in statuses
            for service in s["services"].values()
        )
        may_dispatch = all(s["may_dispatch_for_ms"] > 0 for s in statuses)
        is_agreed = len(versions) == 1 and n_members == {len(statuses)}
        return is_agreed and may_dispatch and n_owned == n_targets


def kill_process(process):
    """Kill a process if it is still running, and reap it."""
    if process.poll() is None:
        process.kill()
    process.wait()


def wait_until(is_done, timeout_s=START_TIMEOUT_S):
    """Wait until a condition holds; an error of a connection counts as false.

    Raises TimeoutError if the condition does not hold in time.
    """
    deadline_s = time.monotonic() + timeout_s
    while True:
        try:
            if is_done():
                return
        except (OSError, ValueError, KeyError):
            pass
        if time.monotonic() > deadline_s:
            raise TimeoutError(f"condition not met within {timeout_s:g} s")
        time.sleep(0.05)
