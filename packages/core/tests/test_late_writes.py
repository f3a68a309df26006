"""Writes of targets that the store does late, after later ones of the same target."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.edge_nodes import make_serving_node, make_snapshot
from tests.edge_parts import make_entry

from hornbeamstand_core.controllers.targets.earlier_starts import REWRITE_MAX_MS
from hornbeamstand_core.discovery import (
    DRAINING,
    READY,
    InvalidEntry,
    KeyRemoved,
    StoreAvailable,
    StoreChanges,
    StoreUnavailable,
)
from hornbeamstand_core.edge_messages import TargetNotice
from hornbeamstand_core.edge_node_messages import EdgeTick
from hornbeamstand_core.target_copy_messages import HeldTarget

KEY = make_entry("t1").key


def write(sequence, state=READY, started_wall_ms=5, cold_ms=0.0):
    return make_entry("t1", "a", 3, state, cold_ms, started_wall_ms, sequence)


class Follower:
    """A VM that follows the writes of one target, on a virtual clock."""

    def __init__(self, *entries):
        self.now_ms = 0.0
        self.revision = 1
        self.node = make_serving_node()
        self.read(*entries)

    def change(self, *records):
        self.revision += 1
        message = StoreChanges(list(records), self.revision)
        self.node.handle(message, self.now_ms)

    def read(self, *entries):
        self.revision += 1
        message = make_snapshot(*entries, revision=self.revision)
        self.node.handle(message, self.now_ms)

    def copy(self, entry, is_leaving=False):
        """Use a target as a peer holds it."""
        held = HeldTarget(entry, is_leaving)
        self.node.recovery._use([held], self.now_ms, self.now_ms)

    def remove(self):
        self.change(KeyRemoved(KEY))

    def drop(self):
        """Drop the targets, as a VM does that no longer has to serve."""
        self.node.table.clear()

    def wait(self, wait_ms):
        self.now_ms += wait_ms
        self.node.handle(EdgeTick(), self.now_ms)

    @property
    def target(self):
        return self.node.table.by_key.get(KEY)

    @property
    def is_offered(self):
        return self.target is not None and self.target.is_offered


WAYS = [Follower.change, Follower.read, Follower.copy]


@pytest.mark.parametrize("tell", WAYS)
def test_a_late_write_opens_no_draining_target(tell):
    """Guards against requests to a server that has said that it leaves."""
    vm = Follower(write(2))
    vm.change(write(4, DRAINING))
    tell(vm, write(3))
    assert not vm.is_offered
    vm.change(write(5, DRAINING))
    tell(vm, write(3))
    assert not vm.is_offered


@pytest.mark.parametrize("tell", WAYS)
@pytest.mark.parametrize("leave", [Follower.remove, Follower.drop])
def test_a_late_write_brings_no_draining_target_back(tell, leave):
    """Guards against requests to a server whose entry was removed as it left."""
    vm = Follower(write(2))
    vm.change(write(4, DRAINING))
    leave(vm)
    tell(vm, write(3))
    assert not vm.is_offered


def test_a_late_write_begins_no_cold_start_and_ends_no_doubt():
    vm = Follower(write(4))
    vm.node.handle(StoreUnavailable("down"), vm.now_ms)
    vm.remove()
    vm.change(write(3, cold_ms=3000.0))
    assert not vm.target.is_cold(vm.now_ms)
    assert vm.node.table.is_suspect(KEY)


def test_a_late_write_opens_no_target_whose_entry_can_not_be_read():
    vm = Follower(write(4))
    vm.change(InvalidEntry(KEY, "no slots"))
    vm.change(write(3))
    assert not vm.is_offered
    vm.change(write(5))
    assert vm.is_offered


def test_a_target_that_writes_again_counts():
    vm = Follower(write(2))
    vm.change(write(4, DRAINING))
    vm.change(write(5))
    assert vm.is_offered
    vm.remove()
    vm.change(write(5))
    assert vm.is_offered


@pytest.mark.parametrize("tell", WAYS)
def test_a_late_write_of_an_earlier_start_changes_nothing(tell):
    """Guards against requests to a server that was restarted and leaves."""
    vm = Follower(write(7))
    vm.change(write(1, started_wall_ms=9))
    vm.change(write(2, DRAINING, started_wall_ms=9))
    tell(vm, write(8))
    assert not vm.is_offered
    vm.change(write(3, DRAINING, started_wall_ms=9))
    vm.wait(REWRITE_MAX_MS + 1.0)
    assert not vm.is_offered


def test_what_a_start_said_itself_outlasts_a_late_write_of_an_earlier_one():
    vm = Follower(write(1, started_wall_ms=9))
    vm.target.take_notice(TargetNotice(True), vm.now_ms)
    vm.change(write(8))
    vm.change(write(2, started_wall_ms=9))
    assert not vm.is_offered


def test_a_copy_of_an_earlier_start_says_nothing_of_the_later_one():
    vm = Follower(write(1, started_wall_ms=9))
    vm.copy(write(8), is_leaving=True)
    assert vm.is_offered


@pytest.mark.parametrize("wait_ms", [0.0, REWRITE_MAX_MS])
def test_a_start_with_a_clock_that_went_back_counts_once_the_later_one_is_silent(
    wait_ms,
):
    """Guards against a restarted server that never gets a request."""
    vm = Follower(write(1, DRAINING, started_wall_ms=9))
    vm.change(write(1))
    vm.wait(wait_ms / 2.0)
    vm.change(write(2))
    vm.wait(wait_ms / 2.0)
    assert vm.is_offered == (wait_ms == REWRITE_MAX_MS)


def test_an_outage_gives_the_later_start_time_to_write_again():
    vm = Follower(write(1, DRAINING, started_wall_ms=9))
    vm.change(write(8))
    vm.node.handle(StoreUnavailable("down"), vm.now_ms)
    vm.wait(REWRITE_MAX_MS + 1.0)
    assert not vm.is_offered
    vm.node.handle(StoreAvailable(), vm.now_ms)
    vm.change(write(2, DRAINING, started_wall_ms=9))
    vm.wait(REWRITE_MAX_MS + 1.0)
    assert not vm.is_offered


writes = st.lists(
    st.tuples(st.integers(1, 9), st.sampled_from([READY, DRAINING])),
    min_size=1,
    max_size=8,
    unique_by=lambda item: item[0],
)


@given(writes, st.data())
def test_the_latest_write_counts_in_whatever_order_the_store_does_them(items, data):
    order = data.draw(st.permutations(items + items[:2]))
    vm = Follower(write(0))
    last = (0, READY)
    for sequence, state in order:
        tell = data.draw(st.sampled_from([Follower.change, Follower.read]))
        tell(vm, write(sequence, state))
        last = max(last, (sequence, state))
        assert vm.is_offered == (last[1] == READY)
