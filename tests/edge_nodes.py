"""Test helpers: edge controllers on a virtual clock, and heartbeats of their peers."""

from hornbeamstand_core.balancer_messages import DeferredReply
from hornbeamstand_core.controllers.edge import EdgeNode
from hornbeamstand_core.discovery import (
    ConfigEntry,
    StoreSnapshot,
)
from hornbeamstand_core.edge_messages import FindRoute
from hornbeamstand_core.edge_node_messages import (
    EdgeHeartbeat,
    EdgeTick,
    Resync,
    RetryLimits,
    SetWatch,
)
from hornbeamstand_core.identity import EdgeIdentity
from hornbeamstand_core.routes import (
    CallerLimits,
    HostRoute,
    RoutingConfig,
    ServiceRules,
    WeightedService,
)


def make_config(version=1, prefix="/x/", service="shop", weighted_services=None):
    """Return a configuration with one route of the host h."""
    weighted_services = weighted_services or [WeightedService(service)]
    route = HostRoute("r", prefix, weighted_services, True, 1000.0, 600.0, 0, 2)
    services = {
        weighted.service_name: ServiceRules(weighted.service_name)
        for weighted in weighted_services
    }
    return RoutingConfig(version, {"h": {prefix: route}}, services, CallerLimits())


def make_node(
    ip="10.0.0.1", domain="a", capacity=0, started_at_ms=-10_000.0, seeds=("10.0.0.9",)
):
    """Return the controllers of one VM, which by default started 10 s before time 0."""
    identity = EdgeIdentity(ip, 1, ip, domain, started_at_ms, capacity)
    return EdgeNode(identity, RetryLimits(0.2, 50.0, 10_000.0, 3), 2, list(seeds))


def make_heartbeat(ip, domain="a", **values):
    """Return a heartbeat of a peer; every field has a default."""
    fields = {
        "start_id": 1,
        "is_serving": True,
        "is_stopping": False,
        "is_settled": True,
        "is_preferred": True,
        "is_watching": True,
        "is_overloaded": False,
        "capacity": 0,
        "n_peers": 8,
        "config_version": 0,
        "revision": 0,
    }
    fields.update(values)
    return EdgeHeartbeat(ip, domain, **fields)


def make_snapshot(*records, revision=1):
    """Return a snapshot of the whole store."""
    return StoreSnapshot(list(records), revision)


def make_serving_node(now_ms=0.0, **values):
    """Return the controllers of a VM that has a configuration and serves."""
    node = make_node(**values)
    node.handle(make_snapshot(ConfigEntry("op/config", make_config())), now_ms)
    return node


def find_route(node, path="/x/y", now_ms=0.0):
    """Return the reply to a FindRoute message."""
    message = FindRoute("r1", "h", path)
    replies = [m for m in node.handle(message, now_ms) if isinstance(m, DeferredReply)]
    return replies[0].reply


def deliver_heartbeats(node, now_ms, n_peers=7, **values):
    """Deliver a heartbeat of each of ``n_peers`` peers, and then a tick.

    The peers have a larger capacity than make_node() gives by default, and addresses
    from 10.0.0.2 on. Returns the messages that result.
    """
    values = {"capacity": 3, "config_version": 1, **values}
    out = []
    for i in range(2, 2 + n_peers):
        out += node.handle(make_heartbeat(f"10.0.0.{i}", **values), now_ms)
    return out + node.handle(EdgeTick(), now_ms)


def watch_scopes(messages):
    """Return the watch scopes that messages set, in order."""
    return [m.scope for m in messages if isinstance(m, SetWatch)]


def run_with_peers(node, until_ms, from_ms=0.0, **values):
    """Deliver heartbeats of peers and a tick every 200 ms until a time.

    Returns the watch scopes that the node sets, in order.
    """
    scopes = []
    now_ms = from_ms
    while now_ms < until_ms:
        scopes += watch_scopes(deliver_heartbeats(node, now_ms, **values))
        now_ms += 200.0
    return scopes


def resyncs_at(node, now_ms):
    """Deliver a tick and return the Resync messages that result."""
    return [m for m in node.handle(EdgeTick(), now_ms) if isinstance(m, Resync)]


def deferred_replies(messages):
    """Return the replies of the DeferredReply messages, in order."""
    return [m.reply for m in messages if isinstance(m, DeferredReply)]


def messages_of_kind(messages, kind):
    """Return the messages of one kind."""
    return [m for m in messages if isinstance(m, kind)]
