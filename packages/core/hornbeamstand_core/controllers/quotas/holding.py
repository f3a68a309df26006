"""Whether this VM holds its failure domain's part of all quotas, and leases it out."""

from ...quota_messages import QuotaLease

# Minimum uptime of a holder. VMs that start together hear of each other meanwhile;
# before that, each of them would take itself for the holder.
UPTIME_MIN_MS = 1000.0
# Tokens that a holder keeps from VMs of other domains, as the time for which they last
# at the demand of its own domain.
RESERVE_S = 0.25


class DomainHolding:
    """Whether this VM is the quota holder of its failure domain, and its leases.

    ``since_ms`` is when it became the holder of its failure domain, or None. ``share``
    is the share of the domain's VMs that it holds the quotas for. ``has_started`` is
    set if all VMs of the domain had just started then, so that none was the holder
    before.

    Parameters
    ----------
    me : EdgeIdentity
        This VM.
    holders : QuotaHolders
        The holders of all failure domains.
    """

    __slots__ = ("since_ms", "share", "has_started", "_me", "_holders")

    def __init__(self, me, holders):
        self.since_ms = None
        self.share = 1.0
        self.has_started = False
        self._me = me
        self._holders = holders

    @property
    def is_holder(self):
        """Whether this VM is the holder."""
        return self.since_ms is not None

    def update(self, states, overage, now_ms):
        """Become the holder, or cease to be it, by the present ranking.

        ``states`` are the OrganisationQuota of all organisations, and ``overage`` is
        the share by which quotas may be exceeded. A new holder begins without tokens,
        because what the former one leased may still be spent.
        """
        is_up = now_ms - self._me.started_at_ms >= UPTIME_MIN_MS
        is_holder = is_up and self._holders.local(now_ms) == self._me.ip
        if is_holder == self.is_holder:
            return
        self.since_ms = now_ms if is_holder else None
        self.share = self._holders.domain_share(overage, now_ms)
        self.has_started = self._holders.has_domain_started()
        for state in states:
            state.bucket = None
            self.prepare(state)

    def update_share(self, states, overage, now_ms):
        """Update the share from the VMs of the failure domain that are heard now."""
        if not self.is_holder:
            return
        self.share = self._holders.domain_share(overage, now_ms)
        for state in states:
            state.set_share(self.share, now_ms)

    def prepare(self, state):
        """Give an organisation a new TokenBucket, if this VM is the holder."""
        if self.is_holder:
            state.hold(self.share, self.has_started, self.since_ms)

    def begin_anew(self, states, now_ms):
        """Begin once more without tokens, if this VM is the holder."""
        if not self.is_holder:
            return
        self.since_ms = now_ms
        self.has_started = False
        for state in states:
            self.prepare(state)

    def lease(self, state, need, request, now_ms):
        """Return the QuotaLease for a QuotaNeed of another VM's QuotaRequest.

        It has no tokens if ``state`` is None, which stands for no quota, or if a later
        request of that VM has come before.
        """
        if state is None:
            return QuotaLease(need.organisation, 0.0)
        bucket, ip = state.bucket, request.sender_ip
        if not bucket.note_held(ip, request.sequence, need.n_held, now_ms):
            return QuotaLease(need.organisation, 0.0)
        n_reserved = 0.0
        is_local = self._holders.is_local(ip)
        if not is_local:
            n_reserved = RESERVE_S * state.domain_demand.rate_per_s(now_ms)
        n_tokens = bucket.lease(ip, need, n_reserved, now_ms)
        if is_local:
            state.domain_demand.note(n_tokens or 1.0, now_ms)
        if n_tokens:
            return QuotaLease(need.organisation, n_tokens)
        return QuotaLease(need.organisation, 0.0, bucket.wait_ms(now_ms))
