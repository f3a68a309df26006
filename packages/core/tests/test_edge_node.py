"""Routes, peers and the store's records at one VM, on a virtual clock."""

import pytest
from tests.edge_parts import entry

from hornbeamstand_core.balancer_messages import Granted
from hornbeamstand_core.controllers.edge import EdgeIdentity, EdgeNode
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
from hornbeamstand_core.edge_messages import FIRST, AcquireSlot, Belief, FindRoute
from hornbeamstand_core.edge_node_messages import (
    NOTHING,
    OPERATORS,
    TARGETS,
    Beat,
    Contacts,
    EdgeTick,
    FetchConfig,
    Follow,
    RepeatBounds,
    Resync,
    SendBeat,
    SendContacts,
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


def make_node(
    ip="10.0.0.1", domain="a", capacity=0, started_at_ms=-10_000.0, seeds=("10.0.0.9",)
):
    me = EdgeIdentity(ip, 1, ip, domain, started_at_ms, capacity)
    return EdgeNode(me, RepeatBounds(0.2, 50.0, 10_000.0, 3), 2, list(seeds))


def beat(ip, domain="a", **values):
    fields = {
        "start_id": 1,
        "is_serving": True,
        "is_stopping": False,
        "is_settled": True,
        "is_frequent": True,
        "is_following": True,
        "capacity": 0,
        "n_peers": 8,
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


def test_what_left_while_only_this_vm_was_cut_off_is_gone_at_once():
    """Load: a VM is cut off from the store for 12 s and owns its domain's targets.

    Its peers saw changes all the while, so no entry lapsed by an outage.
    """
    node = configured()
    node.handle(snapshot(entry("t1"), entry("t2")), 0.0)
    node.handle(EdgeTick(), 600.0)
    node.handle(StoreAway("no answer"), 1000.0)
    node.handle(beat("10.0.0.2", revision=50), 2000.0)
    node.handle(StoreBack(), 13_000.0)
    node.handle(snapshot(entry("t2"), revision=60), 13_000.0)
    assert set(node.services["shop"].targets) == {"t2"}


def test_a_peer_that_has_seen_no_change_does_not_end_the_doubt():
    """Load: the store is silent for all; a peer's watch has not noticed yet."""
    node = configured()
    node.handle(snapshot(entry("t1"), entry("t2")), 0.0)
    node.handle(EdgeTick(), 600.0)
    node.handle(StoreAway("no answer"), 1000.0)
    node.handle(beat("10.0.0.2", revision=1), 2000.0)
    node.handle(StoreBack(), 13_000.0)
    node.handle(snapshot(entry("t2"), revision=60), 13_000.0)
    assert set(node.services["shop"].targets) == {"t1", "t2"}


def test_a_follower_that_a_peer_is_ahead_of_reads_again():
    node = configured()
    node.handle(EdgeTick(), 600.0)
    node.handle(beat("10.0.0.2", revision=50), 610.0)
    node.handle(beat("10.0.0.2", revision=50), 1400.0)
    assert not resyncs(node, 1500.0)
    assert resyncs(node, 1900.0)


def surrounded(node, now_ms, n_peers=7, **values):
    """Let larger VMs be heard; returns what a round then leads to."""
    values = {"capacity": 3, "config_version": 1, **values}
    out = []
    for i in range(2, 2 + n_peers):
        out += node.handle(beat(f"10.0.0.{i}", **values), now_ms)
    return out + node.handle(EdgeTick(), now_ms)


def followed(messages):
    return [m.what for m in messages if isinstance(m, Follow)]


def play(node, until_ms, from_ms=0.0, **values):
    """Let peers be heard for a while; returns what was followed, in order."""
    found = []
    now_ms = from_ms
    while now_ms < until_ms:
        found += followed(surrounded(node, now_ms, **values))
        now_ms += 200.0
    return found


def test_a_vm_that_peers_inform_follows_nothing():
    """Load: a hundred VMs; a watch of each would be paid for at each change."""
    node = configured()
    assert play(node, 5000.0) == []
    assert node.following.what == NOTHING


def test_a_vm_without_informed_peers_follows_the_operators_itself():
    node = configured()
    assert play(node, 5000.0, n_peers=2, is_following=False) == [OPERATORS]
    assert play(node, 8000.0, 5000.0, n_peers=2) == [NOTHING]


def test_one_informed_peer_is_enough():
    """Load: the store turns away one of a domain's two VMs that follow it."""
    node = configured()
    found = []
    for now_ms in range(0, 4000, 100):
        node.handle(beat("10.0.0.2", capacity=3, config_version=1), float(now_ms))
        one = beat("10.0.0.3", capacity=3, config_version=1, is_following=False)
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
                values = {"is_following": False, "config_version": 1}
                if j != i:
                    one = beat(f"10.0.0.{j}", capacity=capacity, **values)
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
    assert play(node, 3000.0, 1000.0, config_version=2) == [OPERATORS]


def test_peers_hear_of_a_new_version_in_the_next_round():
    node = configured(capacity=5)
    surrounded(node, 0.0, n_peers=3)
    surrounded(node, 600.0, n_peers=3)
    assert node.following.what == TARGETS
    new = ConfigEntry("op/config", config(2), b"copy")
    node.handle(StoreChanges([new], 5), 610.0)
    sent = [m for m in node.handle(EdgeTick(), 610.0) if isinstance(m, SendBeat)]
    assert {m.ip for m in sent if m.beat.config_version == 2} >= {
        "10.0.0.2",
        "10.0.0.3",
        "10.0.0.4",
    }


def test_only_first_contacts_ask_the_store_for_the_first_configuration():
    seed = make_node(started_at_ms=0.0, seeds=("10.0.0.1", "10.0.0.9"))
    assert followed(seed.handle(EdgeTick(), 10.0)) == [OPERATORS]
    other = make_node(ip="10.0.0.5", started_at_ms=0.0)
    assert followed(other.handle(EdgeTick(), 10.0)) == []
    assert followed(other.handle(EdgeTick(), 2600.0)) == [OPERATORS]


def resyncs(node, now_ms):
    return [m for m in node.handle(EdgeTick(), now_ms) if isinstance(m, Resync)]


def test_new_limits_of_repeats_hold_for_services_at_hand():
    """A reload of the settings once reached later services only."""
    node = configured()
    service = node.find_service("shop")
    service.repeats.note_repeat(0.0)
    node.handle(RepeatBounds(0.0, 0.0, 5000.0, 3), 10.0)
    assert service.bounds.window_ms == 5000.0
    assert service.repeats.n_left(3, 10.0) == -1.0


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
    node.handle(EdgeTick(), 0.0)
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
    surrounded(node, 600.0)
    assert node.following.what == NOTHING
    node = configured(capacity=5)
    assert not followed(node.handle(EdgeTick(), 100.0))
    assert followed(node.handle(EdgeTick(), 600.0)) == [TARGETS]


def test_a_vm_that_need_not_follow_any_more_forgets_the_targets():
    node = configured()
    node.handle(EdgeTick(), 600.0)
    assert node.peers.is_following
    node.handle(snapshot(entry("t1")), 600.0)
    assert play(node, 9000.0, 800.0)[-1] == NOTHING
    assert not node.peers.is_following
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
    follows = [m for m in out if isinstance(m, Follow) and m.what == TARGETS]
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


def granted(messages):
    return [m.reply for m in messages if isinstance(m, Granted)]


def test_a_first_contact_tells_a_new_vm_of_the_others():
    node = make_node(seeds=("10.0.0.1",))
    surrounded(node, 0.0)
    out = node.handle(beat("10.0.0.50", n_peers=0), 10.0)
    told = [m for m in out if isinstance(m, SendContacts)]
    assert [m.ip for m in told] == ["10.0.0.50"]
    assert set(told[0].contacts.ips) == {f"10.0.0.{i}" for i in range(2, 9)}
    node.handle(beat("10.0.0.60", "b", is_frequent=False), 20.0)
    out = node.handle(beat("10.0.0.61", "b", n_peers=0), 30.0)
    assert "10.0.0.60" in sends(out, SendContacts)[0].contacts.ips
    out = node.handle(beat("10.0.0.62", n_peers=0), 40.0)
    ips = sends(out, SendContacts)[0].contacts.ips
    assert "10.0.0.60" not in ips
    assert "10.0.0.61" in ips
    assert not sends(node.handle(beat("10.0.0.50", n_peers=1), 100.0), SendContacts)
    # The datagram may have been lost.
    assert sends(node.handle(beat("10.0.0.50", n_peers=1), 600.0), SendContacts)
    assert not sends(node.handle(beat("10.0.0.50", n_peers=7), 1200.0), SendContacts)


def sends(messages, kind):
    return [m for m in messages if isinstance(m, kind)]


def test_contacts_that_a_peer_tells_of_are_called():
    node = make_node()
    node.handle(Contacts(["10.0.0.5", "10.0.0.1"]), 0.0)
    called = {m.ip for m in sends(node.handle(EdgeTick(), 0.0), SendBeat)}
    assert called == {"10.0.0.9", "10.0.0.5"}


def test_contacts_that_never_answer_are_called_less_and_less():
    node = configured()
    called_at_ms = []
    for now_ms in range(0, 60_000, 125):
        if sends(node.handle(EdgeTick(), float(now_ms)), SendBeat):
            called_at_ms.append(now_ms)
    assert len(called_at_ms) <= 8
    assert called_at_ms[-1] - called_at_ms[-2] <= 16_125


def test_vms_of_other_domains_hear_each_other_only_if_both_stand_by():
    """Load: a hundred VMs; bytes between failure domains are paid for."""
    node = configured(capacity=5)
    near = beat("10.0.0.2")
    far = beat("10.0.0.3", "b", is_frequent=False)
    far_frequent = beat("10.0.0.4", "b")
    for message in (near, far, far_frequent):
        node.handle(message, 0.0)
    sent = []
    for now_ms in range(0, 3000, 125):
        for message in (near, far_frequent):
            node.handle(message, float(now_ms))
        sent += sends(node.handle(EdgeTick(), float(now_ms)), SendBeat)
    counts = {ip: sum(m.ip == ip for m in sent) for ip in ("10.0.0.3", "10.0.0.4")}
    assert counts["10.0.0.3"] <= 1
    assert counts["10.0.0.4"] >= 3


def test_a_stop_is_told_to_every_peer():
    node = configured()
    node.handle(beat("10.0.0.2"), 0.0)
    out = node.handle(StopEdge(), 10.0)
    told = [m for m in out if isinstance(m, SendBeat)]
    assert [(m.ip, m.beat.is_stopping) for m in told] == [("10.0.0.2", True)]
