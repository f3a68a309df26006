"""Which VMs hold the quotas of a failure domain, and for how much of it."""

# Time for which a silent VM of this failure domain counts as cut off and as a possible
# holder of a part of the quotas: in full, and after that less half of the overage.
SILENT_MAX_MS = 30_000.0
LONG_SILENT_MAX_MS = 600_000.0


class QuotaHolders:
    """The quota holder of each failure domain, by this VM's view of its peers.

    The holder is the first VM of the ranking of the first service by name. It is thus a
    preferred one, which VMs of other failure domains hear too. It stays the holder
    while it is overloaded, because a new one begins without tokens.

    Parameters
    ----------
    peers : PeerView
        The peers.
    routing : Routing
        The configuration in force.
    """

    __slots__ = ("_peers", "_routing")

    def __init__(self, peers, routing):
        self._peers = peers
        self._routing = routing

    def local(self, now_ms):
        """Return the address of the holder in this failure domain, or None."""
        return self._holder(self._peers.me.failure_domain, now_ms)

    def remote(self, now_ms):
        """Return the addresses of the holders in other failure domains, in order."""
        candidates = self._peers.candidates(now_ms)
        domains = {heartbeat.failure_domain for heartbeat in candidates}
        domains.discard(self._peers.me.failure_domain)
        holders = [self._holder(domain, now_ms) for domain in sorted(domains)]
        return [ip for ip in holders if ip is not None]

    def is_local(self, ip):
        """Return whether a VM is in this failure domain."""
        return self._domain(ip) == self._peers.me.failure_domain

    def _holder(self, failure_domain, now_ms):
        config = self._routing.config
        if config is None or not config.services:
            return None
        service_name = min(config.services)
        ranked = self._peers.ranking.ranked(service_name, now_ms, failure_domain)
        if not ranked or self._domain(ranked[0]) != failure_domain:
            return None
        return ranked[0]

    def _domain(self, ip):
        if ip == self._peers.me.ip:
            return self._peers.me.failure_domain
        contact = self._peers.contacts.get(ip)
        return contact.failure_domain if contact else None

    def has_domain_started(self):
        """Return whether the other VMs of this domain have all just started too.

        It is False if this VM hears none of them.
        """
        domain = self._peers.me.failure_domain
        heartbeats = [
            contact.last_heartbeat
            for contact in self._peers.contacts.values()
            if contact.failure_domain == domain
        ]
        return bool(heartbeats) and not any(item.is_settled for item in heartbeats)

    def domain_share(self, overage, now_ms):
        """Return the share of this domain's VMs that this VM hears, itself included.

        VMs that fell silent without a planned stop may be cut off together, with a
        holder of their own. The shares of all holders of the domain are at most 1 in
        sum at first, and at most 1 + ``overage`` after SILENT_MAX_MS, when silent VMs
        may count as ended.
        """
        peers = self._peers
        domain = peers.me.failure_domain
        n_heard = 1 + sum(
            peer.heartbeat.failure_domain == domain for peer in peers.peers.values()
        )
        silences_ms = [
            now_ms - contact.ran_until_ms
            for ip, contact in peers.contacts.items()
            if contact.failure_domain == domain
            and ip not in peers.peers
            and not contact.last_heartbeat.is_stopping
        ]
        n_silent = sum(length_ms < LONG_SILENT_MAX_MS for length_ms in silences_ms)
        share = n_heard / (n_heard + n_silent)
        if n_silent > n_heard:
            return share
        n_silent = sum(length_ms < SILENT_MAX_MS for length_ms in silences_ms)
        # Each half of a domain that is cut in two may add half of the overage.
        return min(share + overage / 2.0, n_heard / (n_heard + n_silent))
