"""Edge controllers on a virtual clock, and the peers that they hear."""

from hornbeamstand_core.balancer_messages import Granted
from hornbeamstand_core.controllers.edge import EdgeIdentity, EdgeNode
from hornbeamstand_core.discovery import (
    ConfigEntry,
    StoreSnapshot,
)
from hornbeamstand_core.edge_messages import FindRoute
from hornbeamstand_core.edge_node_messages import (
    Beat,
    EdgeTick,
    Follow,
    RepeatBounds,
    Resync,
)
from hornbeamstand_core.routes import (
    CallerLimits,
    HostRoute,
    Part,
    RoutingConfig,
    ServiceRules,
)


def config(version=1, prefix="/x/", service="shop", parts=None):
    """Return a configuration with one route."""
    parts = parts or [Part(service)]
    route = HostRoute("r", prefix, parts, True, 1000.0, 600.0, 0, 2)
    services = {part.service_name: ServiceRules(part.service_name) for part in parts}
    return RoutingConfig(version, {"h": {prefix: route}}, services, CallerLimits())


def make_node(
    ip="10.0.0.1", domain="a", capacity=0, started_at_ms=-10_000.0, seeds=("10.0.0.9",)
):
    """Return the controllers of one VM, up for 10 s unless told otherwise."""
    me = EdgeIdentity(ip, 1, ip, domain, started_at_ms, capacity)
    return EdgeNode(me, RepeatBounds(0.2, 50.0, 10_000.0, 3), 2, list(seeds))


def beat(ip, domain="a", **values):
    """Return a peer's sign of life; every field has a default."""
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
    """Return a read of the whole store."""
    return StoreSnapshot(list(records), revision)


def configured(now_ms=0.0, **values):
    """Return a VM that serves."""
    node = make_node(**values)
    node.handle(snapshot(ConfigEntry("op/config", config())), now_ms)
    return node


def route(node, path="/x/y", now_ms=0.0):
    """Return the reply to a request's FindRoute."""
    message = FindRoute("r1", "h", path)
    granted = [m for m in node.handle(message, now_ms) if isinstance(m, Granted)]
    return granted[0].reply


def surrounded(node, now_ms, n_peers=7, **values):
    """Let larger VMs be heard; returns what a round then leads to."""
    values = {"capacity": 3, "config_version": 1, **values}
    out = []
    for i in range(2, 2 + n_peers):
        out += node.handle(beat(f"10.0.0.{i}", **values), now_ms)
    return out + node.handle(EdgeTick(), now_ms)


def followed(messages):
    """Return what messages say to follow, in order."""
    return [m.what for m in messages if isinstance(m, Follow)]


def play(node, until_ms, from_ms=0.0, **values):
    """Let peers be heard for a while; returns what was followed, in order."""
    found = []
    now_ms = from_ms
    while now_ms < until_ms:
        found += followed(surrounded(node, now_ms, **values))
        now_ms += 200.0
    return found


def resyncs(node, now_ms):
    """Return what a tick asks of the follower."""
    return [m for m in node.handle(EdgeTick(), now_ms) if isinstance(m, Resync)]


def granted(messages):
    """Return the replies among messages."""
    return [m.reply for m in messages if isinstance(m, Granted)]


def sends(messages, kind):
    """Return the messages of one kind."""
    return [m for m in messages if isinstance(m, kind)]
