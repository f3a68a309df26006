"""The callers' interface, with broken callers and targets, on real processes."""

import json
import socket
import threading
import time
from contextlib import ExitStack

import pytest
from hornbeamstand_core.routes import CallerLimits

from standins.cluster import request, wait_until

from .processes import control, runs_by_key, start_cluster, total

BODY_MAX_BYTES = 20_000


@pytest.fixture(scope="module")
def shop():
    """Return a cluster of two VMs and the targets of its service "shop"."""
    with ExitStack() as stack:
        overrides = {"body_max_bytes": BODY_MAX_BYTES, "caller_idle_ms": 700}
        cluster, targets = start_cluster(stack, 2, overrides=overrides)
        yield cluster, targets


@pytest.fixture(autouse=True)
def healthy(shop):
    """Reset the targets before each test."""
    for target in shop[1]:
        control(target, mode="ok", state="ready", service_ms=5.0)


def front(shop):
    return shop[0].vms[0].front_address


def raw_exchange(address, *parts, timeout_s=5.0):
    """Send raw bytes; return what comes back until a close or 1 s without bytes."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=timeout_s) as sock:
        for part in parts:
            sock.sendall(part)
        data = b""
        sock.settimeout(1.0)
        try:
            while chunk := sock.recv(65536):
                data += chunk
        except TimeoutError:
            pass
        return data


def test_lookup_names_the_serving_set_in_distinct_failure_domains(shop):
    status, _, raw = request(front(shop), "GET", "/lookup/shop")
    body = json.loads(raw)
    assert status == 200
    assert body["ttl_ms"] == 500
    assert {a["address"] for a in body["addresses"]} == {
        v.front_address for v in shop[0].vms
    }
    assert sum(a["weight"] for a in body["addresses"]) == 12


def test_unknown_service_is_refused_as_not_run(shop):
    for path in ("/lookup/none", "/services/none/x"):
        status, headers, _ = request(front(shop), "GET", path)
        assert status == 404
        assert headers["hornbeam-outcome"] == "not-run"


def test_head_and_query_and_body_reach_the_target(shop):
    status, headers, raw = request(front(shop), "HEAD", "/services/shop/a")
    assert (status, raw) == (200, b"")
    assert int(headers["content-length"]) > 0
    status, _, raw = request(front(shop), "POST", "/services/shop/a?b=c", b"12345")
    assert json.loads(raw)["n_bytes"] == 5


def test_path_is_forwarded_byte_for_byte(shop):
    path = "/a%2Fb//c%20d?x=%20&x=2"
    _, _, raw = request(front(shop), "GET", f"/services/shop{path}")
    assert json.loads(raw)["sent"] == path


@pytest.mark.parametrize("value", [b"inf", b"nan", b"-inf", b"soon"])
def test_malformed_deadline_is_ignored(shop, value):
    head = b"GET /services/shop/x HTTP/1.1\r\nHost: x\r\nHornbeam-Deadline-Ms: "
    data = raw_exchange(front(shop), head + value + b"\r\nConnection: close\r\n\r\n")
    assert data.startswith(b"HTTP/1.1 200")


def test_chunked_body_and_100_continue(shop):
    head = b"POST /services/shop/x HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
    head += b"Transfer-Encoding: chunked\r\n\r\n"
    data = raw_exchange(front(shop), head, b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n")
    assert data.startswith(b"HTTP/1.1 100 Continue\r\n")
    assert b'"n_bytes": 7' in data


def test_pipelined_requests_are_answered_in_order(shop):
    one = b"GET /services/shop/first HTTP/1.1\r\nHost: x\r\n\r\n"
    two = b"GET /services/shop/second HTTP/1.1\r\nHost: x\r\n\r\n"
    data = raw_exchange(front(shop), one + two)
    assert data.count(b"HTTP/1.1 200") == 2
    assert data.index(b"/first") < data.index(b"/second")


@pytest.mark.parametrize("is_chunked", [False, True])
def test_too_large_body_is_refused_and_never_sent(shop, is_chunked):
    before = total(shop[1], "n_runs")
    n_bytes = BODY_MAX_BYTES + 1
    head = b"POST /services/shop/x HTTP/1.1\r\nHost: x\r\n"
    if is_chunked:
        head += b"Transfer-Encoding: chunked\r\n\r\n"
        body = f"{n_bytes:x}\r\n".encode() + b"a" * n_bytes + b"\r\n0\r\n\r\n"
    else:
        head += f"Content-Length: {n_bytes}\r\n\r\n".encode()
        body = b""
    data = raw_exchange(front(shop), head, body)
    assert data.startswith(b"HTTP/1.1 413")
    assert b"Hornbeam-Outcome: not-run" in data
    assert total(shop[1], "n_runs") == before


def test_incomplete_body_is_refused_and_never_sent(shop):
    before = total(shop[1], "n_runs")
    head = b"POST /services/shop/x HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n"
    data = raw_exchange(front(shop), head, b"1234")
    assert data == b"" or b" 40" in data.split(b"\r\n")[0]
    assert total(shop[1], "n_runs") == before


@pytest.mark.parametrize(
    "garbage",
    [b"nonsense\r\n\r\n", b"GET / HTTP/1.1\r\nno colon\r\n\r\n", b"\x00" * 50],
)
def test_malformed_requests_do_not_affect_others(shop, garbage):
    raw_exchange(front(shop), garbage)
    assert request(front(shop), "GET", "/services/shop/x")[0] == 200


def test_silent_callers_do_not_delay_others(shop):
    host, _, port = front(shop).rpartition(":")
    silent = [socket.create_connection((host, int(port))) for _ in range(50)]
    for sock in silent:
        sock.sendall(b"POST /services/shop/x HTTP/1.1\r\nContent-Length: 5\r\n")
    assert request(front(shop), "GET", "/services/shop/x")[0] == 200
    for sock in silent:
        sock.settimeout(5.0)
        while sock.recv(1000):
            pass
        sock.close()


def test_truncated_answer_is_never_passed_on_as_200(shop):
    for target in shop[1]:
        control(target, mode="short")
    status, headers, _ = request(front(shop), "GET", "/services/shop/x")
    assert status == 502
    assert headers["hornbeam-outcome"] == "outcome-unknown"


def test_shed_requests_are_refused_as_not_run(shop):
    for target in shop[1]:
        control(target, mode="shed")
    status, headers, _ = request(front(shop), "POST", "/services/shop/orders")
    assert status == 503
    assert headers["hornbeam-outcome"] == "not-run"


def test_deadline_is_kept_when_a_target_is_silent(shop):
    for target in shop[1]:
        control(target, mode="silent")
    started_s = time.monotonic()
    status, headers, _ = request(
        front(shop),
        "POST",
        "/services/shop/orders",
        headers={"Hornbeam-Deadline-Ms": "300"},
    )
    assert status == 504
    assert headers["hornbeam-outcome"] == "outcome-unknown"
    assert time.monotonic() - started_s < 1.0


def test_caller_disconnect_cancels_the_targets_work(shop):
    for target in shop[1]:
        control(target, service_ms=700.0)
    before = total(shop[1], "n_cancelled")
    host, _, port = front(shop).rpartition(":")
    with socket.create_connection((host, int(port))) as sock:
        sock.sendall(b"GET /services/shop/x HTTP/1.1\r\nHost: x\r\n\r\n")
        time.sleep(0.2)
    wait_until(lambda: total(shop[1], "n_cancelled") == before + 1, 5.0)


def test_resent_orders_run_once_through_any_vm(shop):
    cluster, targets = shop
    answers = []

    def place(vm):
        answers.append(
            request(
                vm.front_address,
                "POST",
                "/services/shop/orders",
                b"{}",
                {"Idempotency-Key": "same"},
            )
        )

    for _ in range(3):
        threads = [threading.Thread(target=place, args=[vm]) for vm in cluster.vms * 3]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    assert {status for status, _, _ in answers} == {200}
    assert len({body for _, _, body in answers}) == 1
    assert runs_by_key(targets)["same"] == 1


def test_order_that_was_not_run_may_run_on_a_resend(shop):
    for target in shop[1]:
        control(target, mode="shed")
    headers = {"Idempotency-Key": "shed-first"}
    path = "/services/shop/orders"
    first = request(front(shop), "POST", path, b"{}", headers)
    assert first[1]["hornbeam-outcome"] == "not-run"
    for target in shop[1]:
        control(target, mode="ok")
    second = request(front(shop), "POST", path, b"{}", headers)
    assert second[0] == 200
    assert runs_by_key(shop[1])["shed-first"] == 1


def large_order(vm, key, n_bytes):
    """Place an order with ``n_bytes`` of headers, its first line included."""
    start = (
        f"POST /services/shop/orders HTTP/1.1\r\nHost: {vm.front_address}\r\n"
        f"Idempotency-Key: {key}\r\nConnection: close\r\nContent-Length: 2\r\nCookie: "
    )
    # The end of the request line doesn't count.
    cookie = "c" * (n_bytes - len(start) - 2)
    return raw_exchange(vm.front_address, f"{start}{cookie}\r\n\r\n{{}}".encode())


def test_orders_near_the_limit_of_headers_are_served_through_every_vm(shop):
    """Guards against a 431 for what a VM has added to a request that it forwards."""
    limit_bytes = CallerLimits().header_max_bytes
    for vm in shop[0].vms:
        for i in range(5):
            answer = large_order(vm, f"{vm.settings['vm_id']}-{i}", limit_bytes)
            assert answer.startswith(b"HTTP/1.1 200"), answer[:100]
            answer = large_order(vm, f"{vm.settings['vm_id']}-{i}", limit_bytes + 1)
            assert answer.startswith(b"HTTP/1.1 431"), answer[:100]


def test_status_and_metrics(shop):
    cluster, _ = shop
    vm = cluster.vms[0]
    admin = vm.settings["admin_address"]
    request(vm.front_address, "GET", "/services/shop/x")
    raw = request(admin, "GET", "/metrics")[2].decode()
    assert 'hornbeamstand_calls_total{outcome="ran",service="shop"}' in raw
    assert "hornbeamstand_latency_ms{" in raw
    assert 'hornbeamstand_control_s{role="member"}' in raw
    lines = cluster.ctl("status", *(v.settings["admin_address"] for v in cluster.vms))
    assert "configuration 1" in lines
    assert "shop/t0" in lines
