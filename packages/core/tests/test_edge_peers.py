"""Heartbeats between VMs, and the VMs that lookups return and that own services."""

import pytest
from tests.edge_nodes import (
    deliver_heartbeats,
    make_heartbeat,
    make_node,
    make_serving_node,
    make_snapshot,
    messages_of_kind,
)

from hornbeamstand_core.controllers.load.overload import CALM_MS
from hornbeamstand_core.discovery import (
    VmEntry,
)
from hornbeamstand_core.edge_messages import StateChange
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
        node = make_serving_node(ip=ip)
        for other in ips:
            node.handle(make_heartbeat(other), 0.0)
        owners.add(node.peers.ranking.owner("shop", 50.0, "a"))
    assert len(owners) == 1


def test_lookups_do_not_return_a_silent_vm():
    node = make_serving_node()
    node.handle(make_heartbeat("10.0.0.2"), 0.0)
    assert set(node.named_ips("h", "a", 100.0)) == {"10.0.0.1", "10.0.0.2"}
    node.handle(EdgeTick(), 1000.0)
    assert node.named_ips("h", "a", 1000.0) == ["10.0.0.1"]


def test_a_heartbeat_that_was_overtaken_takes_no_planned_stop_back():
    """Guards against callers that are sent to a VM which is about to end."""
    node = make_serving_node()
    node.handle(make_heartbeat("10.0.0.2", is_stopping=True), 0.0)
    node.handle(make_heartbeat("10.0.0.2"), 1.0)
    assert node.named_ips("h", "a", 1.0) == ["10.0.0.1"]
    node.handle(make_heartbeat("10.0.0.2", start_id=2), 2.0)
    assert not node.peers.peers["10.0.0.2"].heartbeat.is_stopping


def test_the_time_in_which_a_vm_did_not_run_is_no_silence_of_its_peers():
    """Guards against relayed requests that are given up though their peer answers."""
    node = make_serving_node()
    node.handle(make_heartbeat("10.0.0.2"), 0.0)
    node.handle(EdgeTick(delay_ms=2000.0), 2100.0)
    assert node.peers.is_alive("10.0.0.2", 2100.0)
    assert set(node.named_ips("h", "a", 2100.0)) == {"10.0.0.1", "10.0.0.2"}
    node.handle(EdgeTick(), 3000.0)
    assert node.named_ips("h", "a", 3000.0) == ["10.0.0.1"]


def test_a_dead_peer_is_noticed_also_by_a_vm_that_is_always_late():
    node = make_serving_node()
    node.handle(make_heartbeat("10.0.0.2"), 0.0)
    now_ms = 0.0
    while node.peers.is_alive("10.0.0.2", now_ms):
        now_ms += 270.0
        node.handle(EdgeTick(delay_ms=250.0), now_ms)
    assert now_ms < 3000.0


def test_lookups_do_not_return_a_stopping_vm_that_is_still_alive():
    node = make_serving_node()
    node.handle(make_heartbeat("10.0.0.2"), 0.0)
    node.handle(make_heartbeat("10.0.0.2", is_stopping=True), 10.0)
    assert node.named_ips("h", "a", 100.0) == ["10.0.0.1"]
    assert node.peers.is_alive("10.0.0.2", 100.0)


def test_lookups_return_vms_of_the_callers_domain():
    node = make_serving_node()
    node.handle(EdgeTick(), 0.0)
    for ip, domain in (("10.0.0.2", "b"), ("10.0.0.3", "b"), ("10.0.0.4", "c")):
        node.handle(make_heartbeat(ip, domain), 0.0)
    assert set(node.named_ips("h", "b", 50.0)) == {"10.0.0.2", "10.0.0.3"}


def test_a_larger_vm_becomes_the_owner():
    node = make_serving_node()
    node.handle(make_heartbeat("10.0.0.2", capacity=2), 0.0)
    assert node.peers.ranking.owner("shop", 50.0, "a") == "10.0.0.2"


