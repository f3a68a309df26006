"""The budget for repeated sends to one service over a sliding window."""

from collections import deque

# Share of the allowed ratio and slack that this VM uses: another VM may have
# been the service's owner earlier in the same window.
RATIO_SHARE = 0.88
OWNER_SLACK_SHARE = 0.4
# Part of its slack that an owner has from the start.
INITIAL_SLACK_SHARE = 0.3
# Share of the slack that each VM uses which is not the owner.
NON_OWNER_SLACK_SHARE = 0.01


class RetryWindow:
    """Count first sends and repeats within the window.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each first send, over all VMs.
    slack : float
        Repeats allowed besides, over all VMs.
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
        """Take new limits; what was counted still counts."""
        self.ratio = ratio
        self.slack = slack
        self.window_ms = window_ms

    def _remove_expired(self, times, now_ms):
        while times and times[0] <= now_ms - self.window_ms:
            times.popleft()

    def note_first(self, now_ms):
        """Count one request of a caller."""
        self._first_at_ms.append(now_ms)
        self._remove_expired(self._first_at_ms, now_ms)

    def note_retry(self, now_ms):
        """Count one repeated send."""
        self._retry_at_ms.append(now_ms)

    def note_owner(self, is_owner, now_ms):
        """Learn whether this VM is one of the service's owners."""
        if not is_owner:
            self._owner_since_ms = None
        elif self._owner_since_ms is None:
            self._owner_since_ms = now_ms

    def _slack_share(self, n_owners, now_ms):
        """Return this VM's share of the slack.

        An owner's grows from a part of it: the one before may have used all of
        its own within the same window.
        """
        if self._owner_since_ms is None:
            return NON_OWNER_SLACK_SHARE
        age = (now_ms - self._owner_since_ms) / self.window_ms
        grown = min(1.0, INITIAL_SLACK_SHARE + (1.0 - INITIAL_SLACK_SHARE) * age)
        return OWNER_SLACK_SHARE / n_owners * grown

    def n_left(self, n_owners, now_ms):
        """Return how many repeats may be sent now.

        Parameters
        ----------
        n_owners : int
            The owners of the service over all failure domains.
        now_ms : float
            The local time.
        """
        self._remove_expired(self._first_at_ms, now_ms)
        self._remove_expired(self._retry_at_ms, now_ms)
        allowed = RATIO_SHARE * self.ratio * len(self._first_at_ms)
        allowed += self._slack_share(n_owners, now_ms) * self.slack
        return allowed - len(self._retry_at_ms)
