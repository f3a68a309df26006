"""The follower's calls: how long the store may hold them, and what they read."""

from contextlib import ExitStack

import gevent
import pytest
from hornbeamstand_core.discovery import StoreAway, StoreBack, StoreSnapshot
from hornbeamstand_core.edge_node_messages import Follow
from hornbeamstand_entry.edge import follower
from hornbeamstand_entry.edge.dialect import StoreCodec, StorePage
from hornbeamstand_entry.edge.follower import Follower
from hornbeamstand_entry.edge.store_client import StoreError
from result import Err, Ok


class Store:
    """Answers reads at once; each watch gets the next of ``answers`` or waits."""

    def __init__(self):
        self.codec = StoreCodec(*[None] * 8, operator_prefix="op/")
        self.calls = []
        self.answers = []

    def read_all(self, prefix):
        self.calls.append(("read", prefix))
        return Ok(StorePage([], 5))

    def watch(self, prefix, revision, wait_ms):
        self.calls.append(("watch", prefix, revision, wait_ms))
        if not self.answers:
            gevent.sleep(60)
        return self.answers.pop(0)


class Log:
    def info(self, event, **fields):
        pass


class Decider:
    def __init__(self):
        self.posted = []

    def post(self, message):
        self.posted.append(message)


@pytest.fixture
def made():
    store, decider = Store(), Decider()
    with ExitStack() as stack:
        task = Follower(store, decider, Log())
        yield store, decider, task, lambda: start(task, stack)


def start(task, stack):
    task.start(stack)
    gevent.sleep(0.01)


def failed(status=0):
    return Err(StoreError("store.watch", "store", "no answer in time", status))


def test_the_first_read_brings_everything_the_watch_the_operators_keys(made):
    store, decider, _, begin = made
    begin()
    assert store.calls == [("read", ""), ("watch", "op/", 5, follower.WATCH_MS)]
    assert isinstance(decider.posted[-1], StoreSnapshot)


def test_after_a_failed_call_the_store_may_not_hold_the_next_for_long(made):
    """A watch that a silent store took would hide every change until its end."""
    store, decider, _, begin = made
    store.answers = [failed(), Ok(StorePage([], 5))]
    begin()
    gevent.sleep(0.2)
    waits = [call[3] for call in store.calls if call[0] == "watch"]
    assert waits == [follower.WATCH_MS, follower.RETRY_WATCH_MS, follower.WATCH_MS]
    kinds = [type(message) for message in decider.posted]
    assert kinds.index(StoreAway) < len(kinds) - 1 - kinds[::-1].index(StoreBack)


def test_the_first_vm_of_a_domain_asks_often(made):
    store, _, task, begin = made
    begin()
    task.follow(Follow(True, True))
    gevent.sleep(0.01)
    assert store.calls[-1] == ("watch", "", 5, follower.FIRST_WATCH_MS)


def test_lost_history_is_read_anew(made):
    store, _, _, begin = made
    store.answers = [failed(410)]
    begin()
    gevent.sleep(0.1)
    assert [call[0] for call in store.calls] == ["read", "watch", "read", "watch"]


def test_a_vm_that_follows_again_reads_everything_again(made):
    store, _, task, begin = made
    begin()
    for is_on in (True, False, True):
        task.follow(Follow(is_on))
        gevent.sleep(0.01)
    assert store.calls[-2:] == [("read", ""), ("watch", "", 5, follower.WATCH_MS)]
