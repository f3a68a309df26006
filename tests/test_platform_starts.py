"""Processes that start under difficulties start anyway, once these are over."""

import os
import signal
import subprocess
import sys
import tomllib
from importlib.util import find_spec

import gevent
import pytest
from hornbeamstand_entry.life.settings_wait import wait_for_settings
from result import Ok

from standins.edge_cell import DOMAINS, ROOT, EdgeCell

ENTRY_POINT = find_spec("hornbeamstand_platform.__main__").origin
PREFIXES = {"/tools/": ("shop", "idempotent")}
# Time for which a difficulty lasts; a start without one takes less.
DIFFICULTY_S = 1.0


@pytest.fixture
def cell(tmp_path):
    with EdgeCell(tmp_path, n_vms=1) as made:
        made.add_server("shop-0", "shop", DOMAINS[0])
        made.set_config(1, PREFIXES)
        yield made


def assert_starts(cell, vm):
    cell.wait_for(lambda: cell.is_ready(vm))
    assert vm.process.poll() is None
    assert cell.send(vm, "/tools/x").status == 200


# Another program binds an address of the VM when the start has found it to be free.
TAKE_IN_START = """
import socket
from hornbeamstand_entry.edge.process import EdgeProcess
from hornbeamstand_platform.start import run_process

build = EdgeProcess.from_config
taker = socket.socket(socket.AF_INET, socket.{kind})

def build_late(*args):
    try:
        taker.bind(("{ip}", {port}))
    except OSError:
        pass
    return build(*args)

EdgeProcess.from_config = build_late
run_process([])
"""


@pytest.mark.parametrize(
    ("name", "kind"),
    [("front", "SOCK_STREAM"), ("peer", "SOCK_STREAM"), ("peer", "SOCK_DGRAM")],
)
def test_no_address_is_lost_between_its_check_and_its_use(cell, name, kind):
    """Guards against a start that ends with "Address already in use"."""
    vm = cell.vms[0]
    code = TAKE_IN_START.format(kind=kind, ip=vm.ip, port=vm.ports[name])
    start_with_code(cell, vm, code)
    assert_starts(cell, vm)


def start_with_code(cell, vm, code):
    """Start the process of a VM by Python code, which calls ``run_process``."""
    env = {**os.environ, "HORNBEAMSTAND_NODE_FILE": str(vm.settings_file)}
    with open(cell.folder / f"{vm.name}.log", "wb") as log:
        command = [sys.executable, "-P", "-c", code]
        vm.process = subprocess.Popen(command, env=env, stdout=log, stderr=log)


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ('Frontend = "{ip}:', 'Frontend = "a..b:', "process: address unusable"),
        ('Frontend = "{ip}:', 'Frontend = "{ip}', "field Frontend: found"),
        ('Registry = "{ip}:', 'Registry = "{ip}:9', "field Registry: found"),
        ('Readiness = "{ip}:', 'Readiness = 5 #"', "field Readiness: found"),
        ("InternalPorts = [", "InternalPorts = [9", "field InternalPorts: found"),
        ('Address = "', 'Address = "x" #', "field Address: found"),
    ],
)
def test_an_address_that_can_never_be_had_ends_the_start_clearly(cell, old, new, named):
    """Guards against a traceback in place of a reason."""
    vm = cell.vms[0]
    text = vm.settings_file.read_text()
    changed = text.replace(old.format(ip=vm.ip), new.format(ip=vm.ip))
    assert changed != text
    vm.settings_file.write_text(changed)
    cell.start_vm(vm)
    assert vm.process.wait(10.0) == 2
    log = (cell.folder / f"{vm.name}.log").read_text()
    assert named in log
    assert "Traceback" not in log


@pytest.mark.parametrize("mode", ["busy", "many", "silent"])
def test_a_process_starts_while_the_store_is_away(cell, mode):
    vm = cell.vms[0]
    cell.store.mode = mode
    cell.start_vm(vm)
    gevent.sleep(DIFFICULTY_S)
    cell.store.mode = "ok"
    assert_starts(cell, vm)


