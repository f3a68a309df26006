"""Looks up the routes and keys of requests, and the VM that owns their service."""

from ..balancer_messages import DeferredReply
from ..edge_messages import Routed
from ..messages import Refusal
from .peers.peer_records import newest_config_version


class RouteLookup:
    """Replies to the lookups of requests.

    Parameters
    ----------
    routing : Routing
        The configuration in force.
    peers : PeerView
        Tells whether a peer has a newer configuration.
    owner_paths : OwnerPaths
        Selects the peer to relay a request to.
    is_cut_off : callable
        Returns whether this VM can use no owner, at a time in milliseconds.
    """

    __slots__ = ("_routing", "_peers", "_owner_paths", "_is_cut_off")

    def __init__(self, routing, peers, owner_paths, is_cut_off):
        self._routing = routing
        self._peers = peers
        self._owner_paths = owner_paths
        self._is_cut_off = is_cut_off

    def find_route(self, message, now_ms):
        """Return the reply to a FindRoute."""
        found = self._routing.find(message, lambda: self._is_behind(now_ms))
        if not isinstance(found, Refusal):
            found = Routed(found, self._owner_paths.select(found, now_ms), now_ms)
        return [DeferredReply(message.request_id, found)]

    def check_key(self, message, now_ms):
        """Return the reply to a CheckKey."""
        policy = self._routing.check_relayed(message)
        return [DeferredReply(message.request_id, policy)]

    def _is_behind(self, now_ms):
        """Return whether a peer has a newer configuration, or may have it unheard."""
        newest = newest_config_version(self._peers.peers.values())
        return newest > self._routing.version or self._is_cut_off(now_ms)
