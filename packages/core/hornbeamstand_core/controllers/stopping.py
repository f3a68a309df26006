"""The phases of a planned stop of this VM.

- Announcing: the view is updated to show this VM as leaving, so that lookups stop
  naming it and its targets move to other VMs.
- Draining: wait until the lookup results that callers have cached have expired and
  other VMs have taken over all hand-over records. A VM that has been silent until its
  requests must have ended takes over none. The responses announce the end of their
  connections.
- Closing: no connection is accepted and idle ones are closed, until none is open and no
  request is in flight. Without that, a caller that keeps using its connection would
  hold up the stop until its deadline, which then cuts the request in progress.
- Exiting: this VM is removed from the view.

The stop ends at its deadline, whatever the phase.
"""

from ..view import LEAVING

RUNNING = "running"
ANNOUNCING = "announcing"
DRAINING = "draining"
CLOSING = "closing"
EXITING = "exiting"
STOPPED = "stopped"


class Stopping:
    """The phase of a planned stop, and what ends it.

    Parameters
    ----------
    membership : Membership
        Writes the leaving state and the exit to the view.

    ``lookups_expire_at_ms`` is the time when the lookup results that callers have
    cached expire, or None before the announcement has ended. ``announced_at_ms`` is
    when that was, and ``deadline_at_ms`` the time when the stop ends at the latest.
    ``n_requests`` is the number of requests in progress, and ``has_connections`` is
    unset once no connection of a caller is open or can be opened.
    """

    __slots__ = (
        "membership",
        "phase",
        "announced_at_ms",
        "lookups_expire_at_ms",
        "deadline_at_ms",
        "n_requests",
        "has_connections",
    )

    def __init__(self, membership):
        self.membership = membership
        self.phase = RUNNING
        self.announced_at_ms = None
        self.lookups_expire_at_ms = None
        self.deadline_at_ms = float("inf")
        self.n_requests = 0
        self.has_connections = True

    def begin(self, now_ms, deadline_ms):
        """Start the stop, which ends after ``deadline_ms`` at the latest.

        A second call ends a stop in progress at the next tick.
        """
        if self.phase != RUNNING:
            self.deadline_at_ms = now_ms
            return
        self.phase = ANNOUNCING
        self.deadline_at_ms = now_ms + deadline_ms
        self.membership.start_leaving()

    def tick(self, now_ms):
        """Enter the next phase if the current one is over; return the phase."""
        if self.phase == RUNNING or self.phase == STOPPED:
            return self.phase
        if now_ms >= self.deadline_at_ms:
            self.phase = STOPPED
        elif self.phase == ANNOUNCING:
            self._end_announcing(now_ms)
        elif self.phase == DRAINING:
            self._end_draining(now_ms)
        elif self.phase == CLOSING:
            self._end_closing(now_ms)
        elif self.phase == EXITING and self.membership.has_exited:
            self.phase = STOPPED
        return self.phase

    def _end_announcing(self, now_ms):
        view = self.membership.view
        me = view.members.get(self.membership.me.member_id)
        if me is not None and me.state != LEAVING:
            return
        specs = self.membership.ownership.configuration.services.values()
        lookup_ttl_ms = max((spec.lookup_ttl_ms for spec in specs), default=0)
        self.announced_at_ms = now_ms
        self.lookups_expire_at_ms = now_ms + lookup_ttl_ms
        self.phase = DRAINING

    def _end_draining(self, now_ms):
        if now_ms < self.lookups_expire_at_ms or self._awaits_successor(now_ms):
            return
        self.phase = CLOSING

    def _end_closing(self, now_ms):
        if self.has_connections or self.n_requests > 0:
            return
        if self._awaits_successor(now_ms):
            return
        self.phase = EXITING
        self.membership.start_exit()

    def _awaits_successor(self, now_ms):
        """Return whether another VM is expected to take over a hand-over record."""

        def is_gone(member_id):
            return self.membership.is_gone(member_id, self.announced_at_ms, now_ms)

        return self.membership.ownership.former_targets.awaits_owner(is_gone, now_ms)
