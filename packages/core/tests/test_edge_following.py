"""What a VM follows in the store, and what it learns from peers instead."""

from tests.edge_nodes import (
    config,
    configured,
    followed,
    granted,
    heartbeat,
    make_node,
    play,
    resyncs,
    snapshot,
    surrounded,
)
from tests.edge_parts import entry

from hornbeamstand_core.discovery import (
    ConfigEntry,
    StoreChanges,
)
from hornbeamstand_core.edge_messages import FIRST, AcquireSlot
from hornbeamstand_core.edge_node_messages import (
    WATCH_ALL,
    WATCH_NOTHING,
    WATCH_OPERATOR_KEYS,
    EdgeTick,
    FetchConfig,
    SendEdgeHeartbeat,
    SetWatch,
)


def test_a_follower_that_a_peer_is_ahead_of_reads_again():
    node = configured()
    node.handle(EdgeTick(), 600.0)
    node.handle(heartbeat("10.0.0.2", revision=50), 610.0)
    node.handle(heartbeat("10.0.0.2", revision=50), 1400.0)
    assert not resyncs(node, 1500.0)
    assert resyncs(node, 1900.0)


def test_a_vm_that_peers_inform_follows_nothing():
    """Load: a hundred VMs; a watch of each would be paid for at each change."""
    node = configured()
    assert play(node, 5000.0) == []
    assert node.watch_scope.scope == WATCH_NOTHING


def test_a_vm_without_informed_peers_follows_the_operators_itself():
    node = configured()
    assert play(node, 5000.0, n_peers=2, is_watching=False) == [WATCH_OPERATOR_KEYS]
    assert play(node, 8000.0, 5000.0, n_peers=2) == [WATCH_NOTHING]


def test_one_informed_peer_is_enough():
    """Load: the store turns away one of a domain's two VMs that follow it."""
    node = configured()
    found = []
    for now_ms in range(0, 4000, 100):
        node.handle(heartbeat("10.0.0.2", capacity=3, config_version=1), float(now_ms))
        one = heartbeat("10.0.0.3", capacity=3, config_version=1, is_watching=False)
        node.handle(one, float(now_ms))
        found += followed(node.handle(EdgeTick(), float(now_ms)))
    assert found == []


def test_while_the_store_is_down_for_all_one_vm_after_another_asks_it():
    """Load: a hundred VMs and an outage of 8 s; refused calls are paid for too."""
    asked_at_ms = []
    for i in range(9, 20):
        node = configured(ip=f"10.0.0.{i}")
        for now_ms in range(0, 8000, 200):
            for j in range(2, 20):
                capacity = 3 if j < 4 else 0
                values = {"is_watching": False, "config_version": 1}
                if j != i:
                    one = heartbeat(f"10.0.0.{j}", capacity=capacity, **values)
                    node.handle(one, float(now_ms))
            if followed(node.handle(EdgeTick(), float(now_ms))):
                asked_at_ms.append(now_ms)
                break
    assert len(asked_at_ms) < 8
    assert len(set(asked_at_ms)) == len(asked_at_ms)


def test_a_new_version_is_copied_from_the_peer_that_has_it():
    node = configured()
    surrounded(node, 0.0)
    out = surrounded(node, 400.0, config_version=2)
    assert [m.version for m in out if isinstance(m, FetchConfig)] == [2]
    new = ConfigEntry("op/config", config(2), b"copy")
    node.handle(StoreChanges([new], 0), 450.0)
    assert node.routing.version == 2
    assert node.config_raw == b"copy"
    assert not [
        m for m in surrounded(node, 700.0, config_version=2) if type(m) is FetchConfig
    ]


def test_a_version_that_no_copy_brings_is_asked_of_the_store():
    node = configured()
    play(node, 1000.0)
    assert play(node, 3000.0, 1000.0, config_version=2) == [WATCH_OPERATOR_KEYS]


def test_peers_hear_of_a_new_version_in_the_next_round():
    node = configured(capacity=5)
    surrounded(node, 0.0, n_peers=3)
    surrounded(node, 600.0, n_peers=3)
    assert node.watch_scope.scope == WATCH_ALL
    new = ConfigEntry("op/config", config(2), b"copy")
    node.handle(StoreChanges([new], 5), 610.0)
    sent = [
        m for m in node.handle(EdgeTick(), 610.0) if isinstance(m, SendEdgeHeartbeat)
    ]
    assert {m.ip for m in sent if m.heartbeat.config_version == 2} >= {
        "10.0.0.2",
        "10.0.0.3",
        "10.0.0.4",
    }


def test_only_first_contacts_ask_the_store_for_the_first_configuration():
    seed = make_node(started_at_ms=0.0, seeds=("10.0.0.1", "10.0.0.9"))
    assert followed(seed.handle(EdgeTick(), 10.0)) == [WATCH_OPERATOR_KEYS]
    other = make_node(ip="10.0.0.5", started_at_ms=0.0)
    assert followed(other.handle(EdgeTick(), 10.0)) == []
    assert followed(other.handle(EdgeTick(), 2600.0)) == [WATCH_OPERATOR_KEYS]


def test_only_vms_that_stand_by_follow_the_targets():
    node = configured(ip="10.0.0.1")
    surrounded(node, 600.0)
    assert node.watch_scope.scope == WATCH_NOTHING
    node = configured(capacity=5)
    assert not followed(node.handle(EdgeTick(), 100.0))
    assert followed(node.handle(EdgeTick(), 600.0)) == [WATCH_ALL]


def test_a_vm_that_need_not_follow_any_more_forgets_the_targets():
    node = configured()
    node.handle(EdgeTick(), 600.0)
    assert node.peers.is_watching
    node.handle(snapshot(entry("t1")), 600.0)
    assert play(node, 9000.0, 800.0)[-1] == WATCH_NOTHING
    assert not node.peers.is_watching
    assert not node.table.by_key


def test_a_vm_that_never_followed_forgets_the_targets_of_its_first_read():
    """An old table would send work to targets that are leaving."""
    node = configured()
    node.handle(snapshot(entry("t1")), 0.0)
    play(node, 4000.0, 200.0)
    assert not node.table.by_key


def test_a_vm_that_forgot_the_targets_says_so_when_it_follows_them():
    node = configured()
    play(node, 4000.0)
    out = []
    for now_ms in range(4000, 8000, 125):
        out += node.handle(EdgeTick(), float(now_ms))
    follows = [m for m in out if isinstance(m, SetWatch) and m.scope == WATCH_ALL]
    assert not follows[0].has_targets


def test_a_vm_serves_only_once_it_has_read_the_targets():
    """Load: a slow store; a peer's copy of the configuration comes first."""
    node = make_node()
    node.handle(StoreChanges([ConfigEntry("op/config", config())], 0), 0.0)
    assert not node.peers.is_serving
    node.handle(snapshot(), 10.0)
    assert node.peers.is_serving


def test_requests_wait_while_the_targets_are_being_read():
    """Load: both VMs that stood by are gone; the next one has to read first."""
    node = configured()
    play(node, 4000.0)
    ask = AcquireSlot("shop", "r1", "r1#1", FIRST, True, 0, 6000.0, 4600.0)
    assert not granted(node.handle(ask, 4000.0))
    node.handle(snapshot(entry("t1"), revision=9), 4030.0)
    node.handle(StoreChanges([], 9), 4030.0)
    replies = granted(node.handle(EdgeTick(), 4300.0))
    assert [reply.target_id for reply in replies] == ["t1"]
