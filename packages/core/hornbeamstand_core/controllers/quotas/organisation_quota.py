"""What one VM knows of the quota of one organisation."""

from collections import deque
from math import inf

from ...records import Record
from .bucket import TokenBucket
from .demand import Demand
from .domain_part import domain_burst, domain_rate_per_s, domain_start
from .leases import Lease
from .returning import ReturnTimes
from .unsent import UnsentRequests


class WaitingSpend(Record):
    """A request that waits for a token, at most until ``until_ms``."""

    __slots__ = ("request_id", "until_ms")

    def __init__(self, request_id, until_ms):
        self.request_id = request_id
        self.until_ms = until_ms


class OrganisationQuota:
    """The tokens, the requests that wait for one and the demand of one organisation.

    ``waiting`` are the requests that wait for a token, and ``unsent`` those that have
    one and wait for a slot. ``bucket`` is the TokenBucket of this failure domain if
    this VM is its quota holder, or None. ``leases`` maps the address of a holder to the
    Lease of its tokens. ``demand`` is that of this VM's requests, and ``domain_demand``
    what VMs of this failure domain asked of the bucket. ``return_times`` are those that
    refused callers were told. ``refused_at_ms`` is when a request was last refused, and
    ``is_exceeded`` whether that is logged.
    """

    __slots__ = (
        "organisation",
        "limits",
        "bucket",
        "leases",
        "waiting",
        "unsent",
        "demand",
        "domain_demand",
        "return_times",
        "refused_at_ms",
        "is_exceeded",
    )

    def __init__(self, organisation, limits):
        self.organisation = organisation
        self.limits = limits
        self.bucket = None
        self.leases = {}
        self.waiting = deque()
        self.unsent = UnsentRequests()
        self.demand = Demand()
        self.domain_demand = Demand()
        self.return_times = ReturnTimes()
        self.refused_at_ms = -inf
        self.is_exceeded = False

    def adopt(self, organisation, limits, now_ms):
        """Adopt a new configuration; leased tokens of another quota are void."""
        if has_other_quota(self.organisation, organisation) or limits != self.limits:
            self.void_leases()
        self.organisation = organisation
        self.limits = limits
        if self.bucket is not None:
            self.bucket.set_limits(*self._part(), self.bucket.share, now_ms)

    def _part(self):
        """Return the rate and the burst of this failure domain's part."""
        return (
            domain_rate_per_s(self.organisation, self.limits),
            domain_burst(self.organisation, self.limits),
        )

    def hold(self, share, has_started, since_ms):
        """Create the TokenBucket of this failure domain's part of the quota.

        It is empty at first, but for a few tokens if all VMs have just started.
        """
        n_tokens = domain_start(self.limits) if has_started else 0.0
        self.bucket = TokenBucket(*self._part(), share, n_tokens, since_ms)

    def set_share(self, share, now_ms):
        """Adopt the share of the failure domain's VMs that the bucket is for."""
        if self.bucket is not None and self.bucket.share != share:
            self.bucket.set_limits(*self._part(), share, now_ms)

    def void_leases(self):
        """Drop all tokens that were leased from holders."""
        for lease in self.leases.values():
            lease.void()

    def lease(self, ip):
        """Return the Lease from a holder, creating it on first use."""
        lease = self.leases.get(ip)
        if lease is None:
            lease = self.leases[ip] = Lease()
        return lease

    def forget_needless(self, now_ms):
        """Forget the leases that say nothing any more."""
        for ip in list(self.leases):
            if self.leases[ip].is_needless(now_ms):
                del self.leases[ip]

    def n_leased(self, now_ms):
        """Return the number of tokens that were leased and may be spent."""
        return sum(lease.n_tokens(now_ms) for lease in self.leases.values())

    def n_tokens(self, now_ms):
        """Return the number of tokens that may be spent here."""
        n_own = self.bucket.level(now_ms) if self.bucket is not None else 0.0
        return n_own + self.n_leased(now_ms)

    def take(self, now_ms):
        """Spend one token, a leased one first; return whether there was one."""
        if self.n_leased(now_ms) >= 1.0:
            self._spend_leased(now_ms)
            return True
        if self.bucket is None:
            return False
        self.bucket.n_unsent = self.unsent.count(now_ms)
        if not self.bucket.take(now_ms):
            return False
        self.domain_demand.note(1.0, now_ms)
        return True

    def _spend_leased(self, now_ms):
        n_left = 1.0
        for lease in self.leases.values():
            n_spent = min(n_left, lease.n_tokens(now_ms))
            if n_spent > 0.0:
                lease.spend(n_spent)
                n_left -= n_spent

    def give_back(self, now_ms):
        """Put a spent token back, if its holder still counts it."""
        if self.bucket is not None and self.bucket.give_back(now_ms):
            return
        for lease in self.leases.values():
            if lease.give_back(now_ms):
                return

    def is_awaiting(self, now_ms):
        """Return whether a holder's reply may come soon."""
        return any(lease.is_awaited(now_ms) for lease in self.leases.values())

    def emptied_at_ms(self):
        """Return the latest time at which a holder had no tokens, or -inf."""
        times_ms = [lease.emptied_at_ms for lease in self.leases.values()]
        return max(times_ms, default=-inf)

    def note_exceeded(self, now_ms):
        """Record a refusal; return whether the quota was not exceeded before."""
        self.refused_at_ms = now_ms
        was_exceeded, self.is_exceeded = self.is_exceeded, True
        return not was_exceeded

    def note_within(self, since_ms):
        """Return, once, whether an exceeded quota refused nothing since a time."""
        if not self.is_exceeded or self.refused_at_ms > since_ms:
            return False
        self.is_exceeded = False
        return True

    def serve_waiting(self, now_ms):
        """Spend tokens for requests that wait, in order; return these."""
        served = []
        while self.waiting and self.take(now_ms):
            self.unsent.begin(now_ms)
            served.append(self.waiting.popleft())
        return served

    def retry_after_ms(self, now_ms):
        """Return the time after which a caller that is refused now may come back."""
        rate_per_s = domain_rate_per_s(self.organisation, self.limits)
        return self.return_times.next_ms(rate_per_s, now_ms)


def has_other_quota(organisation, other):
    """Return whether two versions of an organisation have different quotas."""
    return (organisation.rate_per_s, organisation.n_burst) != (
        other.rate_per_s,
        other.n_burst,
    )
