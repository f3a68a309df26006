"""The time until which this VM may dispatch requests under its view.

A confirmation shows that this VM was in the view at a given time of its own clock.
The platform confirms the membership with each renewed lease, and a majority of the
view confirms it by echoing heartbeats. Either confirmation allows dispatches for one
lease time, shortened by the bound on clock drift. A successor waits until the lease
has lapsed at the platform and one lease time has passed since the last echo of any
member, so a confirmation remains valid when other members join or leave.
"""

# Maximum relative difference in rate between the clocks of two VMs.
DRIFT_RATIO = 0.01


class Fence:
    """The confirmations that this VM is a member, in times of its own clock.

    ``renewed_sent_at_ms`` is the send time of the latest heartbeat for which the lease
    was renewed. ``_echoed_sent_at_ms`` maps each peer to the send time of the latest
    heartbeat that the peer echoed.
    """

    __slots__ = ("lease_ms", "renewed_sent_at_ms", "_echoed_sent_at_ms")

    def __init__(self, lease_ms):
        self.lease_ms = lease_ms
        self.renewed_sent_at_ms = float("-inf")
        self._echoed_sent_at_ms = {}

    def note_renewal(self, sent_at_ms):
        """Record that the lease was renewed for a heartbeat sent at ``sent_at_ms``."""
        self.renewed_sent_at_ms = max(self.renewed_sent_at_ms, sent_at_ms)

    def note_echo(self, member_id, sent_at_ms):
        """Record that a peer echoed the heartbeat sent at ``sent_at_ms``."""
        previous_ms = self._echoed_sent_at_ms.get(member_id, float("-inf"))
        self._echoed_sent_at_ms[member_id] = max(previous_ms, sent_at_ms)

    def confirmed_at_ms(self, view, now_ms):
        """Return the latest time at which this VM is confirmed to be in the view."""
        echoes = [
            at_ms for m, at_ms in self._echoed_sent_at_ms.items() if m in view.members
        ]
        # This VM is part of the majority and confirms itself at ``now_ms``.
        times = sorted([now_ms, *echoes], reverse=True)
        n_majority = view.n_majority
        majority_at_ms = float("-inf")
        if len(times) >= n_majority:
            majority_at_ms = times[n_majority - 1]
        return max(self.renewed_sent_at_ms, majority_at_ms)

    def end_at_ms(self, view, now_ms):
        """Return the time from which dispatches are no longer allowed."""
        lease_ms = self.lease_ms * (1.0 - DRIFT_RATIO)
        return self.confirmed_at_ms(view, now_ms) + lease_ms
