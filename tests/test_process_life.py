"""Every program goes through the same life: start, signals, reload, stop."""

import os
import re
import signal
import socket
import time
from contextlib import contextmanager, suppress
from errno import ECONNREFUSED
from pathlib import Path

import gevent
import pytest

from .programs import PROGRAMS, OwnModeVm, PlatformVm, close_all

# Time for which a difficulty lasts; a start without one takes less.
DIFFICULTY_S = 1.0
# Timeout for the end of a process that has nothing to finish.
END_TIMEOUT_S = 10.0
STOP_SIGNALS = [signal.SIGTERM, signal.SIGINT]


@pytest.fixture(params=list(PROGRAMS))
def vm(request, tmp_path):
    with PROGRAMS[request.param](tmp_path) as made:
        yield made


def assert_stops(vm, number=signal.SIGTERM):
    vm.signal(number)
    assert vm.process.wait(END_TIMEOUT_S) == 0


@contextmanager
def taken(vm, name, kind=socket.SOCK_STREAM):
    """Hold one of a VM's addresses, as another program would."""
    with socket.socket(socket.AF_INET, kind) as holder:
        if kind == socket.SOCK_STREAM:
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(vm.address(name))
        if kind == socket.SOCK_STREAM:
            holder.listen()
        yield


@pytest.mark.parametrize("name", ["front", "peer"])
def test_a_process_waits_until_its_addresses_are_free(vm, name):
    """Guards against a start that fails while another socket has an address."""
    with taken(vm, name):
        vm.start()
        gevent.sleep(DIFFICULTY_S)
        assert vm.process.poll() is None
    vm.assert_serves()
    vm.wait_for_line("process: address in use")


SPARED_ADDRESSES = pytest.mark.parametrize(
    ("vm", "name"),
    [
        *(("platform", name) for name in PlatformVm.spared),
        *(("own mode", name) for name in OwnModeVm.spared),
    ],
    indirect=["vm"],
)


@SPARED_ADDRESSES
def test_a_process_serves_while_an_address_that_callers_can_spare_is_taken(vm, name):
    """Guards against a VM that serves nobody because of one listener."""
    with taken(vm, name):
        vm.start()
        vm.wait_for(vm.is_serving)
        vm.wait_for_line("process: address in use")
        assert vm.process.poll() is None
    vm.wait_for(lambda: vm.is_open(name))
    vm.assert_serves()
    vm.wait_for_line("process: address open")


@SPARED_ADDRESSES
def test_a_process_without_an_address_that_callers_can_spare_stops_and_reloads(
    vm, name
):
    with taken(vm, name):
        vm.start()
        vm.wait_for_line("process: address in use")
        vm.wait_for(vm.is_serving)
        vm.signal(signal.SIGHUP)
        vm.wait_for_line("process: settings reloaded")
        assert_stops(vm)


def test_a_process_waits_until_its_datagram_address_is_free(vm):
    with taken(vm, "peer", socket.SOCK_DGRAM):
        vm.start()
        gevent.sleep(DIFFICULTY_S)
    vm.assert_serves()


def test_a_process_that_waits_for_an_address_refuses_callers_at_once(vm):
    """Guards against connections that are accepted long before they are served."""
    with taken(vm, "peer"):
        vm.start()
        vm.wait_for_line("process: address in use")
        with socket.socket() as caller:
            assert caller.connect_ex(vm.address("front")) == ECONNREFUSED


@pytest.mark.parametrize(
    ("name", "kind"),
    [
        ("front", socket.SOCK_STREAM),
        ("peer", socket.SOCK_STREAM),
        ("peer", socket.SOCK_DGRAM),
    ],
)
def test_a_process_that_waits_for_an_address_can_be_stopped(vm, name, kind):
    with taken(vm, name, kind):
        vm.start()
        gevent.sleep(DIFFICULTY_S)
        vm.signal(signal.SIGTERM)
        assert vm.process.wait(2.0) == 0


def test_a_process_that_waits_for_an_address_takes_another_from_a_reload(vm):
    """Guards against a start that can only be mended by ending the process."""
    with taken(vm, "front"):
        vm.start()
        vm.wait_for_line("process: address in use")
        vm.move_front()
        vm.signal(signal.SIGHUP)
        vm.assert_serves()