def test_lookups_do_not_return_a_vm_that_does_not_serve_yet():
    node = make_node()
    node.handle(make_heartbeat("10.0.0.2", is_serving=False), 0.0)
    assert node.named_ips("h", "a", 50.0) == []


def test_a_new_peer_gets_a_heartbeat_at_once():
    node = make_serving_node()
    out = node.handle(make_heartbeat("10.0.0.2"), 0.0)
    assert [m.ip for m in out if isinstance(m, SendEdgeHeartbeat)] == ["10.0.0.2"]


def test_contacts_come_from_seeds_and_from_the_store():
    node = make_node()
    node.handle(make_snapshot(VmEntry("k", "vm5", "10.0.0.5")), 0.0)
    out = node.handle(EdgeTick(), 0.0)
    contacted = {m.ip for m in out if isinstance(m, SendEdgeHeartbeat)}
    assert contacted == {"10.0.0.9", "10.0.0.5"}


def test_a_seed_sends_a_new_vm_its_contacts():
    node = make_node(seeds=("10.0.0.1",))
    deliver_heartbeats(node, 0.0)
    out = node.handle(make_heartbeat("10.0.0.50", n_peers=0), 10.0)
    sent = [m for m in out if isinstance(m, SendContacts)]
    assert [m.ip for m in sent] == ["10.0.0.50"]
    assert set(sent[0].contacts.ips) == {f"10.0.0.{i}" for i in range(2, 9)}
    # A VM that is not preferred is a contact only for VMs of its own domain.
    node.handle(make_heartbeat("10.0.0.60", "b", is_preferred=False), 20.0)
    out = node.handle(make_heartbeat("10.0.0.61", "b", n_peers=0), 30.0)
    assert "10.0.0.60" in messages_of_kind(out, SendContacts)[0].contacts.ips
    out = node.handle(make_heartbeat("10.0.0.62", n_peers=0), 40.0)
    ips = messages_of_kind(out, SendContacts)[0].contacts.ips
    assert "10.0.0.60" not in ips
    assert "10.0.0.61" in ips
    # The seed waits before it sends contacts to the same VM again.
    assert not messages_of_kind(
        node.handle(make_heartbeat("10.0.0.50", n_peers=1), 100.0), SendContacts
    )
    # After the wait, it sends them again, since the datagram may have been lost.
    assert messages_of_kind(
        node.handle(make_heartbeat("10.0.0.50", n_peers=1), 600.0), SendContacts
    )
    # A VM that knows most of the peers gets no more contacts.
    assert not messages_of_kind(
        node.handle(make_heartbeat("10.0.0.50", n_peers=7), 1200.0), SendContacts
    )


def test_contacts_from_a_peer_get_a_heartbeat():
    node = make_node()
    node.handle(Contacts(["10.0.0.5", "10.0.0.1"]), 0.0)
    contacted = {
        m.ip for m in messages_of_kind(node.handle(EdgeTick(), 0.0), SendEdgeHeartbeat)
    }
    assert contacted == {"10.0.0.9", "10.0.0.5"}


def test_heartbeats_to_contacts_that_never_answer_back_off():
    node = make_serving_node()
    sent_at_ms = []
    for now_ms in range(0, 60_000, 125):
        if messages_of_kind(node.handle(EdgeTick(), float(now_ms)), SendEdgeHeartbeat):
            sent_at_ms.append(now_ms)
    assert len(sent_at_ms) <= 8
    assert sent_at_ms[-1] - sent_at_ms[-2] <= 16_125