def test_a_reload_during_the_start_does_not_end_the_process():
    """Guards against SIGHUP before the process handles it."""
    code = (
        "import os, signal\n"
        "import hornbeamstand_platform.__main__ as main\n"
        "os.kill(os.getpid(), signal.SIGHUP)\n"
        "print(len(main.early_signals))"
    )
    run = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert (run.returncode, run.stdout.strip()) == (0, "1")


def run_in_interpreter(code, *options):
    """Return status and output of code in an interpreter of its own."""
    command = [sys.executable, *options, "-c", code]
    run = subprocess.run(command, capture_output=True, text=True, timeout=10.0)
    return run.returncode, run.stdout.strip()


def test_a_reload_during_the_start_is_made_up_for():
    code = (
        "from hornbeamstand_entry.life.signals import Signals\n"
        "signals = Signals()\n"
        "signals.install([1])\n"
        "print(signals.wait(), signals.is_reload_requested)"
    )
    assert run_in_interpreter(code) == (0, "False True")


def test_a_reload_while_the_handlers_are_set_is_made_up_for():
    """Guards against a SIGHUP that is noted after the early ones were looked at."""
    code = (
        "import os, signal, gevent\n"
        "from hornbeamstand_platform.__main__ import early_signals\n"
        "from hornbeamstand_entry.edge.program import make_edge_program\n"
        "from hornbeamstand_entry.life import running\n"
        "from result import Ok\n"
        "set_handler = gevent.signal_handler\n"
        "def interrupted(number, handler):\n"
        "    if number == signal.SIGTERM:\n"
        "        os.kill(os.getpid(), signal.SIGHUP)\n"
        "    return set_handler(number, handler)\n"
        "gevent.signal_handler = interrupted\n"
        "def show(program, settings, clock, log, signals):\n"
        "    print(signals.is_reload_requested)\n"
        "    signals.n_stop_requests = 1\n"
        "running.wait_for_addresses = show\n"
        "class Settings:\n"
        "    vm_id = 'vm'\n"
        "    __slots__ = ()\n"
        "program = make_edge_program(None, lambda: Ok(Settings))\n"
        "running.run_until_stopped(program, early_signals)"
    )
    status, output = run_in_interpreter(code)
    assert (status, output.splitlines()[0]) == (0, "True")


def test_a_reload_before_the_settings_are_read_needs_no_other():
    early_signals = [signal.SIGHUP]
    loaded = wait_for_settings(lambda: Ok(list(early_signals)), early_signals)
    assert loaded.ok_value == []


def test_a_reload_while_the_settings_are_read_is_kept():
    early_signals = []

    def load():
        early_signals.append(signal.SIGHUP)
        return Ok(None)

    wait_for_settings(load, early_signals)
    assert early_signals == [signal.SIGHUP]


def test_no_module_is_imported_before_a_reload_is_handled():
    """Guards against imports that lengthen the time in which SIGHUP ends the start."""
    code = (
        "import sys, _signal\n"
        f"code = compile(open({ENTRY_POINT!r}).read(), 'main', 'exec')\n"
        "before = set(sys.modules)\n"
        "def show(number, handler):\n"
        "    print(number, sorted(set(sys.modules) - before))\n"
        "    sys.exit(0)\n"
        "_signal.signal = show\n"
        "exec(code, {'__name__': '__main__'})"
    )
    expected = f"{signal.SIGHUP.value} []"
    assert run_in_interpreter(code, "-S", "-P") == (0, expected)


def test_the_deploy_file_starts_the_process_by_its_path(cell):
    """Guards against ``python3 -m``, whose own imports come before the first line."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    words = deploy["roles"]["hornbeamstand"]["run"].split()
    script = "target/deps/hornbeamstand_platform/__main__.py"
    assert words == ["python3", "-S", "-P", script]
    vm = cell.vms[0]
    env = {**os.environ, "HORNBEAMSTAND_NODE_FILE": str(vm.settings_file)}
    with open(cell.folder / "by-path.log", "wb") as log:
        command = [sys.executable, "-P", ENTRY_POINT]
        vm.process = subprocess.Popen(command, env=env, stdout=log, stderr=log)
    assert_starts(cell, vm)
    cell.signal(vm, signal.SIGTERM)
    assert vm.process.wait(10.0) == 0
