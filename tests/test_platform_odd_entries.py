"""Odd entries of another writer don't stop the processes that read them."""

from random import Random

import gevent
import msgspec
import pytest

from standins.edge_cell import DOMAINS, EdgeCell

PREFIXES = {"/tools/": ("shop", "idempotent"), "/orders/": ("shop", "non_idempotent")}
# Time in which the entries reach every VM and requests meet them.
SETTLE_S = 1.0
N_ROUNDS = 6
# Changes of entries, and the time between two of them.
N_CHANGES = 600
CHANGE_INTERVAL_S = 0.005
# Depths just below and far beyond that at which JSON can be decoded.
DEPTHS = (900, 980, 100_000)


def target_entry(service="shop", address="127.0.0.1:1", **changes):
    """Return the encoded entry of a target; ``changes`` are fields of its Info."""
    info = {"Backend": service, "Version": "v1", "Zone": DOMAINS[0], "Concurrency": 3}
    status = {"State": "ready", "Seq": 1, "WarmupLeft": "0ms"}
    entry = {"Address": address, "Info": {**info, **changes}, "Status": status}
    return msgspec.json.encode({**entry, "born": 1})


def with_status(**changes):
    """Return the encoded entry of a target with changed fields of its Status."""
    entry = msgspec.json.decode(target_entry())
    entry["Status"].update(changes)
    return msgspec.json.encode(entry)


def nested(depth):
    """Return the text of lists within lists."""
    return b"[" * depth + b"]" * depth


def odd_entries():
    """Return the key and the value of each odd entry."""
    digits = "9" * 401
    values = {
        f"servers/slots-{n}": target_entry("unknown", Concurrency=n)
        for n in (2**31 - 1, 10**8, 2**63, -1)
    }
    values["servers/slots-own"] = target_entry(Concurrency=2**31 - 1)
    huge = target_entry(Concurrency=12345).replace(b"12345", digits.encode())
    values["servers/slots-huge"] = huge
    born = target_entry().replace(b'"born":1', b'"born":' + digits.encode())
    values["servers/born-huge"] = born
    for address in ("127.0.0.1:99999", "127.0.0.1:0", f"127.0.0.1:{digits}", "a:1"):
        values[f"servers/address-{len(values)}"] = target_entry(address=address)
    values["servers/address-nul"] = target_entry(address="127.0.0.1\0:80")
    values["servers/address-digit"] = target_entry(address="127.0.0.1:\u00b2")
    values["servers/cold-long"] = with_status(WarmupLeft="1e300s")
    values["servers/id \r\nX: y"] = target_entry()
    values["servers/\u4e00"] = target_entry()
    for depth in DEPTHS:
        values[f"servers/deep-{depth}"] = nested(depth)
        in_field = target_entry().replace(b'"127.0.0.1:1"', nested(depth))
        values[f"servers/deep-address-{depth}"] = in_field
        values[f"hornbeamstand/vm/deep-{depth}"] = b'{"ip":' + nested(depth) + b"}"
    for i, ip in enumerate(["x", "x" * 300, "1.2.3.4.5", "\0", "::1"]):
        values[f"hornbeamstand/vm/odd-{i}"] = msgspec.json.encode({"ip": ip})
    values["op/evacuate/\u4e00"] = b"{}"
    return values


@pytest.fixture
def cell(tmp_path):
    with EdgeCell(tmp_path) as made:
        for i in range(3):
            made.add_server(f"shop-{i}", "shop", DOMAINS[i])
        made.set_config(1, PREFIXES)
        made.start_all()
        yield made


def failures(cell):
    """Send requests through every VM; return the statuses other than 200."""
    statuses = []
    for i in range(N_ROUNDS):
        for vm in cell.vms:
            statuses.append(cell.send(vm, f"/tools/{i}").status)
            statuses.append(cell.send(vm, f"/orders/{i}", "POST", b"order").status)
    return [status for status in statuses if status != 200]


def test_requests_are_served_while_the_store_has_odd_entries(cell):
    """Guards against entries that stop or end every process (review case 1)."""
    for key, value in odd_entries().items():
        cell.store.put(key, value)
    gevent.sleep(SETTLE_S)
    assert failures(cell) == []
    assert all(vm.process.poll() is None for vm in cell.vms)


def test_a_process_starts_while_the_store_has_odd_entries(cell):
    """Guards against processes that can't start while an odd entry is there."""
    for key, value in odd_entries().items():
        cell.store.put(key, value)
    for vm in cell.vms:
        cell.kill(vm)
        cell.start_vm(vm)
    cell.wait_for(lambda: all(cell.is_ready(vm) for vm in cell.vms))
    assert failures(cell) == []


def test_an_ignored_entry_is_logged_with_its_reason_and_in_few_characters(cell):
    """Guards against entries that are ignored without a line for operators."""
    cell.store.put("servers/odd", target_entry(Concurrency=2**31 - 1))
    cell.store.put("servers/long", target_entry(address="x" * 100_000))
    log = cell.folder / "edge-0.log"
    cell.wait_for(lambda: log.read_text().count("store: unreadable entry") >= 2)
    lines = [line for line in log.read_text().splitlines() if "unreadable" in line]
    assert any("Concurrency is 2147483647" in line for line in lines)
    assert max(map(len, lines)) < 1000


def test_requests_are_served_while_odd_entries_change_often(cell):
    """Guards against a controller whose time goes into another writer's entries."""
    values = list(odd_entries().items())
    rng = Random(1)

    def change_entries():
        for i in range(N_CHANGES):
            key, value = rng.choice(values)
            cell.store.put(f"{key}-{i % 50}", value)
            if i % 3 == 0:
                cell.store.delete(f"{rng.choice(values)[0]}-{i % 50}")
            gevent.sleep(CHANGE_INTERVAL_S)

    writer = gevent.spawn(change_entries)
    while not writer.ready():
        assert failures(cell) == []
    assert all(vm.process.poll() is None for vm in cell.vms)
