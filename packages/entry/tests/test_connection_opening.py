"""Connections that are opened, or that can't be."""

import gc
import os
import socket

import gevent
import pytest
from gevent import socket as gevent_socket
from gevent.queue import SimpleQueue
from hornbeamstand_core.messages import SendFailure
from hornbeamstand_entry.clock import make_process_clock
from hornbeamstand_entry.tasks import failures
from hornbeamstand_entry.tasks import pools as pools_module
from hornbeamstand_entry.tasks.connection_rules import ConnectionRules
from hornbeamstand_entry.tasks.exchange import Exchange
from hornbeamstand_entry.tasks.pools import ConnectionPool, Pools

from tests.scripted_server import (
    REQUEST,
    ScriptedServer,
    body,
    fill_backlog,
    open_three,
    send,
    start,
)


def test_refused_connection_is_a_failure_that_did_not_run(stack):
    server, pool = start(stack)
    server.stream_server.stop(timeout=0)
    result = send(pool)
    assert isinstance(result, SendFailure)
    assert not result.may_have_run


def test_a_connection_that_opened_while_this_process_was_late_is_used(
    stack, monkeypatch
):
    """Guards against "unreachable" if the timeout is handled before the connection."""
    connect = gevent_socket.socket.connect

    def time_out_late(sock, address):
        connect(sock, address)
        raise TimeoutError("timed out")

    _, pool = start(stack)
    monkeypatch.setattr(gevent_socket.socket, "connect", time_out_late)
    assert body(send(pool)) == b"01"


@pytest.mark.parametrize("port", ["99999", "0", "-1", "9" * 5000, "\u00b2", "x", ""])
def test_an_address_that_cannot_be_one_fails_at_once(stack, port):
    """Guards against requests that wait for their deadline at an odd address."""
    pool = ConnectionPool(f"127.0.0.1:{port}", make_process_clock())
    pool.start(stack)
    result = send(pool, timeout_ms=1000.0)
    assert isinstance(result, SendFailure)
    assert not result.may_have_run


HOSTS = ["localhost", "::1", "[::1]", "1", "127.1", "", "a\0b", "\u00b2", "x" * 5000]


@pytest.mark.parametrize("host", HOSTS)
def test_a_host_that_is_no_ipv4_address_is_not_looked_up(stack, host):
    """Guards against the system threads of look-ups."""
    server, _ = start(stack)
    port = server.address.rpartition(":")[2]
    pool = ConnectionPool(f"{host}:{port}", make_process_clock())
    pool.start(stack)
    result = send(pool)
    assert isinstance(result, SendFailure)
    assert not result.may_have_run
    assert server.n_connections == 0


def test_opening_connections_starts_no_thread(stack):
    """Guards against a process that ends at a limit of its threads or address space."""
    server, pool = start(stack)
    gevent.get_hub().threadpool.kill()
    # One of an earlier test may end meanwhile.
    thread_ids = set(os.listdir("/proc/self/task"))
    open_three(pool)
    assert server.n_connections == 3
    assert set(os.listdir("/proc/self/task")) <= thread_ids


@pytest.mark.parametrize("is_silent", [False, True])
def test_a_connection_that_is_not_opened_leaves_no_descriptor(stack, is_silent):
    """Guards against sockets that stay open after a failed or ended connect."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        if is_silent:
            fill_backlog(listener, stack)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        rules = ConnectionRules(connect_timeout_ms=50.0)
        pool = ConnectionPool(address, make_process_clock(), rules)
        pool.start(stack)
        close_garbage()
        n_open = len(os.listdir("/proc/self/fd"))
        assert isinstance(send(pool), SendFailure)
        assert (send(pool, timeout_ms=20.0) is None) == is_silent
        assert len(os.listdir("/proc/self/fd")) == n_open


def close_garbage():
    """Close the sockets of earlier tests."""
    gevent.sleep(0.02)
    gc.collect()


def fail_once(monkeypatch, owner, name):
    """Let the next call of a function find no memory."""
    function = getattr(owner, name)

    def fail(*args):
        monkeypatch.setattr(owner, name, function)
        raise MemoryError

    monkeypatch.setattr(owner, name, fail)


def test_an_address_is_used_again_after_its_pool_found_no_memory(stack, monkeypatch):
    """Guards against requests that are given to a pool whose task never started."""
    server = ScriptedServer(stack)
    pools = Pools(make_process_clock(), stack)
    not_after_ms = pools.clock.now_ms() + 1000.0
    exchange = Exchange("GET", REQUEST, not_after_ms, False, 1000, SimpleQueue())
    fail_once(monkeypatch, ConnectionPool, "start")
    with pytest.raises(MemoryError):
        pools.post(server.address, exchange)
    pools.post(server.address, exchange)
    assert body(exchange.receive_result(500.0)) == b"01"


def test_a_connection_that_finds_no_memory_fails_only_its_request(stack, monkeypatch):
    """Guards against the end of the process for one connection that can't be opened."""
    ends = []
    monkeypatch.setattr(failures, "exit_on_failure", lambda *args: ends.append(args))
    _, pool = start(stack)
    fail_once(monkeypatch, pools_module, "start_connection")
    result = send(pool, timeout_ms=500.0)
    assert ends == []
    assert isinstance(result, SendFailure) and not result.may_have_run
    assert body(send(pool, timeout_ms=500.0)) == b"01"
