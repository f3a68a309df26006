"""Answers that are duplicate, late, unframed or truncated, and their headers."""

import gevent
import pytest
from gevent.queue import SimpleQueue
from gevent.server import StreamServer
from hornbeamstand_core.edge_messages import LoadReport, RequestPolicy
from hornbeamstand_core.messages import NOT_RUN, OUTCOME_UNKNOWN, SendFailure
from hornbeamstand_core.relay_messages import Relay
from hornbeamstand_entry.clock import make_process_clock
from hornbeamstand_entry.edge.context import EdgeContext
from hornbeamstand_entry.edge.dialect import Dialect, HeaderNames
from hornbeamstand_entry.edge.messages import (
    caller_status,
    forwarded_items,
    peer_items,
    peer_response,
    read_policy,
    target_response,
)
from hornbeamstand_entry.encoding import encode_request
from hornbeamstand_entry.tasks.connection_rules import ConnectionRules
from hornbeamstand_entry.tasks.exchange import Exchange
from hornbeamstand_entry.tasks.pools import ConnectionPool
from hornbeamstand_entry.tasks.response_messages import CompleteResponse

NAMES = HeaderNames("Id", "Left", "Seal", "Not-Run", "Expect", "Load")
DIALECT = Dialect(
    NAMES, None, "/l", "/r", lambda text: LoadReport(1, 0, 3), None, None, None
)
RULES = ConnectionRules(id_header="Id", accepts_unframed=True)


def answer_bytes(answer_id, body=b"ok", length=None):
    length = len(body) if length is None else length
    head = f"HTTP/1.1 200 OK\r\nId: {answer_id}\r\nSeal: s\r\n"
    return head.encode() + b"Content-Length: %d\r\n\r\n" % length + body


class ScriptedServer:
    """Runs a script for each request on a connection, until it returns False."""

    def __init__(self, stack, script):
        self.script = script
        self.n_connections = 0
        server = StreamServer(("127.0.0.1", 0), self.serve)
        server.start()
        stack.callback(server.stop, timeout=0)
        self.address = f"127.0.0.1:{server.server_port}"

    def serve(self, sock, _):
        self.n_connections += 1
        n_request = 0
        while True:
            raw = sock.recv(65536)
            if not raw:
                return
            n_request += 1
            request_id = raw.split(b"Id: ")[1].split(b"\r\n")[0].decode()
            if not self.script(sock, request_id, n_request):
                sock.close()
                return


def make_pool(stack, script):
    server = ScriptedServer(stack, script)
    pool = ConnectionPool(server.address, make_process_clock(), RULES)
    pool.start(stack)
    return server, pool


def send(pool, request_id, timeout_ms=1000.0):
    raw = f"GET / HTTP/1.1\r\nId: {request_id}\r\n\r\n".encode()
    until_ms = pool.clock.now_ms() + timeout_ms
    exchange = Exchange("GET", raw, until_ms, False, 1000, SimpleQueue(), request_id)
    pool.task.post(exchange)
    result = exchange.receive_result(timeout_ms)
    if result is None:
        exchange.cancel()
    gevent.sleep(0.01)
    return result


def test_duplicate_answer_never_reaches_the_next_request(stack):
    def script(sock, request_id, n_request):
        sock.sendall(answer_bytes(request_id) + answer_bytes(request_id, b"again"))
        return True

    server, pool = make_pool(stack, script)
    assert send(pool, "a").body == b"ok"
    assert send(pool, "b").body == b"ok"
    assert server.n_connections == 2


def test_late_duplicate_answer_is_dropped_by_its_request_id(stack):
    def script(sock, request_id, n_request):
        if n_request == 2:
            sock.sendall(answer_bytes("a", b"late"))
            gevent.sleep(0.02)
        sock.sendall(answer_bytes(request_id, request_id.encode()))
        return True

    server, pool = make_pool(stack, script)
    assert send(pool, "a").body == b"a"
    assert send(pool, "b").body == b"b"
    assert server.n_connections == 1


def test_garbage_after_an_answer_closes_the_connection(stack):
    def script(sock, request_id, n_request):
        sock.sendall(answer_bytes(request_id) + b"\x00garbage")
        return True

    server, pool = make_pool(stack, script)
    assert send(pool, "a").body == b"ok"
    assert send(pool, "b").body == b"ok"
    assert server.n_connections == 2


def test_truncated_answer_is_a_failure_that_may_have_run(stack):
    def script(sock, request_id, n_request):
        sock.sendall(answer_bytes(request_id, b"half", length=99))
        return False

    _, pool = make_pool(stack, script)
    failure = send(pool, "a")
    assert isinstance(failure, SendFailure)
    assert failure.may_have_run


def test_answer_without_content_length_ends_when_the_connection_closes(stack):
    def script(sock, request_id, n_request):
        sock.sendall(f"HTTP/1.1 200 OK\r\nId: {request_id}\r\n\r\nwhole".encode())
        return False

    _, pool = make_pool(stack, script)
    assert send(pool, "a").body == b"whole"


