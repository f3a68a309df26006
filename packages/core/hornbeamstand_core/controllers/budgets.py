"""Token budgets for probes and retries."""

# Retries a service may save up while nothing fails.
RETRY_TOKENS_MAX = 10.0


class RateBudget:
    """Tokens that come back with time; holds one at most.

    Parameters
    ----------
    rate_per_s : float
        Tokens a second.
    """

    __slots__ = ("rate_per_s", "_n_tokens", "_refilled_at_ms")

    def __init__(self, rate_per_s, now_ms):
        self.rate_per_s = rate_per_s
        self._n_tokens = 0.0
        self._refilled_at_ms = now_ms

    def take(self, now_ms):
        """Take one token if there is one."""
        elapsed_ms = now_ms - self._refilled_at_ms
        self._refilled_at_ms = now_ms
        filled = self._n_tokens + elapsed_ms * self.rate_per_s / 1000.0
        self._n_tokens = min(1.0, filled)
        if self._n_tokens < 1.0:
            return False
        self._n_tokens -= 1.0
        return True


class RatioBudget:
    """Tokens earned by first dispatches and spent by retries."""

    __slots__ = ("ratio", "_n_tokens")

    def __init__(self, ratio):
        self.ratio = ratio
        self._n_tokens = 0.0

    def earn(self):
        """Count one first dispatch."""
        self._n_tokens = min(RETRY_TOKENS_MAX, self._n_tokens + self.ratio)

    def spend(self):
        """Take one retry if the budget has it."""
        if self._n_tokens < 1.0:
            return False
        self._n_tokens -= 1.0
        return True
