"""Which addresses of other VMs a peer is sent that receives too few heartbeats."""

from ...edge_node_messages import Contacts, SendContacts

# Minimum number of VMs that a peer should receive heartbeats from, as a share of the
# contacts that this VM could send to it. A peer with fewer is sent these contacts.
KNOWN_PEERS_SHARE = 0.6
# Minimum interval between two messages with contacts to the same peer.
CONTACTS_INTERVAL_MS = 400.0
# Maximum number of addresses in one message with contacts.
N_CONTACTS_MAX = 300


def send_contacts(peer, peers, now_ms):
    """Return a message with contacts if the peer has too few peers itself.

    ``peers`` maps the address of each peer of this VM to its Peer.
    """
    if now_ms - peer.contacts_sent_at_ms < CONTACTS_INTERVAL_MS:
        return []
    if peer.heartbeat.n_peers >= KNOWN_PEERS_SHARE * (len(peers) - 1):
        return []
    others = [
        ip
        for ip, other in peers.items()
        if ip != peer.heartbeat.ip
        and is_useful_contact(peer.heartbeat, other.heartbeat)
    ]
    if peer.heartbeat.n_peers >= KNOWN_PEERS_SHARE * len(others):
        return []
    peer.contacts_sent_at_ms = now_ms
    return [SendContacts(peer.heartbeat.ip, Contacts(others[:N_CONTACTS_MAX]))]


def is_useful_contact(receiver, heartbeat):
    """Return whether ``receiver`` needs the address of another VM.

    Both VMs are given by their heartbeats.
    """
    return heartbeat.is_preferred or heartbeat.failure_domain == receiver.failure_domain
