"""Which entry VM owns a service, and which VMs lookups name.

The owner of a service in a failure domain counts the requests to the service's targets
there. Ownership is a preference, not an exclusive right: it keeps one count exact in
normal operation. A VM that can't reach the owner serves the request itself, from its
own counts and the targets' load reports.
"""

from math import inf

from ...hashing import score

# Number of VMs at the head of a service's ranking that are preferred: they send
# heartbeats at the short intervals and watch the targets.
N_PREFERRED = 2
# Number of VMs behind those that a lookup names that may take the place of overloaded
# ones.
N_SPARE = 1
# Maximum number of candidates in a failure domain for which one VM owns all services.
# With more of them, each service has its own ranking and owner.
N_ONE_OWNER_MAX = 12
# Maximum age of the cached list of candidates.
CANDIDATES_MAX_AGE_MS = 40.0


class Ranking:
    """The order of preference of the VMs that may own a service.

    Parameters
    ----------
    list_candidates : callable
        Takes the local time and returns the heartbeats of the VMs that may own a
        service, as the same list while it holds.
    is_overloaded : callable
        Takes an IP address and returns whether that VM is overloaded.
    """

    __slots__ = (
        "_list_candidates",
        "_is_overloaded",
        "_orders",
        "_heartbeats",
        "_candidates",
        "_expire_at_ms",
    )

    def __init__(self, list_candidates, is_overloaded):
        self._list_candidates = list_candidates
        self._is_overloaded = is_overloaded
        # Maps a service and a failure domain to the addresses in order.
        self._orders = {}
        # The list that the candidates are from.
        self._heartbeats = None
        self._candidates = ()
        self._expire_at_ms = -inf

    def ranked(self, service_name, now_ms, failure_domain):
        """Return the candidates' addresses in order of preference for a service.

        Candidates of ``failure_domain`` come before all others; within each group,
        larger VMs come before smaller ones. In a small domain, the order is the same
        for all services.
        """
        self._refresh(now_ms)
        order = self._orders.get((service_name, failure_domain))
        if order is None:
            order = self._rank(service_name, failure_domain)
            self._orders[(service_name, failure_domain)] = order
        return order

    def owner(self, service_name, now_ms, failure_domain):
        """Return the address of a service's owner in a failure domain.

        The owner counts the requests to the service's targets there. It is the first of
        the preferred VMs that is not overloaded; others would have to read the targets
        first. The result is None if no VM is known to serve.
        """
        order = self.ranked(service_name, now_ms, failure_domain)
        for ip in order[:N_PREFERRED]:
            if not self._is_overloaded(ip):
                return ip
        return order[0] if order else None

    def preferred(self, service_name, now_ms, failure_domain):
        """Return the addresses of the preferred VMs, the owner first.

        The others of them may take the owner's place, overloaded ones last. VMs further
        down don't hold the targets, so none of them is better than the one that asks.
        """
        order = self.ranked(service_name, now_ms, failure_domain)
        return sorted(order[:N_PREFERRED], key=self._is_overloaded)

    def named(self, service_name, n_named, now_ms, failure_domain):
        """Return the addresses that a lookup of a service names, at most ``n_named``.

        An overloaded VM is left out while one of these, or of the next ``N_SPARE``, is
        not overloaded. VMs further down may be much smaller.
        """
        order = self.ranked(service_name, now_ms, failure_domain)
        first = order[: n_named + N_SPARE]
        able = [ip for ip in first if not self._is_overloaded(ip)]
        return (able or order)[:n_named]

    def _refresh(self, now_ms):
        if now_ms < self._expire_at_ms:
            return
        self._expire_at_ms = now_ms + CANDIDATES_MAX_AGE_MS
        heartbeats = self._list_candidates(now_ms)
        if heartbeats is self._heartbeats:
            return
        self._heartbeats = heartbeats
        candidates = tuple(
            sorted(
                (heartbeat.ip, heartbeat.failure_domain, heartbeat.capacity)
                for heartbeat in heartbeats
            )
        )
        if candidates != self._candidates:
            self._candidates = candidates
            self._orders = {}

    def _rank(self, service_name, failure_domain):
        local = [item for item in self._candidates if item[1] == failure_domain]
        remote = [item for item in self._candidates if item[1] != failure_domain]
        hash_key = service_name if len(local) > N_ONE_OWNER_MAX else ""

        def sort_key(item):
            ip, _, capacity = item
            return preference(ip, capacity, hash_key)

        return [
            item[0]
            for item in sorted(local, key=sort_key) + sorted(remote, key=sort_key)
        ]


def preference(ip, capacity, hash_key):
    """Return the key by which a VM is sorted among those of its failure domain."""
    return (-capacity, -score(ip, hash_key), ip)
