"""The token bucket of one organisation at the quota holder of a failure domain."""

from .leases import LENDER_LAPSE_MS

MS_PER_S = 1000.0


class LentTokens:
    """What another VM may still hold of the tokens that this one leased to it.

    ``sequence`` is that of its latest request.
    """

    __slots__ = ("sequence", "n_tokens", "lapse_at_ms")

    def __init__(self, sequence, n_tokens, lapse_at_ms):
        self.sequence = sequence
        self.n_tokens = n_tokens
        self.lapse_at_ms = lapse_at_ms


class TokenBucket:
    """The tokens that a failure domain has left, and those that it leased.

    Tokens that other VMs may hold count as if they were still in the bucket: the sum of
    both never exceeds ``n_burst``, so the quota holds whenever they are spent. The same
    goes for the ``n_unsent`` tokens of this VM's requests that still wait for a slot.

    Parameters
    ----------
    rate_per_s, n_burst : float
        The domain's part of the quota.
    share : float
        Share of the domain's VMs that this VM holds the quota for.
    n_tokens : float
        Number of tokens at first.
    since_ms : float
        Time from which on the bucket fills.
    """

    __slots__ = (
        "rate_per_s",
        "n_burst",
        "share",
        "n_unsent",
        "_level",
        "_updated_at_ms",
        "_lent",
    )

    def __init__(self, rate_per_s, n_burst, share, n_tokens, since_ms):
        self.rate_per_s = rate_per_s
        self.n_burst = n_burst
        self.share = share
        self.n_unsent = 0
        self._level = n_tokens
        self._updated_at_ms = since_ms
        # Maps the address of a VM to its LentTokens.
        self._lent = {}

    def set_limits(self, rate_per_s, n_burst, share, now_ms):
        """Adopt limits; the present tokens are cut to a lower burst or share."""
        self._level = min(self.level(now_ms), n_burst * share)
        self.rate_per_s = rate_per_s
        self.n_burst = n_burst
        self.share = share

    def level(self, now_ms):
        """Return the number of tokens in the bucket, which is filled up to now."""
        since_ms = max(0.0, now_ms - self._updated_at_ms)
        self._updated_at_ms = max(now_ms, self._updated_at_ms)
        level_max = self._level_max(now_ms)
        if self._level < level_max:
            n_new = self.rate_per_s * self.share * since_ms / MS_PER_S
            self._level = min(level_max, self._level + n_new)
        return self._level

    def _level_max(self, now_ms):
        """Return the number of tokens up to which the bucket fills."""
        n_elsewhere = self.n_lent(now_ms) + self.n_unsent
        return max(0.0, self.n_burst * self.share - n_elsewhere)

    def n_lent(self, now_ms):
        """Return the number of tokens that other VMs may hold."""
        return sum(
            lent.n_tokens for lent in self._lent.values() if now_ms < lent.lapse_at_ms
        )

    def take(self, now_ms):
        """Take one token; return whether there was one."""
        if self.level(now_ms) < 1.0:
            return False
        self._level -= 1.0
        return True

    def give_back(self, now_ms):
        """Put a token back that was taken for nothing; return whether there is room."""
        if self.level(now_ms) + 1.0 > self._level_max(now_ms):
            return False
        self._level += 1.0
        return True

    def note_held(self, ip, sequence, n_held, now_ms):
        """Record what a VM says that it still holds of what was leased to it.

        Returns whether that is news: a request that comes after a later one is not.
        """
        known = self._lent.get(ip)
        if known is not None and sequence <= known.sequence:
            return False
        self.level(now_ms)
        self._forget_lapsed(now_ms)
        self._lent[ip] = LentTokens(sequence, n_held, now_ms + LENDER_LAPSE_MS)
        self._level = min(self._level, self._level_max(now_ms))
        return True

    def _forget_lapsed(self, now_ms):
        for ip, lent in list(self._lent.items()):
            if now_ms >= lent.lapse_at_ms:
                del self._lent[ip]

    def lease(self, ip, need, n_reserved, now_ms):
        """Lease the tokens of a QuotaNeed to a VM; return their number.

        ``n_reserved`` tokens stay here. One request gets at most half of the others,
        or one token, so that further ones get some too.
        """
        n_spare = self.level(now_ms) - n_reserved
        if n_spare < 1.0:
            return 0.0
        n_tokens = min(need.n_wanted, max(1.0, n_spare / 2.0))
        self._level -= n_tokens
        self._lent[ip].n_tokens += max(0.0, n_tokens - need.n_waiting)
        return n_tokens

    def wait_ms(self, now_ms):
        """Return the time until there is a token if nobody takes one meanwhile."""
        n_missing = max(0.0, 1.0 - self.level(now_ms))
        rate_per_s = self.rate_per_s * self.share
        return n_missing * MS_PER_S / rate_per_s if rate_per_s else 0.0
