"""Which VMs of a failure domain say that they watch the store, and how they say it.

``view`` is the PeerView of one VM.
"""

from ...edge_node_messages import SendEdgeHeartbeat


def watching_peers(view, now_ms):
    """Return the heartbeats of the peers of the domain that watch the store."""
    return [
        peer.heartbeat
        for peer in view.peers.values()
        if peer.heartbeat.is_watching
        and view.is_local(peer.heartbeat)
        and not peer.heartbeat.is_stopping
        and not view.is_silent(peer, now_ms)
    ]


def is_first_watching(view, now_ms):
    """Return whether the VM itself watches, as the first by address."""
    if not view.is_watching:
        return False
    return all(view.me.ip < item.ip for item in watching_peers(view, now_ms))


def set_watching(view, is_watching, now_ms):
    """Set whether the VM says that it watches.

    Returns the heartbeats that tell the peers of its domain of a change at once.
    """
    if is_watching == view.is_watching:
        return []
    view.is_watching = is_watching
    heartbeat = view.own_heartbeat(now_ms)
    out = []
    for ip, peer in view.peers.items():
        if view.is_local(peer.heartbeat):
            peer.sent_at_ms = now_ms
            out.append(SendEdgeHeartbeat(ip, heartbeat))
    return out
