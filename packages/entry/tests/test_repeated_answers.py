"""Earlier answers that a target repeats, and answers without an id or without end."""

import gevent
import pytest
from gevent.queue import SimpleQueue
from hornbeamstand_core.messages import SendFailure
from hornbeamstand_entry.edge.context import EdgeContext
from hornbeamstand_entry.edge.dialect import Dialect, HeaderNames
from hornbeamstand_entry.edge.messages import target_response
from hornbeamstand_entry.encoding import target_response as product_target_response
from hornbeamstand_entry.tasks.byte_budget import ByteBudget
from hornbeamstand_entry.tasks.connection_rules import ConnectionRules
from hornbeamstand_entry.tasks.exchange import Exchange

from tests.scripted_targets import (
    ANSWER_MAX_BYTES,
    LENIENT,
    STRICT,
    answer,
    make_pool,
    refusal,
    send,
)

NAMES = HeaderNames("Id", "Left", "Seal", "Not-Run", "Expect", "Load")
DIALECT = Dialect(NAMES, None, "/l", "/r", lambda text: None, None, None, None)
# Maximum number of bytes that a target can send before its endless answer is cut off.
# It includes what the sockets of both sides buffer.
ENDLESS_MAX_BYTES = 16 << 20


def repeat_first_refusal(sock, request_id, n_requests, repeated, pieces=1):
    """Refuse the first request; repeat a refusal before the later answers."""
    if n_requests == 1:
        sock.sendall(refusal(request_id))
        return
    size = max(1, len(repeated) // pieces)
    for start in range(0, len(repeated), size):
        sock.sendall(repeated[start : start + size])
        gevent.sleep(0.002 if pieces > 1 else 0)
    sock.sendall(answer(request_id, request_id.encode()))


# Repeated refusals.


@pytest.mark.parametrize("rules", [STRICT, LENIENT])
@pytest.mark.parametrize("pieces", [1, 7])
@pytest.mark.parametrize("repeated_id", ["a", None])
def test_a_repeated_refusal_is_not_taken_for_the_next_answer(
    stack, rules, pieces, repeated_id
):
    def script(sock, request_id, n_requests):
        repeated = refusal(repeated_id)
        repeat_first_refusal(sock, request_id, n_requests, repeated, pieces)

    _, pool = make_pool(stack, script, rules)
    assert send(pool, "a").status_code == 503
    second = send(pool, "b")
    # On another connection, the target refuses the second request by its own id.
    assert second.get("Id") == "b"


def test_a_refusal_without_id_is_no_answer_on_a_connection_with_earlier_answers(stack):
    def script(sock, request_id, n_requests):
        if n_requests > 1:
            sock.sendall(refusal())
            gevent.sleep(0.02)
        sock.sendall(answer(request_id, request_id.encode()))

    _, pool = make_pool(stack, script)
    assert send(pool, "a").body == b"a"
    assert send(pool, "b").body == b"b"


def test_an_error_without_id_ends_its_connection(stack):
    def script(sock, request_id, n_requests):
        sock.sendall(refusal())

    target, pool = make_pool(stack, script, LENIENT)
    assert send(pool, "a").status_code == 503
    assert send(pool, "b").status_code == 503
    assert target.n_connections == 2


def test_a_connection_with_an_answer_without_id_to_drop_is_not_reused(stack):
    def script(sock, request_id, n_requests):
        if n_requests == 2:
            sock.sendall(refusal())
        sock.sendall(answer(request_id))

    target, pool = make_pool(stack, script)
    for request_id in ("a", "b", "c"):
        assert send(pool, request_id).status_code == 200
    assert target.n_connections == 2


def test_a_repeat_of_a_refused_request_gets_another_connection(stack):
    def script(sock, request_id, n_requests):
        if n_requests > 1:
            sock.sendall(refusal(request_id))
            gevent.sleep(0.01)
            sock.sendall(answer(request_id))
        elif target.n_connections == 1:
            sock.sendall(refusal(request_id))
        else:
            sock.sendall(answer(request_id))

    target, pool = make_pool(stack, script)
    assert send(pool, "a").status_code == 503
    assert send(pool, "a").status_code == 200
    assert target.n_connections == 2


def test_a_refusal_that_another_answer_follows_does_not_mean_not_run(stack):
    def script(sock, request_id, n_requests):
        sock.sendall(refusal(request_id) + answer(request_id))

    _, pool = make_pool(stack, script)
    response = send(pool, "a")
    context = EdgeContext("a", "POST", "/", [], b"")
    assert not target_response(response, context, DIALECT).did_not_run
    response.header_items.append(("Hornbeam-Not-Run", "1"))
    assert not product_target_response(response).did_not_run


def test_answers_for_others_without_end_are_a_failure(stack):
    def script(sock, request_id, n_requests):
        while True:
            sock.sendall(answer("other"))

    _, pool = make_pool(stack, script)
    failure = send(pool, "a")
    assert isinstance(failure, SendFailure)
    assert failure.may_have_run


def test_the_answer_to_another_request_is_not_taken_for_a_probes(stack):
    def script(sock, request_id, n_requests):
        if n_requests == 2:
            sock.sendall(answer("a", b"again"))
            gevent.sleep(0.01)
            sock.sendall(answer(None, b"probe"))
        else:
            sock.sendall(answer(request_id))

    _, pool = make_pool(stack, script)
    assert send(pool, "a").status_code == 200
    assert send(pool, "probe", has_id=False).body == b"probe"


def test_a_target_that_never_returns_ids_is_served_by_lenient_rules(stack):
    def script(sock, request_id, n_requests):
        sock.sendall(answer(None, request_id.encode()))

    target, pool = make_pool(stack, script, LENIENT)
    assert [send(pool, name).body for name in ("a", "b")] == [b"a", b"b"]
    assert target.n_connections == 1


def test_lenient_rules_require_the_id_once_the_target_has_returned_one(stack):
    def script(sock, request_id, n_requests):
        if n_requests == 2:
            sock.sendall(answer(None, b"stray"))
            gevent.sleep(0.01)
        sock.sendall(answer(request_id, request_id.encode()))

    _, pool = make_pool(stack, script, LENIENT)
    assert [send(pool, name).body for name in ("a", "b")] == [b"a", b"b"]


# Answers without end.

ENDLESS = {
    "status line": (b"HTTP/1.1 200 ", b"x" * 8192),
    "one header": (b"HTTP/1.1 200 X\r\nA: ", b"x" * 8192),
    "headers": (b"HTTP/1.1 200 X\r\n", b"A: b\r\n" * 1000),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 400),
    "chunk extension": (
        b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n1;",
        b"x" * 8192,
    ),
    "chunk size": (
        b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"0" * 8192,
    ),
    "trailers": (
        b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        b"A: b\r\n" * 1000,
    ),
    "chunks": (
        b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"1000\r\n" + b"x" * 4096 + b"\r\n",
    ),
    "body without length": (b"HTTP/1.1 200 X\r\n\r\n", b"x" * 8192),
    "answers of others": (b"", answer("other", b"x" * 8192)),
    "no response": (b"", b"\xff" * 8192),
}