def test_heartbeats_cross_domains_often_only_between_preferred_vms():
    """With a hundred VMs, heartbeats between failure domains cost money."""
    node = make_serving_node(capacity=5)
    local = make_heartbeat("10.0.0.2")
    remote = make_heartbeat("10.0.0.3", "b", is_preferred=False)
    remote_preferred = make_heartbeat("10.0.0.4", "b")
    for message in (local, remote, remote_preferred):
        node.handle(message, 0.0)
    sent = []
    for now_ms in range(0, 3000, 125):
        for message in (local, remote_preferred):
            node.handle(message, float(now_ms))
        sent += messages_of_kind(
            node.handle(EdgeTick(), float(now_ms)), SendEdgeHeartbeat
        )
    counts = {ip: sum(m.ip == ip for m in sent) for ip in ("10.0.0.3", "10.0.0.4")}
    assert counts["10.0.0.3"] <= 1
    assert counts["10.0.0.4"] >= 3


def test_a_stop_is_announced_to_every_peer():
    node = make_serving_node()
    node.handle(make_heartbeat("10.0.0.2"), 0.0)
    out = node.handle(StopEdge(), 10.0)
    sent = [m for m in out if isinstance(m, SendEdgeHeartbeat)]
    assert [(m.ip, m.heartbeat.is_stopping) for m in sent] == [("10.0.0.2", True)]


def overload(node, from_ms):
    """Deliver ticks that are late; returns the time of the last one."""
    for i in range(8):
        node.handle(EdgeTick(80.0), from_ms + 150.0 * i)
    return from_ms + 1050.0


def test_peers_tell_an_end_without_a_planned_stop_from_a_planned_one():
    node = make_serving_node()
    node.handle(make_heartbeat("10.0.0.2", start_id=1), 0.0)
    node.handle(EdgeTick(), 1000.0)
    out = node.handle(make_heartbeat("10.0.0.2", start_id=2), 1100.0)
    ends = [x for x in messages_of_kind(out, StateChange) if x.event == "ended"]
    assert [x.subject for x in ends] == ["10.0.0.2"]
    assert "start=1 " in ends[0].detail
    node.handle(make_heartbeat("10.0.0.2", start_id=2, is_stopping=True), 1200.0)
    out = node.handle(make_heartbeat("10.0.0.2", start_id=3), 5000.0)
    assert [x.event for x in messages_of_kind(out, StateChange)] == ["heard"]


def test_an_overloaded_owner_hands_over_to_the_next_preferred_vm():
    """Plays a VM whose processor is slowed down while its heartbeats still arrive."""
    node = make_serving_node(capacity=3)
    node.handle(make_heartbeat("10.0.0.2", capacity=2), 0.0)
    node.handle(make_heartbeat("10.0.0.3", capacity=1), 0.0)
    assert node.peers.ranking.owner("shop", 1.0, "a") == "10.0.0.1"
    now_ms = overload(node, 10.0)
    node.handle(make_heartbeat("10.0.0.2", capacity=2), now_ms)
    node.handle(make_heartbeat("10.0.0.3", capacity=1), now_ms)
    now_ms += 50.0
    assert node.peers.ranking.owner("shop", now_ms, "a") == "10.0.0.2"
    assert node.named_ips("h", "a", now_ms) == ["10.0.0.2", "10.0.0.3"]
    node.handle(make_heartbeat("10.0.0.2", capacity=2, is_overloaded=True), now_ms)
    assert node.peers.ranking.owner("shop", now_ms, "a") == "10.0.0.1"
    assert node.named_ips("h", "a", now_ms) == ["10.0.0.3"]


def test_an_overloaded_vm_tells_its_peers_at_once_and_again_once_it_keeps_up():
    node = make_serving_node()
    node.handle(make_heartbeat("10.0.0.2"), 0.0)
    now_ms = overload(node, 10.0)
    assert node.peers.own_heartbeat(now_ms).is_overloaded
    sent = {}
    for i in range(1, 100):
        now_ms += 100.0
        node.handle(make_heartbeat("10.0.0.2"), now_ms)
        for message in messages_of_kind(
            node.handle(EdgeTick(), now_ms), SendEdgeHeartbeat
        ):
            sent[message.heartbeat.is_overloaded] = 100.0 * i
    assert CALM_MS <= sent[True] + 250.0 <= CALM_MS + 1000.0
    assert sent[False] == 9900.0


