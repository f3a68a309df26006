"""Routes, peers and the store's records at one VM, on a virtual clock."""

import pytest
from tests.edge_parts import entry

from hornbeamstand_core.balancer_messages import Granted
from hornbeamstand_core.controllers.edge import EdgeIdentity, EdgeNode, RepeatBounds
from hornbeamstand_core.discovery import (
    BadEntry,
    ConfigEntry,
    DomainOut,
    Removed,
    StoreAway,
    StoreBack,
    StoreChanges,
    StoreSnapshot,
    VmEntry,
)
from hornbeamstand_core.edge_messages import Belief, FindRoute
from hornbeamstand_core.edge_node_messages import (
    Beat,
    EdgeTick,
    Follow,
    Resync,
    SendBeat,
    StopEdge,
)
from hornbeamstand_core.messages import Refusal
from hornbeamstand_core.routes import (
    CallerLimits,
    HostRoute,
    Part,
    RoutingConfig,
    ServiceRules,
)


def config(version=1, prefix="/x/", service="shop", parts=None):
    parts = parts or [Part(service)]
    route = HostRoute("r", prefix, parts, True, 1000.0, 600.0, 0, 2)
    services = {part.service_name: ServiceRules(part.service_name) for part in parts}
    return RoutingConfig(version, {"h": {prefix: route}}, services, CallerLimits())


def make_node(ip="10.0.0.1", domain="a", capacity=0):
    me = EdgeIdentity(ip, 1, ip, domain, -10_000.0, capacity)
    return EdgeNode(me, RepeatBounds(0.2, 50.0, 10_000.0, 3), 2, ["10.0.0.9"])


def beat(ip, domain="a", **values):
    fields = {
        "start_id": 1,
        "is_serving": True,
        "is_stopping": False,
        "is_settled": True,
        "is_frequent": True,
        "is_following": True,
        "capacity": 0,
        "config_version": 0,
        "revision": 0,
    }
    fields.update(values)
    return Beat(ip, domain, **fields)


def snapshot(*records, revision=1):
    return StoreSnapshot(list(records), revision)


def configured(now_ms=0.0, **values):
    node = make_node(**values)
    node.handle(snapshot(ConfigEntry("op/config", config())), now_ms)
    return node


def route(node, path="/x/y", now_ms=0.0):
    message = FindRoute("r1", "h", path)
    granted = [m for m in node.handle(message, now_ms) if isinstance(m, Granted)]
    return granted[0].reply


# Routes.


def test_without_a_configuration_a_request_is_refused_not_unknown():
    reply = route(make_node())
    assert isinstance(reply, Refusal)
    assert reply.status == 503


def test_a_path_without_a_route_is_unknown():
    assert route(configured(), "/other/").status == 404


@pytest.mark.parametrize(
    ("path", "prefix"),
    [
        ("/a/b/c", "/a/b/"),
        ("/a/c", "/a/"),
        ("/a/b/", "/a/b/"),
        ("/a/b?x=/a/b/c/", "/a/"),
        ("/z", "/"),
        ("/a/b%2Fc", "/a/"),
    ],
)
def test_the_longest_prefix_wins(path, prefix):
    routes = {p: HostRoute(p, p, [Part("s")]) for p in ("/", "/a/", "/a/b/")}
    found = RoutingConfig(1, {"h": routes}, {}, CallerLimits()).find("h", path)
    assert found.prefix == prefix


def test_parts_get_their_weights_share():
    node = make_node()
    parts = [Part("big", 90.0), Part("small", 10.0)]
    node.handle(snapshot(ConfigEntry("op/config", config(parts=parts))), 0.0)
    drawn = [route(node).terms.service_name for _ in range(100)]
    assert drawn.count("small") == 10


def test_an_older_version_never_comes_back():
    node = configured()
    new = ConfigEntry("op/config", config(5, "/new/"))
    node.handle(StoreChanges([new], 5), 0.0)
    old = ConfigEntry("op/config", config(4, "/x/"))
    node.handle(StoreChanges([old], 6), 0.0)
    assert node.routing.version == 5
    assert route(node, "/x/").status == 404


# The store.


def test_a_domain_is_out_until_its_key_is_removed_or_missing():
    node = configured()
    out = DomainOut("op/evacuate/a", "a")
    node.handle(StoreChanges([out, entry("t1", "a")], 2), 0.0)
    assert node.services["shop"].usable(0.0) == []
    node.handle(StoreChanges([Removed("op/evacuate/a")], 3), 0.0)
    assert len(node.services["shop"].usable(0.0)) == 1
    node.handle(StoreChanges([out], 4), 0.0)
    node.handle(snapshot(entry("t1", "a"), revision=5), 0.0)
    assert len(node.services["shop"].usable(0.0)) == 1


def test_a_target_missing_from_a_snapshot_is_gone():
    node = configured()
    node.handle(snapshot(entry("t1"), entry("t2")), 0.0)
    node.handle(snapshot(entry("t2"), revision=2), 0.0)
    assert set(node.services["shop"].targets) == {"t2"}


def test_a_bad_entry_names_no_target_and_leaves_a_line():
    node = configured()
    out = node.handle(StoreChanges([BadEntry("servers/t9", "no slots")], 2), 0.0)
    assert [m.event for m in out if isinstance(m, Belief)] == ["unreadable entry"]
    assert not node.table.by_key


def test_targets_stay_in_use_while_the_store_is_away():
    node = configured()
    node.handle(snapshot(entry("t1")), 0.0)
    node.handle(StoreAway("no answer"), 100.0)
    node.handle(StoreBack(), 200.0)
    node.handle(StoreChanges([Removed("servers/t1")], 3), 200.0)
    assert "t1" in node.services["shop"].targets
    node.handle(EdgeTick(), 2300.0)
    assert "t1" not in node.services["shop"].targets


