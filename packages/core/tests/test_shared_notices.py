"""A VM that hears what a target says of itself tells the other owners at once."""

from math import inf, nan

import pytest
from tests.edge_nodes import (
    deliver_heartbeats,
    make_config,
    make_heartbeat,
    make_node,
    make_snapshot,
    messages_of_kind,
)
from tests.edge_parts import ServiceHarness, is_permit, make_entry

from hornbeamstand_core.controllers.targets.notice_sharing import (
    NOTICE_MAX_MS,
    SHARE_INTERVAL_MS,
)
from hornbeamstand_core.discovery import ConfigEntry
from hornbeamstand_core.edge_messages import (
    LoadReport,
    NoticeRelayed,
    TargetNotice,
)
from hornbeamstand_core.edge_node_messages import EdgeTick, SendNotice
from hornbeamstand_core.load_probe_messages import LoadProbeResult
from hornbeamstand_core.messages import Refusal, Release, UpstreamResponse

OWNER_IPS = ["10.0.0.8", "10.0.0.9"]
PAUSE_MS = 5000.0
COLD_MS = 5000.0


def make_harness(*names):
    harness = ServiceHarness([make_entry(name) for name in names or ("t1",)])
    harness.other_owners = OWNER_IPS
    return harness


def report(harness, notice, name="t1"):
    """Deliver the answer to a load probe that has a notice; return what is sent."""
    load = LoadReport(0, 0, 3, 1.0)
    result = LoadProbeResult("shop", name, load, True, notice)
    return sent_notices(harness.service.note_load(result, harness.now_ms))


def sent_notices(messages):
    return [m for m in messages if isinstance(m, SendNotice)]


def relay(harness, notice, name="t1", started_wall_ms=1):
    """Deliver a peer's notice; return what is sent."""
    message = NoticeRelayed("shop", name, notice, started_wall_ms)
    out = harness.service.take_relayed_notice(message, harness.now_ms)
    return sent_notices(out)


def test_what_a_target_says_in_a_response_is_told_to_the_other_owners():
    """Guards against owners in other domains that learn of it by their own requests."""
    harness = make_harness()
    response = UpstreamResponse(200, notice=TargetNotice(True))
    out = harness.service.release(Release(harness.acquire(), response), 0.0)
    sent = sent_notices(out)
    assert [m.ip for m in sent] == OWNER_IPS
    assert sent[0].notice == NoticeRelayed("shop", "t1", TargetNotice(True), 1)


def test_what_another_target_says_at_the_address_is_not_passed_on():
    harness = make_harness()
    response = UpstreamResponse(421, did_not_run=True, notice=TargetNotice(True))
    out = harness.service.release(Release(harness.acquire(), response), 0.0)
    assert sent_notices(out) == []


def test_times_are_passed_on_as_what_remains_of_them():
    harness = make_harness()
    report(harness, TargetNotice(cold_ms=3000.0))
    harness.now_ms = 1000.0
    (sent, _) = report(harness, TargetNotice(True))
    assert sent.notice.notice == TargetNotice(True, cold_ms=2000.0)


def test_a_pause_is_not_passed_on():
    """Guards against VMs that leave out a target which wants only one of them to."""
    harness = make_harness()
    assert report(harness, TargetNotice(pause_ms=PAUSE_MS)) == []
    (sent, _) = report(harness, TargetNotice(True))
    assert sent.notice.notice == TargetNotice(True)


@pytest.mark.parametrize(
    "make_notice",
    [
        lambda left_ms: TargetNotice(True),
        lambda left_ms: TargetNotice(cold_ms=left_ms),
    ],
)
def test_a_repeated_notice_that_says_nothing_new_is_passed_on_once(make_notice):
    """Guards against a datagram for each answer of a target that leaves."""
    harness = make_harness()
    assert len(report(harness, make_notice(COLD_MS))) == 2
    for harness.now_ms in (1.0, 200.0, 1000.0):
        delay_ms = harness.now_ms % 7
        assert report(harness, make_notice(COLD_MS - harness.now_ms + delay_ms)) == []


def test_longer_and_longer_cold_starts_are_passed_on_at_a_bounded_rate():
    harness = make_harness()
    n_sent = 0
    for i in range(100):
        harness.now_ms = 10.0 * i
        n_sent += len(report(harness, TargetNotice(cold_ms=COLD_MS + 1000.0 * i)))
    assert n_sent <= len(OWNER_IPS) * (1000.0 / SHARE_INTERVAL_MS + 1)
    harness.now_ms += SHARE_INTERVAL_MS
    (sent, _) = report(harness, TargetNotice(cold_ms=NOTICE_MAX_MS))
    assert sent.notice.notice.cold_ms == NOTICE_MAX_MS


