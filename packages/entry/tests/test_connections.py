"""Connections that stop answering, answer late, break or are closed while idle."""

import socket
import time

import gevent
import pytest
from gevent import socket as gevent_socket
from gevent.queue import SimpleQueue
from hornbeamstand_core.messages import SendFailure
from hornbeamstand_entry.clock import make_process_clock
from hornbeamstand_entry.tasks import response_parser
from hornbeamstand_entry.tasks.connection_rules import ConnectionRules
from hornbeamstand_entry.tasks.exchange import Exchange, ExchangeResult
from hornbeamstand_entry.tasks.pools import ConnectionPool, Pools

from tests.scripted_server import (
    ANSWER,
    REQUEST,
    ScriptedServer,
    body,
    fill_backlog,
    open_three,
    send,
    start,
)

# Message of a server that does not answer a request.
SILENT = "silent"
# Timeout that ends no request, however late the event loop is.
PATIENCE_MS = 30_000.0
# Timeout that passes while the event loop does not run.
LATE_MS = 50.0
# Body that is longer than what the buffers of a connection take.
UPLOAD = b"u" * (16 << 20)


def test_connection_is_reused(stack):
    server, pool = start(stack)
    assert [body(send(pool)) for _ in range(3)] == [b"01"] * 3
    assert server.n_connections == 1


def test_connection_closed_while_idle_is_not_reused(stack):
    server, pool = start(stack)
    server.behave = lambda connection, n_request: (
        "last" if connection == 1 else "answer"
    )
    assert body(send(pool)) == b"01"
    assert body(send(pool)) == b"02"


@pytest.mark.parametrize("action", ["short", "unbounded", "close"])
def test_incomplete_answer_is_a_failure_that_may_have_run(stack, action):
    server, pool = start(stack)
    server.behave = lambda connection, n_request: action
    result = send(pool)
    assert isinstance(result, SendFailure)
    assert result.may_have_run


def test_cancelled_exchange_closes_its_connection(stack):
    server, pool = start(stack)
    server.behave = lambda connection, n_request: (
        "none" if connection == 1 else "answer"
    )
    assert send(pool, timeout_ms=50.0) is None
    assert body(send(pool)) == b"02"


def test_unresponsive_connection_retires_all_older_ones(stack):
    server, pool = start(stack)
    open_three(pool)
    assert server.n_connections == 3
    mailbox = SimpleQueue()

    def behave(connection, n_request):
        if connection > 3:
            return "answer"
        mailbox.put(SILENT)
        return "none"

    server.behave = behave
    assert send_unless_silent(pool, mailbox) is None
    # The next requests may still get an older connection, until a new one has answered.
    results = [send_unless_silent(pool, mailbox) for _ in range(4)]
    assert [body(r) for r in results if r is not None][-1] > b"03"
    assert sum(r is None for r in results) <= 2
    assert all(r is not None for r in results[-2:])


def test_connections_older_than_an_unresponsive_one_are_not_kept(stack):
    server, pool = start(stack)
    open_three(pool)
    mailbox = SimpleQueue()
    server.behave = lambda connection, n_request: mailbox.put(SILENT)
    assert send_unless_silent(pool, mailbox) is None
    server.behave = lambda connection, n_request: "answer"
    # Both older connections and a new one answer once more.
    open_three(pool)
    assert server.n_connections == 4
    assert min(open_three(pool)) > b"03"


def send_unless_silent(pool, mailbox):
    """Send one request; time it out once the server says that it won't answer."""
    not_after_ms = pool.clock.now_ms() + PATIENCE_MS
    exchange = Exchange("GET", REQUEST, not_after_ms, False, 1000, mailbox)
    pool.task.post(exchange)
    result = exchange.receive_result(PATIENCE_MS)
    if result is not SILENT:
        return result
    connection = exchange.connection
    exchange.cancel(has_timed_out=True)
    while connection.task in pool._connection_tasks:
        gevent.sleep(0.001)
    return None


def test_caller_disconnect_retires_no_other_connection(stack):
    server, pool = start(stack)
    open_three(pool)
    server.behave = lambda connection, n_request: "none"
    exchange = Exchange(
        "GET", REQUEST, pool.clock.now_ms() + 1000.0, False, 1000, SimpleQueue()
    )
    pool.task.post(exchange)
    gevent.sleep(0.05)
    exchange.cancel()
    server.behave = lambda connection, n_request: "answer"
    assert body(send(pool)) <= b"03"


