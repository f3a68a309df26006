"""Writing to an output never waits, whatever kind of output it is."""

import os
import socket
import subprocess
import sys

import gevent
import pytest
from hornbeamstand_entry.life import output
from hornbeamstand_entry.life.output import OutputStream, make_writer

CHUNK = b"x" * 4096


@pytest.fixture
def pipe():
    descriptors = os.pipe()
    yield descriptors
    for descriptor in descriptors:
        os.close(descriptor)


def fill(write):
    with pytest.raises(BlockingIOError):
        while write(CHUNK):
            pass


def test_a_pipe_that_can_not_be_opened_again_is_never_waited_for(pipe, monkeypatch):
    """Guards against writes that wait where /proc is missing."""
    monkeypatch.setattr(output, "make_reopened_writer", lambda descriptor: None)
    fill(make_writer(pipe[1]))
    assert os.get_blocking(pipe[1])


FAILURE_IN_THE_EVENT_LOOP = """
from gevent import monkey
monkey.patch_all()
import sys
import gevent
from hornbeamstand_entry.life import output
output.make_reopened_writer = lambda descriptor: None
sys.stderr = output.OutputStream(2)
gevent.get_hub().loop.run_callback(lambda: 1 / 0)
gevent.sleep(0.01)
"""


def test_a_patched_process_writes_the_errors_of_its_event_loop():
    """Guards against gevent's poll, which raises there: the traceback would be lost."""
    run = subprocess.run(
        [sys.executable, "-c", FAILURE_IN_THE_EVENT_LOOP],
        capture_output=True,
        timeout=10.0,
    )
    assert run.returncode == 0
    assert b"ZeroDivisionError: division by zero" in run.stderr
    assert b"BlockingSwitchOutError" not in run.stderr


def test_a_path_that_leads_to_another_file_is_not_written_to(
    pipe, tmp_path, monkeypatch
):
    """Guards against log lines in a file that isn't the output."""
    other = tmp_path / "other"
    other.touch()
    system_open = os.open
    monkeypatch.setattr(os, "open", lambda path, flags: system_open(other, flags))
    make_writer(pipe[1])(b"line")
    assert os.read(pipe[0], 100) == b"line"
    assert other.read_bytes() == b""


def test_a_socket_without_a_free_descriptor_is_never_waited_for(monkeypatch):
    reader, writer = socket.socketpair()
    monkeypatch.setattr(output, "make_socket_writer", lambda descriptor: None)
    with reader, writer:
        fill(make_writer(writer.fileno()))


def test_lines_are_appended_to_a_file_that_others_write_to(tmp_path):
    """Guards against an offset of its own, which would write over others' lines."""
    with open(tmp_path / "log", "wb", buffering=0) as file:
        write = make_writer(file.fileno())
        file.write(b"launcher\n")
        write(b"line\n")
        file.write(b"launcher\n")
    assert (tmp_path / "log").read_text() == "launcher\nline\nlauncher\n"


def test_an_error_in_a_greenlet_does_not_wait_for_the_reader(pipe, monkeypatch):
    fill(make_writer(pipe[1]))
    monkeypatch.setattr(sys, "stderr", OutputStream(pipe[1]))
    greenlet = gevent.spawn(lambda: 1 / 0)
    greenlet.join(10.0)
    assert isinstance(greenlet.exception, ZeroDivisionError)


def test_an_error_in_a_greenlet_is_written(pipe, monkeypatch):
    monkeypatch.setattr(sys, "stderr", OutputStream(pipe[1]))
    gevent.spawn(lambda: 1 / 0).join()
    assert b"ZeroDivisionError" in os.read(pipe[0], 1 << 16)


def test_a_text_that_was_cut_does_not_run_into_the_next(pipe):
    stream = OutputStream(pipe[1])
    while not stream._is_cut:
        stream.write("x" * 4096)
    os.read(pipe[0], 1 << 20)
    stream.write("next")
    assert os.read(pipe[0], 1 << 20) == b"\nnext"
