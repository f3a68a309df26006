"""Errors that nobody foresaw: their requests fail at once, and nothing waits on."""

import errno
from types import SimpleNamespace

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer
from hornbeamstand_core.edge_node_messages import FetchConfig
from hornbeamstand_core.messages import BROKEN_RESPONSE, CONNECT_FAILED
from hornbeamstand_entry.clock import make_process_clock
from hornbeamstand_entry.edge import heartbeats, store_client
from hornbeamstand_entry.edge.config_copies import ConfigCopies, compress_copy
from hornbeamstand_entry.edge.store_client import StoreClient
from hornbeamstand_entry.edge.store_era import StoreEra
from hornbeamstand_entry.tasks import connections, datagram_reads, datagrams
from hornbeamstand_entry.tasks.failures import report_failures_to
from hornbeamstand_entry.tasks.response_messages import CompleteResponse

from tests.answering_server import (
    AT_ONCE_MS,
    make_exchange,
    send,
    start_pool,
)

# Number of reads in a row that find no memory.
N_FAILURES = 3


@pytest.fixture
def reports(stack):
    found = []
    report_failures_to(lambda *report: found.append(report), stack)
    return found


class FailingSocket(socket.socket):
    """Fails its first reads, and then reads one datagram."""

    n_reads = 0
    error = None

    def recvfrom(self, *args):
        self.n_reads += 1
        if self.n_reads <= N_FAILURES:
            raise self.error
        if self.n_reads == N_FAILURES + 1:
            return b"x", ("127.0.0.1", 1)
        gevent.sleep(60)


def fail(*args):
    raise RuntimeError("can't start new thread")


@pytest.mark.parametrize("step", ["connect", "is_unusable"])
def test_unexpected_error_before_the_send_is_a_failure_that_did_not_run(
    stack, reports, monkeypatch, step
):
    pool = start_pool(stack)
    assert send(pool).status_code == 200
    gevent.sleep(0.01)
    with monkeypatch.context() as patch:
        patch.setattr(connections, step, fail)
        if step == "connect":
            pool._idle.clear()
        result = send(pool)
    assert (result.kind, result.may_have_run) == (CONNECT_FAILED, False)
    assert "can't start new thread" in result.peer
    assert [str(error) for _, error, _ in reports] == ["can't start new thread"]


@pytest.mark.parametrize("step", ["read_response", "note_error"])
def test_unexpected_error_after_the_send_is_a_failure_that_may_have_run(
    stack, reports, monkeypatch, step
):
    pool = start_pool(stack)
    monkeypatch.setattr(connections, step, fail)
    result = send(pool)
    assert (result.kind, result.may_have_run) == (BROKEN_RESPONSE, True)
    assert len(reports) == 1


def test_unexpected_error_while_the_body_is_sent_ends_the_exchange(
    stack, reports, monkeypatch
):
    def serve(sock, _):
        while sock.recv(65536):
            continue

    pool = start_pool(stack)
    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    stack.callback(server.stop, timeout=0)
    pool.address = f"127.0.0.1:{server.server_port}"
    monkeypatch.setattr(socket.socket, "sendall", fail)
    result = send(pool, body=b"x" * 100_000)
    assert (result.kind, result.may_have_run) == (BROKEN_RESPONSE, True)
    assert len(reports) == 1


def test_pool_goes_on_after_an_unexpected_error_of_a_connection(
    stack, reports, monkeypatch
):
    pool = start_pool(stack)
    with monkeypatch.context() as patch:
        patch.setattr(connections, "connect", fail)
        send(pool)
    assert send(pool).status_code == 200
    assert len(reports) == 1


def test_connection_that_is_cancelled_before_it_starts_leaves_nothing_behind(stack):
    pool = start_pool(stack)
    exchange = make_exchange(pool)
    pool._assign(exchange)
    exchange.cancel()
    gevent.sleep(0.01)
    assert pool.is_unused


def test_exchange_on_a_connection_that_an_earlier_one_cancelled_is_sent_on_another(
    stack,
):
    """The cancelling runs in the loop's turn in which the connection got idle."""
    pool = start_pool(stack)
    assert send(pool).status_code == 200
    gevent.sleep(0.01)
    exchange = make_exchange(pool)
    pool._idle[0].task.greenlet.kill(block=False)
    pool._assign(exchange)
    assert exchange.receive_result(AT_ONCE_MS).status_code == 200


@pytest.mark.parametrize(
    "error", [OSError(errno.ENOBUFS, "no buffer space available"), MemoryError()]
)
@pytest.mark.parametrize("module", [heartbeats, datagrams])
def test_receiver_of_datagrams_outlives_a_lack_of_memory_without_spinning(
    stack, reports, monkeypatch, module, error
):
    monkeypatch.setattr(FailingSocket, "error", error)
    received = []
    address = ("127.0.0.1", 0)
    if module is heartbeats:
        control_task = SimpleNamespace(post=received.append)
        monkeypatch.setattr(heartbeats.socket, "socket", FailingSocket)
        task = heartbeats.HeartbeatTask(*address, control_task, None)
        monkeypatch.setattr(heartbeats, "decode_heartbeat", lambda raw, ip: raw)
    else:
        post = SimpleNamespace(post=received.append)
        task = datagrams.Datagrams(FailingSocket(), SimpleNamespace(task=post))
        monkeypatch.setattr(datagrams, "decode_datagram", lambda raw: raw)
    monkeypatch.setattr(datagram_reads, "RETRY_DELAY_MS", 1.0)
    task.start(stack)
    with gevent.Timeout(AT_ONCE_MS / 1000.0):
        while not received:
            gevent.sleep(0.01)
    assert received[0] == b"x"
    assert [reported for _, reported, _ in reports] == [error] * N_FAILURES


def test_answer_of_the_store_that_finds_no_memory_is_a_failed_call(
    stack, reports, monkeypatch
):
    response = CompleteResponse(200, [], [b"{}"], "GET", False)
    monkeypatch.setattr(store_client, "call", lambda *args, **values: response)
    codec = SimpleNamespace(
        range_request=lambda *args: SimpleNamespace(
            method="GET", path="/", body=b"", wait_ms=0.0
        ),
        decode_page=fail,
        era_header="Era",
    )
    client = StoreClient(
        "127.0.0.1:1", codec, None, make_process_clock(), 100.0, StoreEra(None)
    )
    assert "can't start" in str(client.read_all("").err_value)
    assert [name for name, _, _ in reports] == ["store-client"]


def test_copy_of_a_peer_that_finds_no_memory_leaves_the_task_running(stack, reports):
    lines = []
    log = SimpleNamespace(info=lambda event, **fields: lines.append(event))
    copies = ConfigCopies(None, 80, fail, None, make_process_clock(), log)
    response = CompleteResponse(200, [], [compress_copy(b"{}")], "GET", False)
    copies._take_answer(FetchConfig("10.0.0.2", 7), response)
    assert lines == ["config: no copy"]
    assert [name for name, _, _ in reports] == ["config-copies"]


def test_request_is_answered_when_the_report_of_its_error_fails(stack, monkeypatch):
    report_failures_to(fail, stack)
    pool = start_pool(stack)
    monkeypatch.setattr(connections, "connect", fail)
    result = send(pool)
    assert (result.kind, result.may_have_run) == (CONNECT_FAILED, False)