@pytest.mark.parametrize("rules", [STRICT, LENIENT])
@pytest.mark.parametrize("part", sorted(ENDLESS))
def test_an_answer_without_end_is_cut_off(stack, part, rules):
    start, more = ENDLESS[part]
    n_sent = 0

    def script(sock, request_id, n_requests):
        nonlocal n_sent
        sock.sendall(start)
        while n_sent < 10 * ENDLESS_MAX_BYTES:
            sock.sendall(more)
            n_sent += len(more)

    _, pool = make_pool(stack, script, rules)
    result = send(pool, "a")
    gevent.sleep(0.05)
    assert isinstance(result, SendFailure)
    assert result.may_have_run
    assert n_sent < ENDLESS_MAX_BYTES


def test_other_tasks_run_while_a_long_answer_is_read(stack):
    turns = []

    def script(sock, request_id, n_requests):
        sock.sendall(answer(request_id, b"x" * (ANSWER_MAX_BYTES - 1)))

    def count():
        while True:
            turns.append(1)
            gevent.sleep(0)

    _, pool = make_pool(stack, script)
    counter = gevent.spawn(count)
    assert len(send(pool, "a").body) == ANSWER_MAX_BYTES - 1
    counter.kill()
    assert turns


def test_a_body_that_comes_with_one_read_is_limited_too(stack):
    def script(sock, request_id, n_requests):
        sock.sendall(answer(request_id, b"x" * (ANSWER_MAX_BYTES + 1)))

    _, pool = make_pool(stack, script)
    exchange = Exchange("POST", b"Id: a\r\n", 1e12, False, 10, SimpleQueue(), "a")
    pool.task.post(exchange)
    assert isinstance(exchange.receive_result(1000.0), SendFailure)
    assert isinstance(send(pool, "a"), SendFailure)


def test_answers_being_read_share_one_limit(stack):
    budget = ByteBudget(ANSWER_MAX_BYTES // 2)
    rules = ConnectionRules(id_header="Id", requires_id=True, answer_budget=budget)

    def script(sock, request_id, n_requests):
        size = ANSWER_MAX_BYTES // (4 if request_id == "small" else 1) - 1
        sock.sendall(answer(request_id, b"x" * size))

    _, pool = make_pool(stack, script, rules)
    assert send(pool, "small").status_code == 200
    assert isinstance(send(pool, "large"), SendFailure)
    assert send(pool, "small").status_code == 200
    assert budget.n_used_bytes == 0


# Answers before the request is complete.


def test_an_answer_before_the_body_is_read_is_passed_on_at_once(stack):
    def script(sock, request_id, n_requests):
        sock.sendall(answer(request_id, b"early"))
        gevent.sleep(1.0)

    target, pool = make_pool(stack, script)
    began_at_ms = pool.clock.now_ms()
    response = send(pool, "a", b"x" * (8 << 20))
    assert response.body == b"early"
    assert pool.clock.now_ms() - began_at_ms < 900.0
    # The rest of the body was not sent, so the connection can't carry a request.
    assert response.should_close()
    assert send(pool, "b").body == b"early"
    assert target.n_connections == 2
