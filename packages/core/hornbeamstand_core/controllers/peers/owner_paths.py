"""Which owner a request is relayed to, and whether this VM can use any.

A VM that hears the owners of a service may still be unable to relay requests to them.
Only the failed relays tell, and heartbeats go on.
"""

from .peer_failures import ORDER_TRIAL_DELAY_MS

# Time for which relays to all owners of a service have failed, from which on this VM
# reads the targets itself. Heartbeats would have told by then of owners that ended.
LOST_MS = 1000.0
# Additional time for each VM that ranks before this one, and its maximum, so that many
# VMs with the same fault don't read the targets at once.
RANK_STEP_MS = 200.0
RANK_WAIT_MAX_MS = 3000.0
# Additional time before an order is the trial of an owner while none can be used. This
# VM serves it then, and a failed trial would cost the order its outcome.
LOST_ORDER_TRIAL_DELAY_MS = 30_000.0


class OwnerPaths:
    """The paths from this VM to the owners of services.

    Parameters
    ----------
    peers : PeerView
        The peers of this VM.
    peer_failures : PeerFailures
        The peers to which relays have failed.

    ``are_lost`` is whether this VM has for some time been unable to use any owner of
    some service, and ``are_all_lost`` whether that holds for all services.
    """

    __slots__ = ("are_lost", "are_all_lost", "_peers", "_failures", "_lost_since_ms")

    def __init__(self, peers, peer_failures):
        self.are_lost = False
        self.are_all_lost = False
        self._peers = peers
        self._failures = peer_failures
        # Since when this VM can relay to no owner of some service, or None.
        self._lost_since_ms = None

    def select(self, policy, now_ms):
        """Return the peer that a request is relayed to, or None to serve it here.

        Each owner that is passed over gets trials.
        """
        delay_ms = LOST_ORDER_TRIAL_DELAY_MS if self.are_lost else ORDER_TRIAL_DELAY_MS
        for ip in self._owners(policy.service_name, now_ms):
            if ip == self._peers.me.ip:
                return None
            if self._failures.begin_relay(ip, policy.is_idempotent, now_ms, delay_ms):
                return ip
        return None

    def substitute(self, service_name, failed_ips, now_ms):
        """Return the peer that takes the place of owners that failed, or None."""
        failed_ips = (*failed_ips, *self._failures.passed_over_ips())
        able = (ip for ip in self._owners(service_name, now_ms) if ip not in failed_ips)
        owner = next(able, None)
        return None if owner == self._peers.me.ip else owner

    def _owners(self, service_name, now_ms):
        """Return the VMs that may take a request, the one that should take it first."""
        if self._peers.hears_nobody(now_ms):
            return []
        me = self._peers.me
        return self._peers.ranking.preferred(service_name, now_ms, me.failure_domain)

    def are_lacking(self, now_ms):
        """Return whether this VM can use no owner of some service."""
        return self.are_lost or self._peers.hears_nobody(now_ms)

    def are_all_lacking(self, now_ms):
        """Return whether this VM can use no owner of any service."""
        return self.are_all_lost or self._peers.hears_nobody(now_ms)

    def note(self, service_names, now_ms):
        """Update what is lost; return whether owners have just been lost."""
        were_lost = self.are_lost
        n_services, n_unreachable = self._count_unreachable(service_names, now_ms)
        if n_unreachable == 0:
            self._lost_since_ms = None
        elif self._lost_since_ms is None:
            self._lost_since_ms = now_ms
        self.are_lost = n_unreachable > 0 and self._is_lost_long(now_ms)
        self.are_all_lost = self.are_lost and n_unreachable == n_services
        return self.are_lost and not were_lost

    def _is_lost_long(self, now_ms):
        since_ms = now_ms - self._lost_since_ms
        if since_ms < LOST_MS:
            return False
        rank_wait_ms = RANK_STEP_MS * self._peers.n_ranked_before(now_ms)
        return since_ms >= LOST_MS + min(RANK_WAIT_MAX_MS, rank_wait_ms)

    def _count_unreachable(self, service_names, now_ms):
        """Return the numbers of services, and of those without a usable owner."""
        names = list(service_names)
        passed_over = set(self._failures.passed_over_ips())
        if not passed_over:
            return len(names), 0
        owners = (self._owners(name, now_ms) for name in names)
        n_unreachable = sum(bool(ips) and passed_over.issuperset(ips) for ips in owners)
        return len(names), n_unreachable
