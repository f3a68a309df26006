"""Failures of tasks that nobody foresaw, and what the log says of them."""

import subprocess
import sys
import textwrap

import msgspec
from hornbeamstand_entry.tasks.task import EXIT_TASK_FAILED

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
    status, lines = run_process("""
        for _ in range(900):
            log.warning("answer: refused")
        Task("control-task").start(fail, stack)
    """)
    assert status == EXIT_TASK_FAILED
    assert lines[-2]["event"] == "process: task failed"


def test_failed_task_ends_the_process_when_its_line_cannot_be_written():
    status, lines = run_process("""
        log.lines.render = lambda line: fail()
        Task("control-task").start(fail, stack)
    """)
    assert status == EXIT_TASK_FAILED
    assert lines == []
