"""Responses without a length whose connection is reset instead of ended."""

import errno
import os
from contextlib import ExitStack, closing, suppress

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from hornbeamstand_core.messages import BROKEN_RESPONSE, SendFailure
from hornbeamstand_entry.tasks.streams import BrokenStreamError, Stream
from hypothesis import given
from hypothesis import strategies as st

from tests.open_ended_target import PART, OpenEndedTarget


def test_an_error_that_the_reader_of_a_response_misses_is_reported(stack):
    target = OpenEndedTarget(stack)
    target.reset()
    target.exchange.may_have_arrived()
    target.receive_result()
    (report,) = target.reports
    fields = report.describe()
    assert (fields["at"], fields["request"]) == (target.pool.address, "a7")
    assert (fields["step"], fields["n_body_bytes"]) == ("look", len(PART))
    assert "ConnectionResetError" in fields["reason"]
    assert target.reads.gauges()["response_errors_look"]() == 1


def test_an_error_that_the_reader_of_a_response_gets_is_counted_alone(stack):
    target = OpenEndedTarget(stack)
    target.reset()
    target.receive_result()
    assert target.reports == []
    assert target.reads.gauges()["response_errors_read"]() == 1


def is_failed_send(result):
    """Return whether a send counts against its target, and as one that may have run."""
    if not isinstance(result, SendFailure):
        return False
    return (result.kind, result.may_have_run) == (BROKEN_RESPONSE, True)


def test_a_response_reset_as_a_timer_looks_for_its_rest_is_not_complete(stack):
    """Guards against a 200 with a part of the body, if a look takes the error."""
    target = OpenEndedTarget(stack)
    target.reset()
    assert not target.exchange.may_have_arrived()
    assert is_failed_send(target.receive_result())


def test_a_response_reset_while_its_upload_is_sent_is_not_complete(stack):
    """Guards against a 200 with a part of the body, if the sender takes the error."""
    target = OpenEndedTarget(stack, upload=bytes(16 << 20))
    assert not target.exchange.is_whole_sent
    target.reset()
    # As the sender does, if it runs before the reader.
    with pytest.raises(OSError):
        target.exchange.connection.stream.send(b"x")
    assert is_failed_send(target.receive_result())


def test_a_response_whose_upload_failed_here_is_not_complete(stack, monkeypatch):
    """Guards against a 200 with a part of the body, if this VM ends the connection."""
    failing = Event()

    def find_no_memory(stream, data):
        failing.wait()
        raise MemoryError

    monkeypatch.setattr(Stream, "sendall", find_no_memory)
    target = OpenEndedTarget(stack, upload=b"x")
    failing.set()
    assert is_failed_send(target.receive_result())


def look(target):
    target.exchange.may_have_arrived()


def end_sending(target):
    target.exchange.end_sending()


def count(target):
    target.exchange.connection.stream.count_unread_bytes()


def send(target):
    # Nothing is sent after the end of the sending side.
    if not target.exchange.has_ended_sending:
        with suppress(OSError):
            target.exchange.connection.stream.send(b"x")


def let_others_run(target):
    gevent.sleep(0)


calls = st.lists(
    st.sampled_from([look, look, end_sending, count, send, let_others_run]), max_size=4
)


@pytest.mark.fuzz
@given(calls, st.binary(max_size=20), st.booleans(), calls)
def test_only_a_response_that_its_target_ended_is_complete(
    calls_before, rest, is_reset, calls_after
):
    """Guards against a reset that passes for an end, whichever call gets its error."""
    with ExitStack() as stack:
        target = OpenEndedTarget(stack)
        for call in calls_before:
            call(target)
        target.peer.sendall(rest)
        if is_reset:
            target.reset()
        else:
            target.end()
        for call in calls_after:
            call(target)
        result = target.receive_result()
        if is_reset:
            assert is_failed_send(result)
        else:
            assert result.body == PART + rest


class FailedSocket:
    """Tells an error once, and then an ordinary end, as the system does."""

    def __init__(self, code):
        self._sock = self
        self._errors = [OSError(code, os.strerror(code))]

    def recv(self, *args):
        if self._errors:
            raise self._errors.pop()
        return b""

    def send(self, data):
        return self.recv()

    sendall = send


@pytest.mark.parametrize("code", [errno.ETIMEDOUT, errno.EPIPE, errno.EHOSTUNREACH])
@pytest.mark.parametrize(
    "call",
    [Stream.has_bytes, lambda each: each.send(b"x"), lambda each: each.sendall(b"x")],
)
def test_an_end_after_an_error_of_any_kind_is_that_error(code, call):
    """Guards against keepalive and user timeouts that pass for an end."""
    stream = Stream(FailedSocket(code))
    with suppress(OSError):
        call(stream)
    with pytest.raises(BrokenStreamError):
        stream.recv(1)


def test_an_end_that_this_vm_made_after_an_error_is_no_end():
    """Guards against a 200 with a part of the body, if the reader was not waiting."""
    ours, theirs = socket.socketpair()
    with closing(Stream(ours)) as stream, theirs:
        stream.fail(MemoryError())
        with pytest.raises(BrokenStreamError):
            stream.recv(1)


def test_an_end_without_an_error_is_an_end():
    ours, theirs = socket.socketpair()
    with closing(Stream(ours)) as stream, theirs:
        theirs.shutdown(socket.SHUT_WR)
        assert not stream.has_bytes()
        assert stream.recv(1) == b""