def test_a_follower_that_a_peer_is_ahead_of_reads_again():
    node = configured()
    node.handle(EdgeTick(), 400.0)
    node.handle(beat("10.0.0.2", revision=50), 410.0)
    node.handle(beat("10.0.0.2", revision=50), 1200.0)
    assert not resyncs(node, 1300.0)
    assert resyncs(node, 1700.0)


def test_a_vm_that_misses_a_version_reads_again_though_it_does_not_follow():
    """Load: a watch that the store took while it was silent is never answered."""
    node = configured()
    for now_ms in (400.0, 900.0, 1400.0):
        for i in range(2, 9):
            node.handle(beat(f"10.0.0.{i}", capacity=3, config_version=2), now_ms)
        found = resyncs(node, now_ms)
    assert not node.peers.is_following
    assert found


def resyncs(node, now_ms):
    return [m for m in node.handle(EdgeTick(), now_ms) if isinstance(m, Resync)]


# Peers.


def test_owners_are_the_same_on_every_vm():
    ips = [f"10.0.0.{i}" for i in range(1, 8)]
    owners = set()
    for ip in ips:
        node = configured(ip=ip)
        for other in ips:
            node.handle(beat(other), 0.0)
        owners.add(node.peers.owner("shop", 50.0, "a"))
    assert len(owners) == 1


def test_a_vm_that_fell_silent_is_not_named():
    node = configured()
    node.handle(beat("10.0.0.2"), 0.0)
    assert set(node.named_ips("h", "a", 100.0)) == {"10.0.0.1", "10.0.0.2"}
    node.handle(EdgeTick(), 1000.0)
    assert node.named_ips("h", "a", 1000.0) == ["10.0.0.1"]


def test_a_stopping_vm_is_not_named_but_may_still_answer():
    node = configured()
    node.handle(beat("10.0.0.2"), 0.0)
    node.handle(beat("10.0.0.2", is_stopping=True), 10.0)
    assert node.named_ips("h", "a", 100.0) == ["10.0.0.1"]
    assert node.peers.is_alive("10.0.0.2", 100.0)


def test_vms_of_the_callers_domain_are_named_first():
    node = configured()
    for ip, domain in (("10.0.0.2", "b"), ("10.0.0.3", "b"), ("10.0.0.4", "c")):
        node.handle(beat(ip, domain), 0.0)
    assert set(node.named_ips("h", "b", 50.0)) == {"10.0.0.2", "10.0.0.3"}


def test_larger_vms_own_before_smaller_ones():
    node = configured()
    node.handle(beat("10.0.0.2", capacity=2), 0.0)
    assert node.peers.owner("shop", 50.0, "a") == "10.0.0.2"


def test_a_vm_that_serves_nothing_yet_is_no_candidate():
    node = make_node()
    node.handle(beat("10.0.0.2", is_serving=False), 0.0)
    assert node.named_ips("h", "a", 50.0) == []


def test_a_new_peer_hears_of_this_vm_at_once():
    node = configured()
    out = node.handle(beat("10.0.0.2"), 0.0)
    assert [m.ip for m in out if isinstance(m, SendBeat)] == ["10.0.0.2"]


def test_contacts_come_from_seeds_and_from_the_store():
    node = make_node()
    node.handle(snapshot(VmEntry("k", "vm5", "10.0.0.5")), 0.0)
    out = node.handle(EdgeTick(), 0.0)
    called = {m.ip for m in out if isinstance(m, SendBeat)}
    assert called == {"10.0.0.9", "10.0.0.5"}


def test_only_vms_that_stand_by_follow_the_targets():
    node = configured(ip="10.0.0.1")
    for i in range(2, 9):
        node.handle(beat(f"10.0.0.{i}", capacity=3), 0.0)
    node.handle(EdgeTick(), 400.0)
    assert not node.peers.is_following
    node = configured(capacity=5)
    assert not [m for m in node.handle(EdgeTick(), 100.0) if isinstance(m, Follow)]
    out = node.handle(EdgeTick(), 400.0)
    assert [m.is_on for m in out if isinstance(m, Follow)] == [True]


def test_a_vm_that_need_not_follow_any_more_forgets_the_targets():
    node = configured()
    node.handle(EdgeTick(), 400.0)
    assert node.peers.is_following
    node.handle(snapshot(entry("t1")), 400.0)
    for now_ms in range(600, 9000, 200):
        for i in range(2, 9):
            node.handle(beat(f"10.0.0.{i}", capacity=3), float(now_ms))
        node.handle(EdgeTick(), float(now_ms))
    assert not node.peers.is_following
    assert not node.table.by_key


def test_a_vm_that_never_followed_forgets_the_targets_of_its_first_read():
    """An old table would send work to targets that are leaving."""
    node = configured()
    node.handle(snapshot(entry("t1")), 0.0)
    for now_ms in range(200, 4000, 200):
        for i in range(2, 9):
            node.handle(beat(f"10.0.0.{i}", capacity=3), float(now_ms))
        node.handle(EdgeTick(), float(now_ms))
    assert not node.table.by_key


def test_a_stop_is_told_to_every_peer():
    node = configured()
    node.handle(beat("10.0.0.2"), 0.0)
    out = node.handle(StopEdge(), 10.0)
    told = [m for m in out if isinstance(m, SendBeat)]
    assert [(m.ip, m.beat.is_stopping) for m in told] == [("10.0.0.2", True)]