def test_non_idempotent_request_avoids_a_connection_without_a_recent_answer(stack):
    server, pool = start(stack)
    send(pool)
    assert body(send(pool, needs_recent_response=True)) == b"01"
    pool.clock = make_later_clock(pool.clock, 5000.0)
    assert body(send(pool, needs_recent_response=True)) == b"02"


def make_later_clock(clock, by_ms):
    return type(clock).from_reader(lambda: clock.now_ms() + by_ms)


def test_request_past_its_deadline_is_not_sent(stack):
    server, pool = start(stack)
    exchange = Exchange(
        "GET", REQUEST, pool.clock.now_ms() - 1.0, False, 1000, SimpleQueue()
    )
    pool.task.post(exchange)
    result = exchange.receive_result(1000.0)
    assert isinstance(result, SendFailure)
    assert not result.may_have_run


@pytest.mark.parametrize("is_connecting", [False, True])
def test_nothing_is_sent_for_a_caller_that_left_before_the_first_byte(
    stack, is_connecting
):
    """Guards against a request that reaches a peer without the end of its sender."""
    listener = stack.enter_context(socket.socket())
    listener.bind(("127.0.0.1", 0))
    if is_connecting:
        fill_backlog(listener, stack)
    else:
        listener.listen()
    pool = ConnectionPool(
        f"127.0.0.1:{listener.getsockname()[1]}", make_process_clock()
    )
    pool.start(stack)
    exchange = make_upload(pool, b"")
    pool.task.post(exchange)
    while is_connecting and exchange.connection is None:
        gevent.sleep(0.001)
    exchange.end_sending()
    result = exchange.receive_result(500.0)
    assert isinstance(result, SendFailure)
    assert not result.may_have_run
    gevent.sleep(0.05)
    assert not exchange.is_sent
    assert not pool._connection_tasks


def test_the_end_of_a_caller_follows_a_request_that_is_still_being_sent(stack):
    """Guards against a peer that keeps an order in its queue for nobody."""
    listener = gevent_socket.socket()
    stack.callback(listener.close)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    pool = ConnectionPool(
        f"127.0.0.1:{listener.getsockname()[1]}", make_process_clock()
    )
    pool.start(stack)
    exchange = make_upload(pool, UPLOAD)
    pool.task.post(exchange)
    peer, _ = listener.accept()
    stack.callback(peer.close)
    assert peer.recv(1) == REQUEST[:1]
    assert not exchange.is_whole_sent
    exchange.end_sending()
    assert read_until_end(peer) == len(REQUEST) - 1 + len(UPLOAD)
    peer.sendall(ANSWER + b"01")
    assert body(exchange.receive_result(PATIENCE_MS)) == b"01"
    gevent.sleep(0.05)
    assert not pool._connection_tasks


def make_upload(pool, upload):
    """Return an exchange of a request with a separate body."""
    not_after_ms = pool.clock.now_ms() + PATIENCE_MS
    mailbox = SimpleQueue()
    return Exchange("POST", REQUEST, not_after_ms, True, 1000, mailbox, body=upload)


def read_until_end(sock):
    """Return the number of bytes until the sending side ends; it must end in time."""
    sock.settimeout(5.0)
    n_bytes = 0
    while data := sock.recv(1 << 20):
        n_bytes += len(data)
    return n_bytes


def test_outdated_connections_are_closed_and_unused_pools_removed(stack):
    """Targets come and go at new addresses for as long as a VM runs."""
    server = ScriptedServer(stack)
    pools = Pools(make_process_clock(), stack, ConnectionRules(idle_max_ms=50.0))
    mailbox = SimpleQueue()
    not_after_ms = pools.clock.now_ms() + 1000.0
    exchange = Exchange("GET", REQUEST, not_after_ms, False, 1000, mailbox)
    pools.post(server.address, exchange)
    assert body(exchange.receive_result(1000.0)) == b"01"
    pools.sweep()
    gevent.sleep(0.02)
    assert server.n_open == 1
    gevent.sleep(0.05)
    pools.sweep()
    gevent.sleep(0.02)
    assert server.n_open == 0
    pools.sweep()
    assert pools._pools == {} and pools._stacks == {}


