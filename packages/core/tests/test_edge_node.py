"""Routes, targets and the store's records at one VM, on a virtual clock."""

import pytest
from tests.edge_nodes import (
    deferred_replies,
    find_route,
    make_config,
    make_heartbeat,
    make_node,
    make_serving_node,
    make_snapshot,
    messages_of_kind,
)
from tests.edge_parts import make_entry

from hornbeamstand_core.discovery import (
    READY,
    ConfigEntry,
    DomainOutOfService,
    InvalidEntry,
    KeyRemoved,
    StoreAvailable,
    StoreChanges,
    StoreSnapshot,
    StoreUnavailable,
)
from hornbeamstand_core.edge_messages import FIRST, AcquireSlot, StateChange
from hornbeamstand_core.edge_node_messages import (
    EdgeTick,
    RetryLimits,
)
from hornbeamstand_core.messages import Permit, Refusal, Release, UpstreamResponse
from hornbeamstand_core.routes import (
    CallerLimits,
    HostRoute,
    RoutingConfig,
    WeightedService,
)


def test_without_a_configuration_a_request_gets_503_instead_of_404():
    reply = find_route(make_node())
    assert isinstance(reply, Refusal)
    assert reply.status == 503


def test_a_path_without_a_route_gets_404():
    assert find_route(make_serving_node(), "/other/").status == 404


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
    routes = {p: HostRoute(p, p, [WeightedService("s")]) for p in ("/", "/a/", "/a/b/")}
    found = RoutingConfig(1, {"h": routes}, {}, CallerLimits()).find("h", path)
    assert found.prefix == prefix


def test_weighted_services_get_the_share_of_their_weight():
    node = make_node()
    weighted_services = [WeightedService("big", 90.0), WeightedService("small", 10.0)]
    node.handle(
        make_snapshot(
            ConfigEntry("op/config", make_config(weighted_services=weighted_services))
        ),
        0.0,
    )
    selected = [find_route(node).policy.service_name for _ in range(100)]
    assert selected.count("small") == 10


def test_an_older_configuration_never_replaces_a_newer_one():
    node = make_serving_node()
    new = ConfigEntry("op/config", make_config(5, "/new/"))
    node.handle(StoreChanges([new], 5), 0.0)
    old = ConfigEntry("op/config", make_config(4, "/x/"))
    node.handle(StoreChanges([old], 6), 0.0)
    assert node.routing.version == 5
    assert find_route(node, "/x/").status == 404


def test_a_domain_is_out_of_service_until_its_key_is_removed_or_missing():
    node = make_serving_node()
    out = DomainOutOfService("op/evacuate/a", "a")
    node.handle(StoreChanges([out, make_entry("t1", "a")], 2), 0.0)
    assert node.services["shop"].usable_targets(0.0) == []
    node.handle(StoreChanges([KeyRemoved("op/evacuate/a")], 3), 0.0)
    assert len(node.services["shop"].usable_targets(0.0)) == 1
    node.handle(StoreChanges([out], 4), 0.0)
    node.handle(make_snapshot(make_entry("t1", "a"), revision=5), 0.0)
    assert len(node.services["shop"].usable_targets(0.0)) == 1


def test_a_target_missing_from_a_snapshot_is_removed():
    node = make_serving_node()
    node.handle(make_snapshot(make_entry("t1"), make_entry("t2")), 0.0)
    node.handle(make_snapshot(make_entry("t2"), revision=2), 0.0)
    assert set(node.services["shop"].targets) == {"t2"}


def test_an_invalid_entry_adds_no_target_and_is_logged():
    node = make_serving_node()
    out = node.handle(StoreChanges([InvalidEntry("servers/t9", "no slots")], 2), 0.0)
    assert [m.event for m in out if isinstance(m, StateChange)] == ["unreadable entry"]
    assert not node.table.by_key


def acquire(node, request_id, now_ms=0.0):
    """Request a slot of the service "shop"; return the replies to all requests."""
    message = AcquireSlot(
        "shop", request_id, request_id, FIRST, True, 0, 2000.0, 600.0, (), 2
    )
    return deferred_replies(node.handle(message, now_ms))


