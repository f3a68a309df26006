"""An allocation that fails in one exchange harms no other request."""

import subprocess
import sys
from pathlib import Path

import gevent
import pytest
from hornbeamstand_core.messages import NO_MEMORY
from hornbeamstand_entry.tasks import connections, memory_errors
from hornbeamstand_entry.tasks.byte_budget import ByteBudget
from hornbeamstand_entry.tasks.failures import (
    EXIT_TASK_FAILED,
    handle_loop_failures,
)
from hornbeamstand_entry.tasks.memory_errors import (
    RESERVE_BYTES,
    MemoryReserve,
    note_failed_allocation,
    relieve_with,
)
from hornbeamstand_entry.tasks.response_parser import ResponseParser

from tests.answering_server import send, start_pool

PATIENCE_MS = 3000.0


def find_no_memory(*args, **kwargs):
    raise MemoryError


def run_full_process(start):
    """Run a process that starts greenlets while it can't allocate any pages.

    Returns its exit status, and the numbers of greenlets that ended and that ran.
    """
    script = Path(__file__).with_name("full_process.py")
    command = [sys.executable, script, start]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return done.returncode, done.stdout.split()


@pytest.fixture
def pool(stack):
    return start_pool(stack)


@pytest.mark.parametrize("failing", [[], ["report_failure"], ["report_failure", "hub"]])
def test_an_exchange_without_memory_fails_alone(stack, pool, monkeypatch, failing):
    """Guards against a process that ends because the report of an error failed too."""
    ended = []
    monkeypatch.setattr("os._exit", ended.append)
    handle_loop_failures(stack)
    with monkeypatch.context() as patch:
        patch.setattr(connections, "read_response", find_no_memory)
        if "report_failure" in failing:
            patch.setattr(connections, "report_failure", find_no_memory)
        if "hub" in failing:
            patch.setattr(type(gevent.get_hub()), "print_exception", find_no_memory)
        result = send(pool)
        gevent.sleep(0.01)
    assert (result.kind, result.may_have_run) == (NO_MEMORY, True)
    assert send(pool).body == b"ok"
    assert ended == []


def test_an_exchange_whose_connection_can_call_nothing_fails_at_once(pool, monkeypatch):
    """Guards against exchanges that open connections in a loop until they time out."""
    started = []

    def start_without_memory(*args):
        started.append(args)
        return gevent.spawn(find_no_memory)

    with monkeypatch.context() as patch:
        patch.setattr(connections, "spawn", start_without_memory)
        result = send(pool)
    assert (result.kind, result.may_have_run) == (NO_MEMORY, False)
    assert len(started) == 1
    assert send(pool).body == b"ok"


def test_greenlets_that_can_call_nothing_end_alone():
    """Guards against a process that ends because a greenlet can't report its error."""
    assert run_full_process("spawn") == (0, ["20", "0"])


def test_a_supervised_greenlet_that_can_call_nothing_ends_the_process():
    assert run_full_process("spawn_supervised") == (EXIT_TASK_FAILED, [])


def test_a_response_without_room_in_the_budget_blames_no_target(pool):
    budget = ByteBudget(100)
    budget.hold().grow_to(100)
    pool.rules.answer_budget = budget
    result = send(pool)
    assert (result.kind, result.may_have_run) == (NO_MEMORY, True)


def test_memory_is_freed_when_the_parser_finds_none(stack, pool, monkeypatch):
    """Guards against failed allocations that pass for malformed responses."""
    noted = []
    relieve_with(lambda: noted.append(True), stack)
    with monkeypatch.context() as patch:
        patch.setattr(ResponseParser, "_on_body", find_no_memory)
        result = send(pool)
    assert (result.kind, result.may_have_run) == (NO_MEMORY, True)
    assert noted == [True]
    assert send(pool).body == b"ok"


def test_the_reserve_takes_no_resident_memory():
    script = Path(__file__).with_name("reserve_process.py")
    done = subprocess.run([sys.executable, script], capture_output=True, check=True)
    assert int(done.stdout) < RESERVE_BYTES // 2


def test_the_reserve_is_given_up_at_a_failure_and_taken_again(stack, monkeypatch):
    monkeypatch.setattr(memory_errors, "RESTORE_DELAY_MS", 1.0)
    reserve = MemoryReserve()
    relieve_with(reserve.release, stack)
    keeper = gevent.spawn(reserve.restore_forever)
    stack.callback(keeper.kill)
    note_failed_allocation()
    assert not reserve.is_held
    with gevent.Timeout(PATIENCE_MS / 1000.0):
        while not reserve.is_held:
            gevent.sleep(0.001)
