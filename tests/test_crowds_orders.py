"""Clients that fill the memory of VMs with orders, whose answers are kept for resends.

The bounds are the memory and the descriptors that the settings give the VM.
"""

from contextlib import ExitStack

import pytest
from gevent.pool import Pool

from standins.cluster import request

from .crowds import (
    BYTES_PER_KB,
    assert_holds,
    try_request,
    wait_until_served,
)
from .processes import start_cluster, total

MEMORY_MB = 160
N_DESCRIPTORS_MAX = 4100
N_SENDERS = 12
LONG_BODY_BYTES = 1_000_000
LONG_KEY_BYTES = 14 * BYTES_PER_KB
TIMEOUT_S = 10.0
UNKNOWN = "outcome-unknown"


def send_order(vm, key, n_body_bytes, **headers):
    """Send an order whose answer has a size; return status, headers and body."""
    path = f"/services/shop/orders?bytes={n_body_bytes}"
    headers = {"Idempotency-Key": key, "Hornbeam-Deadline-Ms": "1400", **headers}
    return request(vm.front_address, "POST", path, b"", headers, TIMEOUT_S)


def send_orders(vm, keys, n_body_bytes):
    """Send an order for each key, a few at a time; refused ones count as sent."""
    pool = Pool(N_SENDERS)
    for key in keys:
        pool.spawn(try_request, lambda key=key: send_order(vm, key, n_body_bytes))
    pool.join()


def assert_cluster_holds(cluster):
    """Check that each VM serves an ordinary request and is within its memory."""
    for vm in cluster.vms:
        path = "/services/shop/x"
        wait_until_served(
            lambda vm=vm, path=path: request(vm.front_address, "GET", path)[0] == 200
        )
        ip = vm.front_address.partition(":")[0]
        assert_holds(vm.process, ip, MEMORY_MB, N_DESCRIPTORS_MAX)


@pytest.mark.parametrize("n_vms", [1, 2])
def test_kept_answers_of_orders_end_no_vm(n_vms):
    """Guards against orders whose long answers are all kept."""
    with ExitStack() as stack:
        settings = {"memory_mb": MEMORY_MB}
        cluster, targets = start_cluster(stack, n_vms, overrides=settings)
        keys = [f"k{i}" for i in range(200)]
        send_orders(cluster.vms[0], keys, LONG_BODY_BYTES)
        assert_cluster_holds(cluster)
        n_run = total(targets, "n_runs")
        for key in (keys[0], keys[-1]):
            status, headers, body = send_order(cluster.vms[0], key, LONG_BODY_BYTES)
            is_whole = status == 200 and len(body) > LONG_BODY_BYTES
            assert is_whole or headers["hornbeam-outcome"] == UNKNOWN
        assert total(targets, "n_runs") == n_run


def test_long_keys_of_orders_end_no_vm():
    """Guards against orders whose keys alone fill the memory."""
    with ExitStack() as stack:
        settings = {"memory_mb": MEMORY_MB}
        cluster, _ = start_cluster(stack, 2, overrides=settings)
        keys = [f"{i:0{LONG_KEY_BYTES}}" for i in range(9_000)]
        send_orders(cluster.vms[0], keys, 0)
        assert_cluster_holds(cluster)