def test_a_process_waits_for_an_address_that_the_host_has_not_yet(vm):
    """Guards against an end because the network comes up later than the process."""
    # An address for documentation, which no host has.
    text = vm.replace_in_settings(vm.address("front")[0], "192.0.2.7")
    vm.start()
    vm.wait_for_line("Cannot assign requested address")
    vm.settings_file.write_text(text)
    vm.signal(signal.SIGHUP)
    vm.assert_serves()


def test_a_process_that_waits_for_an_address_outlives_a_bad_reload(vm):
    with taken(vm, "front"):
        vm.start()
        vm.wait_for_line("process: address in use")
        text = vm.settings_file.read_text()
        vm.settings_file.write_text("[Self")
        vm.signal(signal.SIGHUP)
        vm.wait_for_line("process: reload failed")
        vm.settings_file.write_text(text)
    vm.assert_serves()


def test_a_process_waits_until_its_settings_are_written(vm):
    """Guards against a start that fails because the file is about to be written."""
    text = vm.settings_file.read_text()
    vm.settings_file.write_text(text[: len(text) // 2])
    vm.start()
    gevent.sleep(DIFFICULTY_S)
    vm.settings_file.write_text(text)
    vm.assert_serves()


def test_settings_that_stay_wrong_end_the_start(vm):
    vm.settings_file.write_text("[Self")
    vm.start()
    assert vm.process.wait(END_TIMEOUT_S) == 2


def test_a_stop_ends_the_wait_for_settings_in_order(vm):
    vm.settings_file.write_text("[Self")
    vm.start()
    vm.wait_for_line("trying again")
    assert_stops(vm)


def handles_signals(process):
    """Return whether a process has set its handlers, of which SIGTERM's is the last."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    caught = int(re.search(r"SigCgt:\s*(\w+)", status).group(1), 16)
    return bool(caught >> (signal.SIGTERM - 1) & 1)


def start_to_age(vm, age_ms):
    """Start the process, and return when its handlers are as old as stated."""
    vm.start()
    while not handles_signals(vm.process):
        time.sleep(0.001)
    time.sleep(age_ms / 1000.0)


@pytest.mark.parametrize("number", STOP_SIGNALS)
def test_a_stop_at_any_moment_of_the_start_ends_it_in_order(vm, number):
    """Guards against a SIGINT that is swallowed by what it interrupts."""
    for age_ms in range(0, 480, 80):
        start_to_age(vm, age_ms)
        vm.signal(number)
        assert vm.process.wait(END_TIMEOUT_S) == 0, age_ms


@pytest.mark.parametrize("age_ms", [0, 100, 300, 900])
def test_a_reload_at_any_moment_of_the_start_leaves_the_process_serving(vm, age_ms):
    """Guards against SIGHUP's default action, which ends the process."""
    start_to_age(vm, age_ms)
    vm.signal(signal.SIGHUP)
    vm.assert_serves()


def test_a_reload_of_a_file_that_cannot_be_read_changes_nothing(vm):
    vm.start()
    vm.assert_serves()
    text = vm.replace_in_settings(vm.settings_file.read_text(), "[Self")
    vm.signal(signal.SIGHUP)
    vm.wait_for_line("process: reload failed")
    vm.settings_file.write_text(text)
    vm.assert_serves()


@pytest.mark.parametrize("read", ["[Self", None])
def test_a_reload_waits_for_settings_that_are_being_replaced(vm, read):
    """Guards against settings of before for good, because SIGHUP came in between."""
    vm.start()
    vm.assert_serves()
    text = vm.settings_file.read_text()
    vm.settings_file.unlink() if read is None else vm.settings_file.write_text(read)
    vm.signal(signal.SIGHUP)
    vm.wait_for_line("process: reload failed")
    vm.settings_file.write_text(text)
    vm.wait_for_line("process: settings reloaded")


def test_a_reload_names_what_needs_a_restart(vm):
    """Guards against an operator who takes changed settings for applied ones."""
    vm.start()
    vm.assert_serves()
    earlier = vm.address("front")
    vm.move_front()
    vm.signal(signal.SIGHUP)
    vm.wait_for_line("process: settings need a restart")
    assert re.search(r'"fields": ?\["front_address"\]', vm.log())
    socket.create_connection(earlier).close()


def signal_at_import(folder, module, number):
    """Return a path on which Python finds a hook that signals its own process."""
    (folder / "sitecustomize.py").write_text(
        "import os, sys\n"
        "class Finder:\n"
        "    def find_spec(self, name, *rest):\n"
        f"        if name == {module!r}:\n"
        f"            os.kill(os.getpid(), {number.value})\n"
        "sys.meta_path.insert(0, Finder())\n"
    )
    return str(folder)


IMPORTS = pytest.mark.parametrize(
    ("vm", "module"),
    [
        ("platform", "gevent"),
        ("own mode", "hornbeamstand_entry"),
        ("own mode", "gevent"),
        ("own mode", "msgspec"),
        ("own mode", "grpc"),
    ],
    indirect=["vm"],
)


def start_interrupted(vm, module, number, tmp_path, monkeypatch):
    """Start the process; it gets a signal when it imports a module."""
    monkeypatch.setenv("PYTHONPATH", signal_at_import(tmp_path, module, number))
    vm.start()


@IMPORTS
@pytest.mark.parametrize("number", STOP_SIGNALS)
def test_a_stop_during_the_imports_ends_the_start_in_order(
    vm, module, number, tmp_path, monkeypatch
):
    """Guards against status -15, and against crashes of an interrupted import."""
    start_interrupted(vm, module, number, tmp_path, monkeypatch)
    assert vm.process.wait(END_TIMEOUT_S) == 0
    assert "stop requested before the start" in vm.log()
    assert "process: started" not in vm.log()


@IMPORTS
def test_a_reload_during_the_imports_leaves_the_process_serving(
    vm, module, tmp_path, monkeypatch
):
    start_interrupted(vm, module, signal.SIGHUP, tmp_path, monkeypatch)
    vm.assert_serves()


def block_all_signals():
    signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())


def ignore_all_signals():
    for number in signal.valid_signals() - {signal.SIGKILL, signal.SIGSTOP}:
        # The C library keeps some of the real-time signals to itself.
        with suppress(OSError):
            signal.signal(number, signal.SIG_IGN)


@pytest.mark.parametrize("prepare", [block_all_signals, ignore_all_signals])
@pytest.mark.parametrize("number", STOP_SIGNALS)
def test_a_process_hears_what_its_launcher_blocked_or_ignored(vm, prepare, number):
    """Guards against a process that is killed after its grace period."""
    vm.start(preexec_fn=prepare)
    vm.assert_serves()
    vm.signal(signal.SIGHUP)
    vm.wait_for_line("process: settings reloaded")
    assert_stops(vm, number)
    is_mask_corrected = "process: inherited state corrected" in vm.log()
    assert is_mask_corrected == (prepare is block_all_signals)


@pytest.mark.parametrize("number", STOP_SIGNALS)
def test_a_blocked_stop_during_the_start_is_not_lost(vm, number):
    """Guards against a pending signal that meets its default action."""
    vm.start(preexec_fn=block_all_signals)
    assert_stops(vm, number)


@pytest.mark.parametrize("age_ms", range(0, 61, 12))
def test_a_blocked_reload_of_any_age_ends_no_start(vm, age_ms):
    """Guards against SIGHUP's default action while the interpreter starts."""
    vm.start(preexec_fn=block_all_signals)
    time.sleep(age_ms / 1000.0)
    vm.signal(signal.SIGHUP)
    vm.assert_serves()
    assert_stops(vm)


@pytest.mark.parametrize("closed", [(0, 1, 2), (0,), (1,), (2,)])
def test_a_socket_never_gets_the_number_of_a_standard_descriptor(vm, closed):
    """Guards against log lines in a connection, and a stop that ends with status 1."""
    vm.start(preexec_fn=lambda: close_all(closed))
    vm.assert_serves()
    descriptors = Path(f"/proc/{vm.process.pid}/fd")
    assert {os.readlink(descriptors / str(n)) for n in closed} == {os.devnull}
    assert_stops(vm)
