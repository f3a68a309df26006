"""Clients that hold memory of a VM at the addresses for operators and peers.

None ends the VM or keeps callers out. The bounds are the memory and the descriptors
that the settings and the system give the VM.
"""

from contextlib import ExitStack

import gevent
import grpc
import pytest

from standins.process_limits import ProcessLimits

from .crowds import HOLD_S, Crowd, assert_holds, wait_until_served
from .programs import PROGRAMS
from .test_crowds_callers import (
    FEW_DESCRIPTORS,
    MEMORY_MB,
    N_DESCRIPTORS_MAX,
    idle_connections,
    large_bodies,
    limit_memory,
    many_header_lines,
)

ADMIN_PATH = "/status"
FETCH_STATE = "/hornbeamstand.Peer/FetchState"
LARGE_MESSAGE_BYTES = 3_900_000
N_CHANNELS = 40
N_CALLS = 5
CALL_TIMEOUT_S = 6.0
# Idle time that is longer than the wait for an ordinary request.
CALLER_IDLE_MS = 60_000


CROWDS = [
    large_bodies,
    many_header_lines,
    idle_connections,
]


@pytest.mark.parametrize("program", PROGRAMS)
@pytest.mark.parametrize("send", CROWDS, ids=lambda send: send.__name__)
def test_a_crowd_at_the_admin_address_ends_no_vm(tmp_path, program, send):
    """Guards against clients that take memory at the address for operators."""
    with PROGRAMS[program](tmp_path) as vm, ExitStack() as stack:
        limit_memory(vm, MEMORY_MB[program])
        vm.start()
        wait_until_served(vm.is_serving)
        ip, port = vm.address("admin" if program == "own mode" else "metrics")
        send(Crowd((ip, port), stack), ADMIN_PATH)
        gevent.sleep(HOLD_S)
        wait_until_served(vm.is_serving)
        assert_holds(vm.process, ip, MEMORY_MB[program], N_DESCRIPTORS_MAX)


@pytest.mark.parametrize(
    "program, listener",
    [
        ("platform", "metrics"),
        ("platform", "ready"),
        ("own mode", "admin"),
        ("own mode", "peer"),
    ],
)
def test_connections_for_operators_leave_descriptors_to_callers(
    tmp_path, program, listener
):
    """Guards against idle connections that keep callers out at another address."""
    with PROGRAMS[program](tmp_path) as vm, ExitStack() as stack:
        if program == "own mode":
            vm.vm.write_settings(caller_idle_ms=CALLER_IDLE_MS)
        vm.start(preexec_fn=ProcessLimits(n_descriptors=FEW_DESCRIPTORS).apply)
        wait_until_served(vm.is_serving)
        ip, port = vm.address(listener)
        Crowd((ip, port), stack).send(b"", 2 * FEW_DESCRIPTORS)
        gevent.sleep(HOLD_S)
        wait_until_served(vm.is_serving)
        assert_holds(vm.process, ip, MEMORY_MB[program], FEW_DESCRIPTORS)


def call_with_large_messages(address, stack):
    """Send large messages to a peers' port at once; return how each call ended."""
    calls = []
    for _ in range(N_CHANNELS):
        options = [("grpc.use_local_subchannel_pool", 1)]
        channel = stack.enter_context(grpc.insecure_channel(address, options))
        fetch = channel.unary_unary(FETCH_STATE)
        calls += [
            fetch.future(bytes(LARGE_MESSAGE_BYTES), timeout=CALL_TIMEOUT_S)
            for _ in range(N_CALLS)
        ]
    return [call.code() for call in calls]


def test_large_messages_at_the_peers_port_end_no_vm(tmp_path):
    """Guards against calls whose messages are kept until a thread is free."""
    with PROGRAMS["own mode"](tmp_path) as vm, ExitStack() as stack:
        limit_memory(vm, MEMORY_MB["own mode"])
        vm.start()
        wait_until_served(vm.is_serving)
        ip, port = vm.address("peer")
        codes = call_with_large_messages(f"{ip}:{port}", stack)
        assert grpc.StatusCode.OK not in codes
        wait_until_served(vm.is_serving)
        assert_holds(vm.process, ip, MEMORY_MB["own mode"], N_DESCRIPTORS_MAX)
