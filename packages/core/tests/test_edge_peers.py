"""Which peers a VM hears, names and hands requests to."""

from tests.edge_nodes import (
    configured,
    heartbeat,
    make_node,
    sends,
    snapshot,
    surrounded,
)

from hornbeamstand_core.discovery import (
    VmEntry,
)
from hornbeamstand_core.edge_node_messages import (
    Contacts,
    EdgeTick,
    SendContacts,
    SendEdgeHeartbeat,
    StopEdge,
)


def test_owners_are_the_same_on_every_vm():
    ips = [f"10.0.0.{i}" for i in range(1, 8)]
    owners = set()
    for ip in ips:
        node = configured(ip=ip)
        for other in ips:
            node.handle(heartbeat(other), 0.0)
        owners.add(node.peers.owner("shop", 50.0, "a"))
    assert len(owners) == 1


def test_a_vm_that_fell_silent_is_not_named():
    node = configured()
    node.handle(heartbeat("10.0.0.2"), 0.0)
    assert set(node.named_ips("h", "a", 100.0)) == {"10.0.0.1", "10.0.0.2"}
    node.handle(EdgeTick(), 1000.0)
    assert node.named_ips("h", "a", 1000.0) == ["10.0.0.1"]


def test_a_stopping_vm_is_not_named_but_may_still_answer():
    node = configured()
    node.handle(heartbeat("10.0.0.2"), 0.0)
    node.handle(heartbeat("10.0.0.2", is_stopping=True), 10.0)
    assert node.named_ips("h", "a", 100.0) == ["10.0.0.1"]
    assert node.peers.is_alive("10.0.0.2", 100.0)


def test_vms_of_the_callers_domain_are_named_first():
    node = configured()
    node.handle(EdgeTick(), 0.0)
    for ip, domain in (("10.0.0.2", "b"), ("10.0.0.3", "b"), ("10.0.0.4", "c")):
        node.handle(heartbeat(ip, domain), 0.0)
    assert set(node.named_ips("h", "b", 50.0)) == {"10.0.0.2", "10.0.0.3"}


def test_larger_vms_own_before_smaller_ones():
    node = configured()
    node.handle(heartbeat("10.0.0.2", capacity=2), 0.0)
    assert node.peers.owner("shop", 50.0, "a") == "10.0.0.2"


def test_a_vm_that_serves_nothing_yet_is_no_candidate():
    node = make_node()
    node.handle(heartbeat("10.0.0.2", is_serving=False), 0.0)
    assert node.named_ips("h", "a", 50.0) == []


def test_a_new_peer_hears_of_this_vm_at_once():
    node = configured()
    out = node.handle(heartbeat("10.0.0.2"), 0.0)
    assert [m.ip for m in out if isinstance(m, SendEdgeHeartbeat)] == ["10.0.0.2"]


def test_contacts_come_from_seeds_and_from_the_store():
    node = make_node()
    node.handle(snapshot(VmEntry("k", "vm5", "10.0.0.5")), 0.0)
    out = node.handle(EdgeTick(), 0.0)
    called = {m.ip for m in out if isinstance(m, SendEdgeHeartbeat)}
    assert called == {"10.0.0.9", "10.0.0.5"}


def test_a_first_contact_tells_a_new_vm_of_the_others():
    node = make_node(seeds=("10.0.0.1",))
    surrounded(node, 0.0)
    out = node.handle(heartbeat("10.0.0.50", n_peers=0), 10.0)
    told = [m for m in out if isinstance(m, SendContacts)]
    assert [m.ip for m in told] == ["10.0.0.50"]
    assert set(told[0].contacts.ips) == {f"10.0.0.{i}" for i in range(2, 9)}
    node.handle(heartbeat("10.0.0.60", "b", is_preferred=False), 20.0)
    out = node.handle(heartbeat("10.0.0.61", "b", n_peers=0), 30.0)
    assert "10.0.0.60" in sends(out, SendContacts)[0].contacts.ips
    out = node.handle(heartbeat("10.0.0.62", n_peers=0), 40.0)
    ips = sends(out, SendContacts)[0].contacts.ips
    assert "10.0.0.60" not in ips
    assert "10.0.0.61" in ips
    assert not sends(
        node.handle(heartbeat("10.0.0.50", n_peers=1), 100.0), SendContacts
    )
    # The datagram may have been lost.
    assert sends(node.handle(heartbeat("10.0.0.50", n_peers=1), 600.0), SendContacts)
    assert not sends(
        node.handle(heartbeat("10.0.0.50", n_peers=7), 1200.0), SendContacts
    )


def test_contacts_that_a_peer_tells_of_are_called():
    node = make_node()
    node.handle(Contacts(["10.0.0.5", "10.0.0.1"]), 0.0)
    called = {m.ip for m in sends(node.handle(EdgeTick(), 0.0), SendEdgeHeartbeat)}
    assert called == {"10.0.0.9", "10.0.0.5"}


def test_contacts_that_never_answer_are_called_less_and_less():
    node = configured()
    called_at_ms = []
    for now_ms in range(0, 60_000, 125):
        if sends(node.handle(EdgeTick(), float(now_ms)), SendEdgeHeartbeat):
            called_at_ms.append(now_ms)
    assert len(called_at_ms) <= 8
    assert called_at_ms[-1] - called_at_ms[-2] <= 16_125


def test_vms_of_other_domains_hear_each_other_only_if_both_stand_by():
    """Load: a hundred VMs; bytes between failure domains are paid for."""
    node = configured(capacity=5)
    near = heartbeat("10.0.0.2")
    far = heartbeat("10.0.0.3", "b", is_preferred=False)
    far_frequent = heartbeat("10.0.0.4", "b")
    for message in (near, far, far_frequent):
        node.handle(message, 0.0)
    sent = []
    for now_ms in range(0, 3000, 125):
        for message in (near, far_frequent):
            node.handle(message, float(now_ms))
        sent += sends(node.handle(EdgeTick(), float(now_ms)), SendEdgeHeartbeat)
    counts = {ip: sum(m.ip == ip for m in sent) for ip in ("10.0.0.3", "10.0.0.4")}
    assert counts["10.0.0.3"] <= 1
    assert counts["10.0.0.4"] >= 3


def test_a_stop_is_told_to_every_peer():
    node = configured()
    node.handle(heartbeat("10.0.0.2"), 0.0)
    out = node.handle(StopEdge(), 10.0)
    told = [m for m in out if isinstance(m, SendEdgeHeartbeat)]
    assert [(m.ip, m.heartbeat.is_stopping) for m in told] == [("10.0.0.2", True)]
