"""Which VMs take part in a service's roll-out: those that may send to its targets."""

from ...edge_node_messages import SendToPeer
from ..peers.ranking import N_PREFERRED


class Participants:
    """The preferred VMs of a service in all failure domains, in order of preference.

    The owners come first, and of these the ones that reach the store.

    Parameters
    ----------
    me : EdgeIdentity
        This VM.
    peers : PeerView
        The other VMs, and the ranking.
    """

    __slots__ = ("me", "peers")

    def __init__(self, me, peers):
        self.me = me
        self.peers = peers

    def is_owner(self, service_name, now_ms):
        """Return whether this VM owns a service in its failure domain."""
        domain = self.me.failure_domain
        return self.peers.ranking.owner(service_name, now_ms, domain) == self.me.ip

    def other_owners(self, service_name, now_ms):
        """Return the addresses of the other VMs that own a service."""
        return self.peers.other_owners(service_name, now_ms)

    def rank(self, service_name, now_ms):
        """Return how many VMs come before this one, or None if it takes no part."""
        ips = self._list(service_name, now_ms)
        if self.me.ip not in ips:
            return None
        ips.sort(key=self._is_cut_off)
        return ips.index(self.me.ip)

    def tell(self, service_name, message, now_ms):
        """Return the messages that send ``message`` to all other participants."""
        ips = self._list(service_name, now_ms)
        return [SendToPeer(ip, message) for ip in ips if ip != self.me.ip]

    def _list(self, service_name, now_ms):
        ranking = self.peers.ranking
        candidates = self.peers.candidates(now_ms)
        domains = sorted({heartbeat.failure_domain for heartbeat in candidates})
        owners = [ranking.owner(service_name, now_ms, domain) for domain in domains]
        others = [
            ip
            for domain in domains
            for ip in ranking.ranked(service_name, now_ms, domain)[:N_PREFERRED]
        ]
        # A dict keeps the first place of each address.
        return list(dict.fromkeys(ip for ip in owners + others if ip is not None))

    def _is_cut_off(self, ip):
        peer = self.peers.peers.get(ip)
        return peer is not None and not peer.heartbeat.is_watching
