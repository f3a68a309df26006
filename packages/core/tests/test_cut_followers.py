"""The VMs that follow the store for others are cut off from it."""

from hypothesis import given, settings
from hypothesis import strategies as st
from tests.edge_nodes import make_serving_node, messages_of_kind, run_with_peers

from hornbeamstand_core.controllers.store.store_checks import (
    CHECK_INTERVAL_MS,
    CHECK_TIMEOUT_MS,
)
from hornbeamstand_core.controllers.store.watch_scope import (
    UNINFORMED_MAX_MS,
    WATCH_STAGGER_MS,
)
from hornbeamstand_core.edge_node_messages import CheckStore, EdgeTick, StoreChecked

from .store_cell import TICK_MS, StoreCell

N_VMS = 6
SETTLED_MS = 6000.0
# Maximum time until each VM that reaches the store acts on a version.
APPLIED_MAX_MS = 2000.0


def make_cell():
    cell = StoreCell(N_VMS)
    cell.run(SETTLED_MS)
    assert len(cell.watching()) == 2
    return cell


@settings(max_examples=60, deadline=None)
@given(st.sets(st.integers(0, N_VMS - 3), max_size=N_VMS - 3), st.floats(0.0, 3000.0))
def test_a_version_is_in_force_in_time_though_all_followers_are_cut_off(
    others_cut, published_after_ms
):
    """Guards against routes that are refused for seconds by VMs that trust others."""
    cell = make_cell()
    followers = cell.watching()
    others = [ip for ip in cell.nodes if ip not in followers]
    cell.cut = followers | {others[i] for i in others_cut}
    cell.run(published_after_ms)
    cell.publish()
    cell.run(APPLIED_MAX_MS)
    assert cell.outdated() == []


def test_one_vm_of_a_domain_checks_that_it_reaches_the_store():
    """Guards against calls that grow with the number of VMs."""
    cell = make_cell()
    cell.checked_at_ms.clear()
    cell.run(10_000.0)
    assert len({ip for ip, _ in cell.checked_at_ms}) == 1
    assert 10 <= len(cell.checked_at_ms) <= 10_000.0 / CHECK_INTERVAL_MS


def tick_until_check(node, now_ms, wait_ms):
    """Return the time of the next check; it must come in time."""
    until_ms = now_ms + wait_ms
    while now_ms <= until_ms:
        now_ms += TICK_MS
        if messages_of_kind(node.handle(EdgeTick(), now_ms), CheckStore):
            return now_ms
    raise AssertionError("no check in time")


def test_a_follower_whose_first_check_fails_checks_again():
    """Guards against a VM that watches and says for long that it doesn't."""
    node = make_serving_node()
    run_with_peers(node, SETTLED_MS)
    now_ms = tick_until_check(node, SETTLED_MS, SETTLED_MS)
    assert not node.peers.is_watching
    node.handle(StoreChecked(False), now_ms + CHECK_TIMEOUT_MS)
    now_ms = tick_until_check(node, now_ms + CHECK_TIMEOUT_MS, CHECK_INTERVAL_MS)
    node.handle(StoreChecked(True), now_ms)
    assert node.peers.is_watching


def test_one_vm_follows_in_place_of_followers_that_are_cut_off():
    cell = make_cell()
    followers = cell.watching()
    cell.cut = set(followers)
    cell.run(4000.0)
    assert len(cell.watching() - followers) == 1
    cell.cut.clear()
    cell.answer_watches()
    cell.run(2000.0)
    assert cell.watching() == followers


def test_vms_that_find_the_store_away_wait_as_long_as_before():
    """Guards against calls of all VMs in each outage of the store."""
    cell = make_cell()
    followers = cell.watching()
    cell.cut = set(cell.nodes)
    cell.watched_at_ms.clear()
    cell.run(CHECK_INTERVAL_MS + 2 * CHECK_TIMEOUT_MS + UNINFORMED_MAX_MS / 2.0)
    tries = [ip for ip, _ in cell.watched_at_ms if ip not in followers]
    assert sorted(tries) == sorted(set(cell.nodes) - followers)
    cell.watched_at_ms.clear()
    cell.run(2.0 * WATCH_STAGGER_MS)
    tries = [ip for ip, _ in cell.watched_at_ms if ip not in followers]
    assert len(tries) <= 2
