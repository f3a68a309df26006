"""Failures of tasks that nobody foresaw, and what the log says of them."""

import re
import subprocess
import sys
import textwrap
from pathlib import Path

import hornbeamstand_entry
import msgspec
import pytest
from hornbeamstand_entry.tasks.failures import EXIT_TASK_FAILED

START = """
from contextlib import ExitStack
import gevent
from hornbeamstand_entry.clock import make_process_clock
from hornbeamstand_entry.edge.logs import EdgeLog
from hornbeamstand_entry.tasks.task import Task

stack = ExitStack()
log = EdgeLog.from_config("vm1", make_process_clock())
log.start(stack)

def fail():
    raise MemoryError("none left")
"""


START_WATCHER = """
from types import SimpleNamespace
from hornbeamstand_core.edge_node_messages import WATCH_ALL, SetWatch
from hornbeamstand_entry.edge.dialect import StorePage
from hornbeamstand_entry.edge.store_watcher import StoreWatcher
from result import Ok

store = SimpleNamespace(codec=SimpleNamespace(operator_prefix="op/"))
store.read_all = lambda *args: Ok(StorePage([], 5))
store.watch = lambda *args: Ok(StorePage([], 5))
control_task = SimpleNamespace(post=lambda message: None)
watcher = StoreWatcher(store, control_task, log)
"""
START_HEARTBEATS = """
from types import SimpleNamespace
from hornbeamstand_entry.edge import heartbeats
task = heartbeats.HeartbeatTask("127.0.0.1", 0, None, log)
heartbeats.decode_heartbeat = lambda raw, ip: fail()
task.start(stack)
port = task._sock.getsockname()[1]
task._sock.sendto(b"x", ("127.0.0.1", port))
"""
START_POOLS = """
from hornbeamstand_entry.tasks import pools
pools.SWEEP_INTERVAL_MS = 1.0
pools.Pools.sweep = lambda self: fail()
pools.Pools(make_process_clock(), stack)
"""
START_REGISTRATION = """
from hornbeamstand_entry.edge import registration as registration_module
from hornbeamstand_entry.edge.registration import Registration
registration_module.REGISTRATION_DELAY_MS = 1.0
store.grant_lease = lambda ttl_ms: fail()
registration = Registration(store, "key", b"", log)
registration.start(stack)
registration.set_watch(SetWatch(WATCH_ALL))
"""
FAIL_FIRST_READ = """
store.read_all = lambda *args: fail()
watcher.start(stack)
"""
FAIL_RESTARTED_WATCH = """
watcher.start(stack)
gevent.sleep(0.01)
store.watch = lambda *args: fail()
watcher.set_watch(SetWatch(WATCH_ALL))
"""
START_EDGE = """
from types import SimpleNamespace
from result import Ok
from hornbeamstand_entry.life import reloading, running
from hornbeamstand_entry.life.program import Program

def open_log(settings, clock, stack):
    log.start(stack)
    return log

settings = SimpleNamespace(front_address="127.0.0.1:1")
process = SimpleNamespace(settings=settings)
program = Program(
    load_settings=lambda: Ok(settings),
    open_log=open_log,
    open_sockets=lambda settings: True,
    start=lambda *args: process,
    reloaded_fields=frozenset(),
    apply_settings=lambda process: None,
    stop=lambda process, signals: None,
)
"""
FAIL_STOP = """
running.wait_for_stop = lambda *args: fail()
running.run_until_stopped(program)
"""
FAIL_CALLBACK = """
def wait_for_stop(*args):
    gevent.get_hub().loop.run_callback(fail)
    gevent.sleep(5)

running.wait_for_stop = wait_for_stop
running.run_until_stopped(program)
"""
FAIL_ACCEPT = """
from gevent.server import StreamServer
server = StreamServer(("127.0.0.1", 0), fail)
server.do_read = fail
running.wait_for_stop = lambda *args: gevent.sleep(0.2)
server.start()
address = ("127.0.0.1", server.server_port)
gevent.socket.create_connection(address)
running.run_until_stopped(program)
raise SystemExit(0)
"""
FAIL_ACCEPTED = """
from gevent.server import StreamServer
server = StreamServer(("127.0.0.1", 0), fail, spawn=lambda *args: fail())
running.wait_for_stop = lambda *args: gevent.sleep(0.2)
server.start()
address = ("127.0.0.1", server.server_port)
gevent.socket.create_connection(address)
running.run_until_stopped(program)
raise SystemExit(0)
"""
FAIL_GREENLET = """
running.wait_for_stop = lambda *args: gevent.sleep(0.2)
gevent.spawn(fail)
running.run_until_stopped(program)
raise SystemExit(0)
"""
FAIL_RELOAD = """
program.load_settings = fail
reloading.reload(program, process, log)
log.lines.flush()
raise SystemExit(0)
"""
ENTRY = Path(hornbeamstand_entry.__file__).parent