def test_a_target_whose_entry_became_unreadable_is_not_used_until_it_is_readable():
    """Another writer may overwrite an entry, which then names no target to use."""
    node = make_serving_node()
    node.handle(StoreChanges([make_entry("t1")], 2), 0.0)
    (permit,) = acquire(node, "r1")
    out = node.handle(StoreChanges([InvalidEntry("servers/t1", "no slots")], 3), 1.0)
    assert [m.event for m in messages_of_kind(out, StateChange)] == ["unreadable entry"]
    (refusal,) = acquire(node, "r2")
    assert isinstance(refusal, Refusal)
    node.handle(StoreChanges([make_entry("t1", state=READY)], 4), 2.0)
    target = node.services["shop"].targets["t1"]
    assert target.n_in_flight(2.0) == 1
    node.handle(Release(permit, UpstreamResponse(200, None, None, False)), 3.0)
    assert target.n_in_flight(3.0) == 0
    (permit,) = acquire(node, "r3")
    assert isinstance(permit, Permit)


def test_a_read_of_the_operators_keys_says_nothing_about_targets():
    """A VM that lost the history reads the operators' keys again, without targets."""
    node = make_serving_node()
    node.table.clear()
    snapshot = StoreSnapshot([ConfigEntry("op/config", make_config(2))], 5, False)
    node.handle(snapshot, 0.0)
    assert acquire(node, "r1") == []
    node.handle(make_snapshot(make_entry("t1"), revision=6), 10.0)
    (permit,) = deferred_replies(node.handle(EdgeTick(), 500.0))
    assert isinstance(permit, Permit)


def test_targets_stay_in_use_while_the_store_is_unavailable():
    node = make_serving_node()
    node.handle(make_snapshot(make_entry("t1")), 0.0)
    node.handle(StoreUnavailable("no answer"), 100.0)
    node.handle(StoreAvailable(), 200.0)
    node.handle(StoreChanges([KeyRemoved("servers/t1")], 3), 200.0)
    assert "t1" in node.services["shop"].targets
    node.handle(EdgeTick(), 2300.0)
    assert "t1" not in node.services["shop"].targets


def test_entries_removed_while_only_this_vm_was_cut_off_are_not_kept():
    """A VM that owns its domain's targets is cut off from the store for 12 s.

    Its peers saw changes during that time, so no entry expired in an outage, and
    the removed entries must not be kept as suspect.
    """
    node = make_serving_node()
    node.handle(make_snapshot(make_entry("t1"), make_entry("t2")), 0.0)
    node.handle(EdgeTick(), 600.0)
    node.handle(StoreUnavailable("no answer"), 1000.0)
    node.handle(make_heartbeat("10.0.0.2", revision=50), 2000.0)
    node.handle(StoreAvailable(), 13_000.0)
    node.handle(make_snapshot(make_entry("t2"), revision=60), 13_000.0)
    assert set(node.services["shop"].targets) == {"t2"}


def test_a_peer_that_saw_no_change_does_not_confirm_removals():
    """The store is unavailable to all, but a peer's watch has not detected it yet."""
    node = make_serving_node()
    node.handle(make_snapshot(make_entry("t1"), make_entry("t2")), 0.0)
    node.handle(EdgeTick(), 600.0)
    node.handle(StoreUnavailable("no answer"), 1000.0)
    node.handle(make_heartbeat("10.0.0.2", revision=1), 2000.0)
    node.handle(StoreAvailable(), 13_000.0)
    node.handle(make_snapshot(make_entry("t2"), revision=60), 13_000.0)
    assert set(node.services["shop"].targets) == {"t1", "t2"}


def test_new_retry_limits_apply_to_existing_services():
    """Guards against a reload of the settings that only reaches later services."""
    node = make_serving_node()
    service = node.find_service("shop")
    service.retry_window.note_retry(0.0)
    node.handle(RetryLimits(0.0, 0.0, 5000.0, 3), 10.0)
    assert service.retry_limits.window_ms == 5000.0
    assert service.retry_window.n_left(3, 1, 10.0) == -1.0


class CountingRoutes(dict):
    """Routes by prefix that count the look-ups."""

    n_lookups = 0

    def get(self, prefix, default=None):
        self.n_lookups += 1
        return super().get(prefix, default)


def test_a_path_with_thousands_of_slashes_is_looked_up_a_few_times():
    """Guards against a path that takes the time of other requests."""
    config = make_config(prefix="/x/y/")
    routes = CountingRoutes(config.hosts["h"])
    config.hosts["h"] = routes
    assert config.find("h", "/x/y/" + "/" * 16_000) is not None
    assert config.find("h", "/" * 16_000) is None
    assert routes.n_lookups < 10


def test_a_tick_costs_nothing_for_services_that_only_odd_entries_name():
    """Guards against many entries of another writer that slow down every tick."""
    node = make_serving_node()
    entry = make_entry("t1")
    entry.service_name = "odd"
    node.handle(StoreChanges([entry], 9), 0.0)
    # Any use of it by a tick would fail.
    node.services["odd"].retry_window = None
    node.handle(EdgeTick(), 200.0)