def test_a_vm_that_refuses_requests_hands_its_services_over():
    """Guards against refusals by an owner while another VM has room."""
    node = make_serving_node()
    node.handle(make_heartbeat("10.0.0.2"), 0.0)
    for now_ms in range(0, 1500, 100):
        node.admission.begin_turn(now_ms)
        node.admission.end_turn(now_ms + 90.0)
        node.handle(make_heartbeat("10.0.0.2"), now_ms)
        out = node.handle(EdgeTick(), now_ms)
    sent = messages_of_kind(out, SendEdgeHeartbeat)
    assert node.peers.own_heartbeat(1500.0).is_overloaded
    assert all(message.heartbeat.is_overloaded for message in sent)
    assert node.peers.ranking.owner("shop", 1500.0, "a") == "10.0.0.2"


@pytest.mark.parametrize("n_heard", [1, 2])
def test_a_vm_that_has_just_heard_its_first_peers_tells_no_unknown_owner(n_heard):
    """Guards against the end of a young VM when a target says that it leaves."""
    node = make_node()
    assert node.peers.ranking.owner("shop", 0.0, "a") is None
    for i in range(n_heard):
        node.handle(make_heartbeat(f"10.0.0.{2 + i}", domain="ab"[i]), 1.0)
    assert None not in node.peers.other_owners("shop", 2.0)


def test_late_ticks_of_a_start_are_no_overload():
    node = make_node(started_at_ms=0.0)
    overload(node, 100.0)
    assert not node.peers.is_overloaded


def test_one_long_pause_is_no_overload():
    node = make_serving_node()
    for i in range(20):
        node.handle(EdgeTick(2.0), 100.0 * i)
    node.handle(EdgeTick(5000.0), 7000.0)
    assert not node.peers.is_overloaded
    node.handle(EdgeTick(30.0), 7130.0)
    assert not node.peers.is_overloaded


def test_the_number_of_vms_follows_from_those_of_this_domain():
    """It divides what all VMs that are no owners may use of a limit."""
    node = make_serving_node()
    for i in range(2, 12):
        node.handle(make_heartbeat(f"10.0.0.{i}"), 0.0)
        node.handle(make_heartbeat(f"10.0.1.{i}", domain="b"), 0.0)
    node.handle(make_heartbeat("10.0.0.2", start_id=2), 10.0)
    node.handle(EdgeTick(), 60_000.0)
    assert node.find_service("shop")._count_vms() == 3 * 11


def test_the_list_of_candidates_is_kept_while_nothing_changes():
    """Guards against work for each pair of VMs of a large domain without requests."""
    node = make_serving_node()
    node.handle(make_heartbeat("10.0.0.2"), 0.0)
    first = node.peers.candidates(0.0)
    node.handle(make_heartbeat("10.0.0.2", n_peers=9, revision=4), 700.0)
    node.handle(EdgeTick(), 700.0)
    kept = node.peers.candidates(900.0)
    assert [heartbeat.ip for heartbeat in first] == [x.ip for x in kept]
    assert node.peers.candidates(1500.0) is kept
    for i, (field, value) in enumerate(
        [("is_stopping", True), ("capacity", 1), ("failure_domain", "b")]
    ):
        before = node.peers.candidates(1500.0 + i)
        values = {"domain": "b"} if field == "failure_domain" else {field: value}
        node.handle(make_heartbeat("10.0.0.2", **values), 1500.0 + i)
        assert node.peers.candidates(1500.0 + i) is not before


def test_a_silent_peer_that_is_heard_again_is_a_candidate_at_once():
    node = make_serving_node()
    node.handle(make_heartbeat("10.0.0.2"), 0.0)
    assert len(node.peers.candidates(2000.0)) == 1
    node.handle(make_heartbeat("10.0.0.2"), 2000.0)
    assert len(node.peers.candidates(2000.0)) == 2
