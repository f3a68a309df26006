"""Requests and responses near the limits of headers, also where a VM relays them."""

import pytest
from hornbeamstand_core.messages import NOT_RUN
from hornbeamstand_entry import headers
from hornbeamstand_entry.edge.messages import peer_response
from hornbeamstand_entry.tasks.response_messages import CompleteResponse

from standins.edge_cell import DOMAINS, HOST, EdgeCell

PREFIXES = {"/tools/": ("shop", "idempotent"), "/orders/": ("desk", "non_idempotent")}
# MaxHeaderBytes of the cell's configuration, less a few bytes.
SIZE_BYTES = 16_384 - 16


@pytest.fixture
def cell(tmp_path):
    with EdgeCell(tmp_path, n_vms=2 * len(DOMAINS)) as made:
        for i in range(3):
            made.add_server(f"tool-{i}", "shop", DOMAINS[i])
            made.add_server(f"desk-{i}", "desk", DOMAINS[i])
        made.set_config(1, PREFIXES)
        made.start_all()
        yield made


def large_cookie(vm, method, path):
    """Return a Cookie with which a request has ``SIZE_BYTES`` of headers."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        "Attempt-Id: a999",
        "Deadline-Ms: 2000",
        "Connection: Keep-Alive",
        "User-Agent: python/gevent-http-client-9.9.9",
        "Content-Length: 5",
        "Cookie: ",
    ]
    n_other_bytes = sum(len(line) + 2 for line in lines) + 2
    return "c" * (SIZE_BYTES - n_other_bytes)


def test_requests_near_the_limit_are_served_through_every_vm(cell):
    """Guards against 414 and 431 for what callers may send (review case 5)."""
    for vm in cell.vms:
        query = cell.send(vm, "/tools/x?q=" + "q" * 12_000)
        cookie = large_cookie(vm, "POST", "/orders/x")
        order = cell.send(vm, "/orders/x", "POST", b"order", Cookie=cookie)
        lines = {f"X-{i}": "x" for i in range(150)}
        many = cell.send(vm, "/orders/x", "POST", b"order", **lines)
        assert [query.status, order.status, many.status] == [200, 200, 200]


def test_a_request_beyond_the_limit_is_refused_by_every_vm(cell):
    for vm in cell.vms:
        cookie = large_cookie(vm, "POST", "/orders/x") + "c" * 200
        order = cell.send(vm, "/orders/x", "POST", b"order", Cookie=cookie)
        assert order.status == 431
    assert sum(sum(server.runs.values()) for server in cell.servers) == 0


def peer_answer(status, items):
    return CompleteResponse(status, items, [], "POST", False)


@pytest.mark.parametrize("status", [200, 400, 414, 431, 503])
def test_an_answer_that_only_the_peers_server_wrote_is_no_answer(status):
    """Guards against a peer's own error that passes for a target's answer."""
    assert peer_response(peer_answer(status, []), "10.0.0.1") is None


def test_a_peers_refusal_and_a_targets_answer_are_told_apart():
    refused = peer_answer(503, [(headers.REFUSAL, "full"), (headers.OUTCOME, NOT_RUN)])
    assert peer_response(refused, "10.0.0.1").refusal.certainty == NOT_RUN
    answered = peer_answer(404, [(headers.TARGET, "i-1")])
    assert peer_response(answered, "10.0.0.1").refusal is None