def test_invalid_answer_is_a_failure(stack):
    def script(sock, request_id, n_request):
        sock.sendall(b"rubbish\r\n\r\n")
        return True

    _, pool = make_pool(stack, script)
    assert isinstance(send(pool, "a"), SendFailure)


def make_context(caller_request_id="a"):
    return EdgeContext(caller_request_id, "GET", "/", [], b"")


def make_answer(status=200, **items):
    pairs = [(name.replace("_", "-"), value) for name, value in items.items()]
    return CompleteResponse(status, pairs, [b"x"], "GET", False)


@pytest.mark.parametrize(
    "items",
    [
        {"Id": "a"},
        {"Id": "b", "Seal": "s"},
        {"Seal": "s"},
        {"Id": "a", "Seal": "s", "Content_Encoding": "gzip"},
    ],
)
def test_success_without_seal_or_own_id_or_with_an_encoding_is_rejected(items):
    assert target_response(make_answer(**items), make_context(), DIALECT) is None


def test_success_with_seal_and_own_id_is_accepted():
    reply = target_response(
        make_answer(Id="a", Seal="s", Load="1,0,3"), make_context(), DIALECT
    )
    assert reply.status == 200
    assert reply.report.n_running == 1


def test_only_the_targets_header_means_that_the_request_did_not_run():
    assert target_response(
        make_answer(503, Not_Run="1"), make_context(), DIALECT
    ).did_not_run
    ran = target_response(make_answer(503, Id="a"), make_context(), DIALECT)
    assert not ran.did_not_run


@pytest.mark.parametrize("status", [302, 400, 404, 500, 503])
def test_error_of_a_process_that_is_no_target_never_reaches_a_caller(status):
    foreign = make_answer(status, Content_Type="text/html")
    assert target_response(foreign, make_context(), DIALECT) is None
    other = make_answer(status, Id="b")
    assert target_response(other, make_context(), DIALECT) is None
    for items in ({"Id": "a"}, {"Seal": "s"}):
        own = make_answer(status, **items)
        assert target_response(own, make_context(), DIALECT).status == status


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_status_that_means_not_run_becomes_502_for_a_request_that_ran(status):
    assert caller_status(status) == 502
    assert caller_status(500) == 500


def make_peer_refusal(status, **items):
    names = {
        "refusal": "Hornbeam-Refusal",
        "outcome": "Hornbeam-Outcome",
        "retry": "Hornbeam-Retry-After-Ms",
    }
    pairs = [(names[name], value) for name, value in items.items()]
    return peer_response(CompleteResponse(status, pairs, [], "GET", False), "p").refusal


@pytest.mark.parametrize("text", ["soon", "", "nan", "inf"])
def test_a_malformed_retry_time_of_a_peer_is_ignored(text):
    refusal = make_peer_refusal(503, refusal="no target", outcome=NOT_RUN, retry=text)
    assert refusal.retry_after_ms is None


@pytest.mark.parametrize("outcome", ["", "ran", "outcome-unknown", "?"])
def test_a_peers_refusal_means_not_run_only_if_it_says_so(outcome):
    refusal = make_peer_refusal(503, refusal="no target", outcome=outcome)
    assert refusal.status == 502
    assert refusal.certainty == OUTCOME_UNKNOWN
    refusal = make_peer_refusal(503, refusal="no target", outcome=NOT_RUN)
    assert (refusal.status, refusal.certainty) == (503, NOT_RUN)


def test_headers_are_forwarded_except_hop_by_hop_and_internal_ones():
    lines = [
        ("Host", "h"),
        ("X-A", "1"),
        ("X-A", "2"),
        ("Connection", "keep-alive"),
        ("Hornbeam-Terms", "[]"),
        ("Left", "5"),
    ]
    assert forwarded_items(lines, {"left"}) == [
        ("Host", "h"),
        ("X-A", "1"),
        ("X-A", "2"),
    ]


@pytest.mark.parametrize("name", ["shop", "caf\u00e9", "\u20ac", "\U0001f600"])
def test_policy_of_a_service_with_any_name_reaches_the_peer(name):
    policy = RequestPolicy(name, True, 1200.0, 600.0, 1, 2)
    context = EdgeContext(None, "GET", "/", [], b"")
    relay = Relay("10.0.0.2", policy, 1200.0)
    head = encode_request("GET", "/", peer_items(context, relay, 0.0, NAMES), b"")
    (line,) = [
        line for line in head.split(b"\r\n") if line.startswith(b"Hornbeam-Terms")
    ]
    assert read_policy(line.partition(b": ")[2].decode("latin-1")) == policy


@pytest.mark.parametrize("text", ["", "[]", "{}", '["s",1,1,1,1,1]', "\xff"])
def test_invalid_request_policy_is_none(text):
    assert read_policy(text) is None
