"""A store that has lost changes: revisions count only within an era."""

from tests.edge_nodes import (
    make_heartbeat,
    make_serving_node,
    make_snapshot,
    messages_of_kind,
    resyncs_at,
)

from hornbeamstand_core.discovery import StoreEraNoted
from hornbeamstand_core.edge_messages import StateChange
from hornbeamstand_core.edge_node_messages import EdgeTick, Resync


def make_watching_node():
    """Return a node that watches all keys and has seen revision 50 of era 3."""
    node = make_serving_node()
    node.handle(StoreEraNoted(3), 0.0)
    node.handle(EdgeTick(), 600.0)
    node.handle(make_snapshot(revision=50), 600.0)
    return node


def test_a_revision_of_an_earlier_era_is_no_later_one():
    node = make_watching_node()
    out = node.handle(StoreEraNoted(4, 3), 700.0)
    assert [
        change.detail
        for change in messages_of_kind(out, StateChange)
        if change.event == "new era"
    ] == ["era=4 from=3 seen=50"]
    node.handle(make_snapshot(revision=20), 710.0)
    assert (node.peers.era, node.revision) == (4, 20)
    node.handle(make_heartbeat("10.0.0.2", revision=50, era=3), 720.0)
    assert not resyncs_at(node, 1900.0)
    node.handle(make_heartbeat("10.0.0.2", revision=21, era=4), 1910.0)
    assert resyncs_at(node, 3000.0)


def test_a_peer_that_knows_a_later_era_has_the_watch_begun_again_at_once():
    """Guards against a watch that waits on a connection which the store lost."""
    node = make_watching_node()
    later = make_heartbeat("10.0.0.2", revision=20, era=4)
    assert messages_of_kind(node.handle(later, 700.0), Resync) == [Resync(50)]
    assert messages_of_kind(node.handle(later, 710.0), Resync) == []


def test_the_first_era_that_is_stated_changes_nothing():
    node = make_serving_node()
    node.handle(make_snapshot(revision=50), 0.0)
    assert node.handle(StoreEraNoted(3), 10.0) == []
    assert node.revision == 50