def run_process(body):
    """Run code after START in a process; return its status and its log lines."""
    code = textwrap.dedent(START) + textwrap.dedent(body) + "gevent.sleep(5)\n"
    ended = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, timeout=30, check=False
    )
    lines = [msgspec.json.decode(line) for line in ended.stdout.splitlines()]
    return ended.returncode, lines


def test_failed_task_is_named_after_the_buffered_lines_before_the_process_ends():
    status, lines = run_process("""
        log.info("answer: sent", status=200)
        Task("pool 10.0.0.1:80").start(fail, stack)
    """)
    assert status == EXIT_TASK_FAILED
    assert [line["event"] for line in lines] == ["answer: sent", "process: task failed"]
    assert lines[-1]["task"] == "pool 10.0.0.1:80"
    assert "none left" in lines[-1]["error"]


def test_failed_task_is_named_when_the_rate_of_lines_is_exceeded():
    # The lines may fall into two seconds, each with its own rate.
    status, lines = run_process("""
        for _ in range(1700):
            log.warning("answer: refused")
        Task("control-task").start(fail, stack)
    """)
    assert status == EXIT_TASK_FAILED
    assert [line["event"] for line in lines[-2:]] == [
        "log: lines left out",
        "process: task failed",
    ]


def test_failed_task_is_named_when_no_other_line_can_be_rendered():
    status, lines = run_process("""
        log.lines.render = lambda line: fail()
        log.info("answer: sent")
        Task("control-task").start(fail, stack)
    """)
    assert status == EXIT_TASK_FAILED
    assert lines[0] == {"event": "log: lines left out", "n_lines": 1}
    assert lines[1]["event"] == "process: task failed"
    assert lines[1]["vm"] == "vm1"


def test_failed_task_ends_the_process_when_its_line_cannot_be_written():
    status, lines = run_process("""
        type(log.lines).flush_last = lambda self, text: fail()
        Task("control-task").start(fail, stack)
    """)
    assert status == EXIT_TASK_FAILED
    assert lines == []


@pytest.mark.parametrize(
    "name, body",
    [
        ("store-watcher", START_WATCHER + FAIL_FIRST_READ),
        ("store-watcher", START_WATCHER + FAIL_RESTARTED_WATCH),
        ("registration", START_WATCHER + START_REGISTRATION),
        ("heartbeat-receiver", START_HEARTBEATS),
        ("pool-sweeper", START_POOLS),
        ("lifecycle", START_EDGE + FAIL_STOP),
        ("event-loop", START_EDGE + FAIL_CALLBACK),
    ],
)
def test_no_greenlet_ends_alone_while_the_process_lives_on(name, body):
    status, lines = run_process(body)
    assert status == EXIT_TASK_FAILED
    assert lines[-1]["event"] == "process: task failed"
    assert lines[-1]["task"] == name


def count_in_sources(pattern):
    """Return the number of matches in each source file that has any."""
    counts = {
        str(path.relative_to(ENTRY)): len(re.findall(pattern, path.read_text()))
        for path in ENTRY.rglob("*.py")
    }
    return {path: n for path, n in counts.items() if n}


def test_every_greenlet_keeps_nothing_after_a_kill():
    assert count_in_sources(r"gevent\.spawn\(") == {"tasks/greenlets.py": 1}


def test_every_greenlet_is_supervised_or_settles_its_exchange():
    """Those of connections report their end to their pool or to their reader."""
    unsupervised = count_in_sources(r"(?<!gevent\.)(?<!def )\bspawn\(")
    assert unsupervised == {"tasks/failures.py": 1, "tasks/connections.py": 2}


def test_settings_that_cannot_be_read_for_want_of_memory_change_nothing():
    status, lines = run_process(START_EDGE + FAIL_RELOAD)
    assert status == 0
    assert [line["event"] for line in lines] == ["process: reload failed"]
    assert "MemoryError('none left')" in lines[0]["error"]


def test_failed_task_ends_the_process_before_anything_else_runs():
    """What runs later may find no memory to end the process."""
    status, lines = run_process("""
        Task("control-task").start(fail, stack)
        gevent.spawn(log.info, "answer: sent")
    """)
    assert status == EXIT_TASK_FAILED
    assert [line["event"] for line in lines] == ["process: task failed"]


@pytest.mark.parametrize(
    "part, body",
    [
        ("acceptor", FAIL_ACCEPT),
        ("acceptor", FAIL_ACCEPTED),
        ("greenlet", FAIL_GREENLET),
    ],
)
def test_error_that_only_the_event_loop_learns_of_is_logged(part, body):
    status, lines = run_process(START_EDGE + body)
    assert status == 0
    errors = [line for line in lines if line["event"] == "process: unexpected error"]
    assert {line["part"] for line in errors} == {part}
    assert "none left" in errors[0]["error"]