def test_that_a_target_leaves_is_passed_on_though_a_notice_was_just_sent():
    harness = make_harness()
    report(harness, TargetNotice(cold_ms=COLD_MS))
    assert len(report(harness, TargetNotice(True))) == 2


def test_an_owner_that_appears_is_told_by_the_next_answer():
    """Guards against a notice that counts as told though nobody could be told."""
    harness = make_harness()
    harness.other_owners = []
    assert report(harness, TargetNotice(True)) == []
    harness.other_owners = OWNER_IPS
    assert len(report(harness, TargetNotice(True))) == 2


def test_what_a_peer_passed_on_takes_effect_and_is_not_passed_on_again():
    harness = make_harness("t1", "t2")
    assert relay(harness, TargetNotice(True)) == []
    assert report(harness, TargetNotice(True)) == []
    assert harness.acquire(excluded_ids=["t2"]) is None
    harness.service.waiting.clear()
    assert harness.acquire().target_id == "t2"


def test_waiting_requests_are_refused_when_a_peer_says_that_the_last_target_leaves():
    harness = make_harness()
    while is_permit(harness.acquire()):
        pass
    message = NoticeRelayed("shop", "t1", TargetNotice(True), 1)
    out = harness.service.take_relayed_notice(message, 0.0)
    assert isinstance(harness.first_reply(out), Refusal)


@pytest.mark.parametrize("started_wall_ms", [0, 2])
def test_a_notice_of_another_start_of_the_target_is_left_out(started_wall_ms):
    harness = make_harness()
    relay(harness, TargetNotice(True), started_wall_ms=started_wall_ms)
    assert is_permit(harness.acquire())


def test_a_notice_of_a_relayed_answer_states_no_start_and_is_applied():
    harness = make_harness()
    relay(harness, TargetNotice(True), started_wall_ms=None)
    assert isinstance(harness.acquire(), Refusal)


@pytest.mark.parametrize("duration_ms", [nan, inf, -inf, -5.0, 1e300])
def test_the_times_of_a_peers_notice_are_bounded(duration_ms):
    harness = make_harness()
    relay(harness, TargetNotice(pause_ms=duration_ms, cold_ms=duration_ms))
    harness.now_ms = NOTICE_MAX_MS
    assert not harness.service.targets["t1"].is_cold(harness.now_ms)
    assert is_permit(harness.acquire())


def make_owner(domain="a", is_alone=False):
    """Return a node with one target that is the owner of its domain, and its time."""
    node = make_node(domain=domain, capacity=9)
    records = [ConfigEntry("op/config", make_config()), make_entry("t1")]
    node.handle(make_snapshot(*records), 0.0)
    node.handle(EdgeTick(), 0.0)
    if not is_alone:
        deliver_heartbeats(node, 0.0, n_peers=3)
        for i, other in enumerate(("b", "b", "c")):
            node.handle(make_heartbeat(f"10.0.1.{i}", other, capacity=i), 0.0)
    return node


def hear(node, now_ms=50.0):
    result = LoadProbeResult("shop", "t1", None, True, TargetNotice(True))
    return sent_notices(node.handle(result, now_ms))


def test_one_owner_in_each_failure_domain_is_told():
    sent = hear(make_owner())
    assert [m.ip for m in sent] == ["10.0.1.1", "10.0.1.2"]


def test_a_vm_that_sent_itself_tells_the_owner_of_its_own_domain():
    node = make_owner()
    node.handle(make_heartbeat("10.0.0.2", capacity=10), 0.0)
    assert [m.ip for m in hear(node)] == ["10.0.0.2", "10.0.1.1", "10.0.1.2"]


def test_a_vm_without_peers_tells_nobody():
    assert hear(make_owner(is_alone=True)) == []


def test_a_notice_from_a_peer_reaches_the_target_through_the_node():
    node = make_owner()
    out = node.handle(NoticeRelayed("shop", "t1", TargetNotice(True), 1), 10.0)
    assert messages_of_kind(out, SendNotice) == []
    assert node.services["shop"].targets["t1"].is_leaving
    assert hear(node) == []


def test_notices_of_unknown_services_make_no_state():
    """Guards against memory that grows with what peers name."""
    node = make_owner()
    n_before = len(node.services)
    for i in range(50):
        node.handle(NoticeRelayed(f"s{i}", "t1", TargetNotice(True), 1), 10.0)
    assert len(node.services) == n_before
