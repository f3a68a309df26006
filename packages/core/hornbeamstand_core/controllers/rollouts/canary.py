"""How many requests one VM may send to a new version, and when.

The share is counted and not drawn at random: each owner of the service keeps its part
of the bounds by its own requests, so that they hold over all VMs without a message.
"""

# Share of the bounds that owners use. The rest is for requests that change their owner,
# and for VMs that start.
SHARE_USED = 0.8
SLACK_USED = 0.6
# Share of an owner's slack that it may use at once. It gets the rest evenly until the
# canary ends, so that a version that turns bad late meets requests then.
SLACK_AT_START = 0.3


class CanaryQuota:
    """The requests of one VM since the order, and those that the new version got.

    Requests are sent to the new version in pulses: none is sent until ``n_pulse`` of
    them may follow one another. A target then has as many at once as in normal
    operation, and a version that fails under load shows it. ``n_sent`` counts the
    requests to both versions, ``n_new`` those to the new one, and ``n_pulses`` the
    pulses.

    Parameters
    ----------
    share : float
        Share of this VM's requests that the new version may get.
    n_slack : float
        Number of requests that it may get beyond that.
    """

    __slots__ = ("share", "n_slack", "n_sent", "n_new", "n_pulses", "_is_open")

    def __init__(self, share, n_slack):
        self.share = share
        self.n_slack = n_slack
        self.n_sent = 0
        self.n_new = 0
        self.n_pulses = 0
        self._is_open = False

    @classmethod
    def from_bounds(cls, bounds, n_owners, has_slack):
        """Return the quota of one of ``n_owners`` owners.

        A VM that learns late of an order has no slack: another one may have used it.
        """
        n_slack = SLACK_USED * bounds.n_slack / n_owners if has_slack else 0.0
        return cls(SHARE_USED * bounds.canary_share, n_slack)

    def note_sent(self, is_new):
        """Count a request that was sent to a target for the first time."""
        self.n_sent += 1
        self.n_new += is_new

    def n_left(self, elapsed_share):
        """Return how many requests the new version may get now.

        ``elapsed_share`` is how much of the canary's time is over.
        """
        slack_share = SLACK_AT_START + (1.0 - SLACK_AT_START) * elapsed_share
        return self.share * self.n_sent + slack_share * self.n_slack - self.n_new

    def is_open(self, n_pulse, elapsed_share):
        """Return whether the new version may get the next request.

        A pulse begins once ``n_pulse`` requests are left, and ends when none is.
        """
        n_left = self.n_left(elapsed_share)
        if not self._is_open and n_left >= n_pulse:
            self.n_pulses += 1
            self._is_open = True
        if n_left < 1.0:
            self._is_open = False
        return self._is_open
