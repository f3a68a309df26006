"""Until when this VM may dispatch under its view.

A confirmation says that at some reading of the local clock this VM was in the
view. The platform gives one with each renewed lease; a majority of the view
gives one by echoing heartbeats. Either allows dispatches for one lease time,
shortened by the clock drift bound. A successor waits for the lapse of the lease
at the platform and for one lease time after the last echo of any member, so a
confirmation stays good when other members come or go.
"""

# Two VMs' clocks may differ in rate by this much.
DRIFT_RATIO = 0.01


class Fence:
    """Confirmations that this VM is a member, on the local clock."""

    __slots__ = ("lease_ms", "platform_at_ms", "_echoed_sent_at_ms")

    def __init__(self, lease_ms):
        self.lease_ms = lease_ms
        self.platform_at_ms = float("-inf")
        self._echoed_sent_at_ms = {}

    def note_platform(self, sent_at_ms):
        """Count a lease renewed for a heartbeat sent at the given time."""
        self.platform_at_ms = max(self.platform_at_ms, sent_at_ms)

    def note_echo(self, member_id, sent_at_ms):
        """Count a peer that echoed a heartbeat of this VM."""
        previous_ms = self._echoed_sent_at_ms.get(member_id, float("-inf"))
        self._echoed_sent_at_ms[member_id] = max(previous_ms, sent_at_ms)

    def confirmed_at_ms(self, view, now_ms):
        """Return when this VM was last known to be in the view."""
        echoes = [
            at_ms for m, at_ms in self._echoed_sent_at_ms.items() if m in view.members
        ]
        times = sorted([now_ms, *echoes], reverse=True)
        n_majority = view.n_majority
        majority_at_ms = float("-inf")
        if len(times) >= n_majority:
            majority_at_ms = times[n_majority - 1]
        return max(self.platform_at_ms, majority_at_ms)

    def end_at_ms(self, view, now_ms):
        """Return the time from which dispatches are no longer allowed."""
        lease_ms = self.lease_ms * (1.0 - DRIFT_RATIO)
        return self.confirmed_at_ms(view, now_ms) + lease_ms