def test_a_late_result_of_an_earlier_exchange_is_dropped():
    mailbox = SimpleQueue()
    earlier, current = (
        Exchange("GET", REQUEST, 1000.0, False, 1000, mailbox) for _ in range(2)
    )
    mailbox.put(ExchangeResult(earlier, "earlier"))
    mailbox.put(ExchangeResult(current, "current"))
    assert current.receive_result(100.0) == "current"


def send_before(stack, answer, n_requests):
    """Send requests; return them once a target has sent each its whole answer.

    This process has read nothing of the answers then.
    """
    listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    pool = ConnectionPool(address, make_process_clock())
    pool.start(stack)
    not_after_ms = pool.clock.now_ms() + 10_000.0
    exchanges = [
        Exchange("GET", REQUEST, not_after_ms, False, 1 << 20, SimpleQueue())
        for _ in range(n_requests)
    ]
    for exchange in exchanges:
        pool.task.post(exchange)
    while not all(exchange.is_sent for exchange in exchanges):
        gevent.sleep(0.001)
    waiting = [gevent.spawn(each.receive_result, LATE_MS) for each in exchanges]
    gevent.sleep(0)
    for _ in exchanges:
        stack.enter_context(listener.accept()[0]).sendall(answer)
    return waiting


# Bodies that a connection reads at once, and in several turns of the event loop.
@pytest.mark.parametrize("n_body_bytes", [2, 400_000])
def test_an_answer_that_came_while_this_process_was_late_is_taken(stack, n_body_bytes):
    """Guards against "no answer" to a request whose answer waits to be read."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % n_body_bytes
    (waiting,) = send_before(stack, head + b"x" * n_body_bytes, 1)
    time.sleep(2.0 * LATE_MS / 1000.0)
    assert body(waiting.get()) == b"x" * n_body_bytes


N_READERS = 12
N_TINY_CHUNKS = 10_000
TINY_CHUNKS = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    + b"1\r\nx\r\n" * N_TINY_CHUNKS
    + b"0\r\n\r\n"
)


def test_answers_of_tiny_chunks_leave_turns_to_others(stack, monkeypatch):
    """Guards against an event loop that stands while several answers are parsed."""
    n_parsed_bytes = [0]
    feed = response_parser.feed

    def count_and_feed(parser, data):
        n_parsed_bytes[-1] += len(data)
        feed(parser, data)

    monkeypatch.setattr(response_parser, "feed", count_and_feed)
    turns = gevent.get_hub().loop.prepare()
    stack.callback(turns.close)
    stack.callback(turns.stop)
    turns.start(lambda: n_parsed_bytes.append(0))
    waiting = send_before(stack, TINY_CHUNKS, N_READERS)
    assert {len(body(job.get())) for job in waiting} == {N_TINY_CHUNKS}
    assert max(n_parsed_bytes) <= N_READERS * 8192


KEEP_ALIVES = ["\u00b2", "9" * 400, "9" * 5000, "-1", "", "x", "1.5"]


@pytest.mark.parametrize("timeout", KEEP_ALIVES)
def test_an_odd_keep_alive_timeout_does_not_lose_its_answer(stack, timeout):
    """Guards against a connection that ends before it passes the answer on."""
    server, pool = start(stack)
    keep_alive = f"Keep-Alive: timeout={timeout}".encode("latin-1")
    answer = ANSWER.replace(b"Content", keep_alive + b"\r\nContent") + b"01"

    def serve_requests(sock, number):
        while sock.recv(65536):
            sock.sendall(answer)

    server.serve_requests = serve_requests
    assert body(send(pool)) == b"01"
    assert body(send(pool)) == b"01"


def test_a_connection_whose_exchange_was_cancelled_late_is_not_reused(stack):
    """Guards against requests that are given to a connection whose task is ending."""
    server, pool = start(stack)
    server.behave = lambda connection, n_request: "hold"
    exchange = Exchange(
        "GET", REQUEST, pool.clock.now_ms() + 2000.0, False, 1000, SimpleQueue()
    )
    pool.task.post(exchange)
    gevent.sleep(0.05)
    # The time to cancel and the response come while the process does not run.
    timer = gevent.get_hub().loop.timer(0.01)
    timer.start(exchange.cancel)
    server.held[0]._sock.send(ANSWER + b"01")
    time.sleep(0.05)
    gevent.sleep(0.05)
    timer.close()
    server.behave = lambda connection, n_request: "answer"
    assert body(send(pool, timeout_ms=500.0)) == b"02"
