"""The budget for retries and hedges to one service over a sliding window."""

from collections import deque

# Share of the allowed ratio that this VM uses. The rest is left because another VM
# may have been the service's owner earlier in the same window.
RATIO_SHARE = 0.88
# Share of the allowed slack that the service's owners use together, for the same
# reason.
OWNER_SLACK_SHARE = 0.4
# Share of its slack that an owner may use as soon as it becomes one.
INITIAL_SLACK_SHARE = 0.3
# Share of the allowed slack that each VM other than an owner uses, and that all of them
# use together.
NON_OWNER_SLACK_SHARE = 0.01
NON_OWNERS_SLACK_SHARE = 0.13
# Share of the retries of a window that hedges leave. A request that failed is lost
# without its retry, and one without a hedge is at most late.
HEDGE_RESERVE_SHARE = 0.5


class RetryWindow:
    """The first sends and the retries within the window; hedges count as retries.

    Parameters
    ----------
    ratio : float
        Retries allowed for each first send, over all VMs.
    slack : float
        Retries allowed in addition within the window, over all VMs.
    window_ms : float
        Length of the window.
    """

    __slots__ = (
        "ratio",
        "slack",
        "window_ms",
        "_owner_since_ms",
        "_first_at_ms",
        "_retry_at_ms",
    )

    def __init__(self, ratio, slack, window_ms):
        self.ratio = ratio
        self.slack = slack
        self.window_ms = window_ms
        self._owner_since_ms = None
        self._first_at_ms = deque()
        self._retry_at_ms = deque()

    def adopt(self, ratio, slack, window_ms):
        """Replace the limits; the sends counted so far still count."""
        self.ratio = ratio
        self.slack = slack
        self.window_ms = window_ms

    def _remove_expired(self, times, now_ms):
        while times and times[0] <= now_ms - self.window_ms:
            times.popleft()

    def note_first(self, now_ms):
        """Count the first send of a request."""
        self._first_at_ms.append(now_ms)
        self._remove_expired(self._first_at_ms, now_ms)

    def note_retry(self, now_ms):
        """Count one retry or hedge."""
        self._retry_at_ms.append(now_ms)

    def note_owner(self, is_owner, now_ms):
        """Record whether this VM is one of the service's owners."""
        if not is_owner:
            self._owner_since_ms = None
        elif self._owner_since_ms is None:
            self._owner_since_ms = now_ms

    def _slack_share(self, n_owners, n_vms, now_ms):
        """Return this VM's share of the slack.

        The share of a new owner grows to its full size over one window, because the
        previous owner may have used all of its own within the same window.
        """
        if self._owner_since_ms is None:
            return min(NON_OWNER_SLACK_SHARE, NON_OWNERS_SLACK_SHARE / n_vms)
        age = (now_ms - self._owner_since_ms) / self.window_ms
        grown = min(1.0, INITIAL_SLACK_SHARE + (1.0 - INITIAL_SLACK_SHARE) * age)
        return OWNER_SLACK_SHARE / n_owners * grown

    def n_left(self, n_owners, n_vms, now_ms):
        """Return the number of retries that may be sent now.

        It need not be whole: a retry may be sent if it is at least 1. It is negative if
        more retries were sent than the current limits allow.

        Parameters
        ----------
        n_owners : int
            The number of the service's owners over all failure domains.
        n_vms : int
            The number of entry VMs over all failure domains.
        now_ms : float
            The local time.
        """
        n_allowed = self._n_allowed(n_owners, n_vms, now_ms)
        return n_allowed - len(self._retry_at_ms)

    def n_left_for_hedges(self, n_owners, n_vms, now_ms):
        """Return the number of hedges that may be sent now; see ``n_left``."""
        reserve = HEDGE_RESERVE_SHARE * self._n_allowed(n_owners, n_vms, now_ms)
        return self.n_left(n_owners, n_vms, now_ms) - reserve

    def _n_allowed(self, n_owners, n_vms, now_ms):
        self._remove_expired(self._first_at_ms, now_ms)
        self._remove_expired(self._retry_at_ms, now_ms)
        n_by_ratio = RATIO_SHARE * self.ratio * len(self._first_at_ms)
        return n_by_ratio + self._slack_share(n_owners, n_vms, now_ms) * self.slack
