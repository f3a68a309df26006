"""Token budgets for probes and retries."""

# Maximum number of retries that a service can save up while no request fails.
RETRY_TOKENS_MAX = 10.0


class RateBudget:
    """A token bucket that refills at a constant rate and holds at most one token.

    Parameters
    ----------
    rate_per_s : float
        Tokens per second.
    now_ms : float
        Time from which the bucket refills; it starts empty.
    """

    __slots__ = ("rate_per_s", "_n_tokens", "_refilled_at_ms")

    def __init__(self, rate_per_s, now_ms):
        self.rate_per_s = rate_per_s
        self._n_tokens = 0.0
        self._refilled_at_ms = now_ms

    def take(self, now_ms):
        """Take one token if there is one; return whether there was."""
        elapsed_ms = now_ms - self._refilled_at_ms
        self._refilled_at_ms = now_ms
        filled = self._n_tokens + elapsed_ms * self.rate_per_s / 1000.0
        self._n_tokens = min(1.0, filled)
        if self._n_tokens < 1.0:
            return False
        self._n_tokens -= 1.0
        return True


class RatioBudget:
    """A token bucket that first dispatches fill and retries empty.

    ``ratio`` is the number of tokens that each first dispatch adds.
    """

    __slots__ = ("ratio", "_n_tokens")

    def __init__(self, ratio):
        self.ratio = ratio
        self._n_tokens = 0.0

    def earn(self):
        """Add the tokens of one first dispatch."""
        self._n_tokens = min(RETRY_TOKENS_MAX, self._n_tokens + self.ratio)

    def spend(self):
        """Take the token of one retry if there is one; return whether there was."""
        if self._n_tokens < 1.0:
            return False
        self._n_tokens -= 1.0
        return True
