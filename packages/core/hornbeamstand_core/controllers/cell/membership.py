"""The lease and the view changes of one entry VM, and when its heartbeats are due.

The platform stores one view for each cell, which is changed by compare-and-swap. A
few members, the renewers, read the view and renew the leases of all members from
which they receive heartbeats, so that the number of platform calls grows with the
number of cells, not of VMs. One reading of the view with the renewals that follow it is
a round.
"""

from ...hashing import rank
from ...membership_messages import (
    FetchPeerState,
    GrantLease,
    SendHeartbeat,
    StartRound,
    WriteView,
)
from ...peer_messages import Heartbeat
from ...view import LEAVING
from .fence import Fence
from .heard_members import HeardMembers

# Number of members of a cell that renew its leases and read its view.
N_RENEWERS = 2
# Interval between heartbeats to each peer, as a share of the lease time.
HEARTBEAT_INTERVAL_SHARE = 0.2
# Minimum interval between rounds at the platform, as a share of the lease time.
ROUND_INTERVAL_SHARE = 0.25
# Maximum time without a renewed lease, as a share of the lease time, before a VM calls
# the platform itself.
SELF_RENEW_AFTER_SHARE = 0.8


class Membership:
    """The controller of one VM's membership in its cell.

    Parameters
    ----------
    me : Member
        This VM, without a lease yet.
    ownership : Ownership
        The controller that receives each adopted view and each heartbeat.
    lease_ms : float
        Lease time of every member.

    Attributes
    ----------
    revision : int
        The platform's revision of the last view that was read.
    is_exit_requested : bool
        Whether this VM is to be removed from the view.
    platform_ok_since_ms : float or None
        Since when every round has succeeded. None if the last round failed, or
        before the first one has ended.
    has_exited : bool
        Whether the view no longer contains this VM after a requested exit.

    ``_platform_echoes`` maps a member id to the send time of the member's heartbeat for
    which this VM last renewed the member's lease. ``_lapsed_lease_ids`` are the leases
    that had lapsed in the last round.
    """

    __slots__ = (
        "me",
        "ownership",
        "lease_ms",
        "fence",
        "revision",
        "is_exit_requested",
        "platform_ok_since_ms",
        "has_exited",
        "_heard",
        "_platform_echoes",
        "_lapsed_lease_ids",
        "_heartbeats_sent_at_ms",
        "_round_at_ms",
        "_is_round_running",
        "_is_lease_requested",
    )

    def __init__(self, me, ownership, lease_ms):
        self.me = me
        self.ownership = ownership
        self.lease_ms = lease_ms
        self.fence = Fence(lease_ms)
        self.revision = 0
        self.is_exit_requested = False
        self.platform_ok_since_ms = None
        self.has_exited = False
        self._heard = HeardMembers(lease_ms)
        self._platform_echoes = {}
        self._lapsed_lease_ids = frozenset()
        self._heartbeats_sent_at_ms = float("-inf")
        self._round_at_ms = float("-inf")
        self._is_round_running = False
        self._is_lease_requested = False

    @property
    def view(self):
        """The adopted view."""
        return self.ownership.view

    @property
    def is_member(self):
        """Whether the adopted view contains this VM."""
        return self.me.member_id in self.view.members

    def _peers(self):
        my_id = self.me.member_id
        return [m for m in self.view.members.values() if m.member_id != my_id]

    # Time.

    def tick(self, now_ms):
        """Return the heartbeats and the round that are due."""
        out = []
        if (
            now_ms - self._heartbeats_sent_at_ms
            >= self.lease_ms * HEARTBEAT_INTERVAL_SHARE
        ):
            out += self.send_heartbeats(now_ms)
        if self._is_round_due(now_ms):
            out.append(self._start_round(now_ms))
        return out

    def send_heartbeats(self, now_ms):
        """Return a heartbeat for each peer in the view."""
        self._heartbeats_sent_at_ms = now_ms
        self._expire_former_members(now_ms)
        return [
            SendHeartbeat(peer.peer_address, self._make_heartbeat(peer, now_ms))
            for peer in self._peers()
        ]

    def _expire_former_members(self, now_ms):
        cutoff_ms = now_ms - self.ownership.takeover_wait_max_ms()
        self._heard.expire_former(self.view.members, cutoff_ms)

    def _make_heartbeat(self, peer, now_ms):
        peer_id = peer.member_id
        epoch = self.ownership.epoch
        return Heartbeat(
            self.me.member_id,
            peer_id,
            epoch.view_version,
            epoch.config_version,
            now_ms,
            self._heard.sent_at_ms(peer_id),
            self._platform_echoes.get(peer_id),
            self._heard.silent_ms(self.view.members, self._peers(), now_ms),
            list(self.ownership.pending),
            self.ownership.former_targets.records_for(peer_id),
            self.ownership.former_targets.draining_for(peer_id, now_ms),
            self._capacity_reports(now_ms),
        )

    def _capacity_reports(self, now_ms):
        reports = []
        for name, members in self.ownership.serving_sets.items():
            if self.me.member_id in members:
                reports.append(
                    self.ownership.balancer.services[name].capacity_report(now_ms)
                )
        return reports

    def _is_round_due(self, now_ms):
        if self._is_round_running:
            return False
        if now_ms - self._round_at_ms < self.lease_ms * ROUND_INTERVAL_SHARE:
            return False
        return self.calls_platform(now_ms)

    def calls_platform(self, now_ms):
        """Return whether this VM calls the platform itself.

        The renewers of the cell call it, and so does a VM whose view entry has to
        change or whose lease the renewers do not renew.
        """
        if self._needs_view_change() or self._is_renewer():
            return True
        return self._lacks_renewal(now_ms)

    def _needs_view_change(self):
        is_view_current = self.view.members.get(self.me.member_id) == self.me
        return self.is_exit_requested or not is_view_current

    def _is_renewer(self):
        renewers = rank(self.view.members, "renewers")[:N_RENEWERS]
        return self.me.member_id in renewers

    def _lacks_renewal(self, now_ms):
        age_ms = now_ms - self.fence.renewed_sent_at_ms
        return age_ms > self.lease_ms * SELF_RENEW_AFTER_SHARE

    def _start_round(self, now_ms):
        self._round_at_ms = now_ms
        self._is_round_running = True
        heartbeat_at_ms = {self.me.member_id: now_ms}
        renew_ids = [self.me.lease_id] if self.me.lease_id else []
        check_ids = []
        for peer in self._peers():
            heartbeat = self._heard.fresh_heartbeat(peer.member_id, now_ms)
            if heartbeat is not None:
                heartbeat_at_ms[peer.member_id] = heartbeat.sent_at_ms
                renew_ids.append(peer.lease_id)
            else:
                check_ids.append(peer.lease_id)
        return StartRound(renew_ids, check_ids, heartbeat_at_ms)

    # Heartbeats.

    def note_heartbeat(self, heartbeat, now_ms):
        """Record a heartbeat, and return a fetch of the peer's state if it is newer."""
        sender_id = heartbeat.sender_id
        if heartbeat.receiver_id != self.me.member_id:
            return []
        if not self._heard.note(heartbeat, sender_id in self.view.members, now_ms):
            return []
        if heartbeat.echo_at_ms is not None:
            self.fence.note_echo(sender_id, heartbeat.echo_at_ms)
        if heartbeat.platform_echo_at_ms is not None:
            self.fence.note_renewal(heartbeat.platform_echo_at_ms)
        self.ownership.note_heartbeat(heartbeat, now_ms)
        return self._catch_up(heartbeat)

    def _catch_up(self, heartbeat):
        epoch = self.ownership.epoch
        is_newer = (
            heartbeat.view_version > epoch.view_version
            or heartbeat.config_version > epoch.config_version
        )
        sender = self.view.members.get(heartbeat.sender_id)
        if not is_newer or sender is None:
            return []
        return [FetchPeerState(sender.member_id, sender.peer_address)]

    # The platform.

    def note_round(self, done, now_ms):
        """Adopt the result of a round, and return the messages that follow from it."""
        self._is_round_running = False
        if self.platform_ok_since_ms is None:
            self.platform_ok_since_ms = now_ms
        self._lapsed_lease_ids = frozenset(done.lapsed_ids)
        out = []
        if done.revision >= self.revision:
            self.revision = done.revision
            out += self.adopt_view(done.view, now_ms)
        self._note_renewed(done)
        return out + self._change_view(now_ms)

    def _note_renewed(self, done):
        for member_id, sent_at_ms in done.heartbeat_at_ms.items():
            member = done.view.members.get(member_id)
            if member is None or member.lease_id in self._lapsed_lease_ids:
                continue
            if member_id == self.me.member_id:
                self.fence.note_renewal(sent_at_ms)
            else:
                self._platform_echoes[member_id] = sent_at_ms

    def note_round_failed(self):
        """Record that the platform did not answer, so that the next round may start."""
        self._is_round_running = False
        self._is_lease_requested = False
        self.platform_ok_since_ms = None

    def note_lease(self, granted, now_ms):
        """Record the granted lease, with which the next round joins the view."""
        self._is_lease_requested = False
        self.me.lease_id = granted.lease_id
        self._round_at_ms = float("-inf")
        return []

    def _change_view(self, now_ms):
        if self.is_exit_requested:
            return self._exit()
        if not self.me.lease_id or self.me.lease_id in self._lapsed_lease_ids:
            return self._request_lease()
        if self._needs_view_change():
            return [WriteView(self.view.with_member(self.me), self.revision)]
        return self._remove_crashed(now_ms)

    def _request_lease(self):
        if self._is_lease_requested:
            return []
        self._is_lease_requested = True
        return [GrantLease()]

    def _exit(self):
        if not self.is_member:
            self.has_exited = True
            return []
        view = self.view.without([self.me.member_id], is_clean=True)
        return [WriteView(view, self.revision)]

    def _remove_crashed(self, now_ms):
        silent = [
            peer
            for peer in self._peers()
            if peer.lease_id in self._lapsed_lease_ids
            and self._heard.has_no_recent_echo(peer.member_id, self._peers(), now_ms)
        ]
        crashed = [peer.member_id for peer in silent if self._may_remove(peer, now_ms)]
        if not crashed:
            return []
        return [WriteView(self.view.without(crashed, is_clean=False), self.revision)]

    def _may_remove(self, peer, now_ms):
        """Return whether this VM may remove a silent member from the view.

        Leases also lapse in an outage of the platform, so all rounds must have
        succeeded for one lease time. This VM must also receive heartbeats from enough
        peers to form a majority with them: a minority cannot distinguish a crash of the
        others from a network partition. An earlier process of this VM has certainly
        ended, since this one has its addresses.
        """
        reachable_ms = now_ms - self.platform_ok_since_ms
        if reachable_ms < self.lease_ms:
            return False
        if peer.has_addresses_of(self.me):
            return True
        n_fresh = len(self._heard.fresh_heartbeats(self._peers(), now_ms))
        return n_fresh + 1 >= self.view.n_majority

    def adopt_view(self, view, now_ms):
        """Adopt a view if it is newer, and return heartbeats to announce it."""
        if view.version <= self.view.version:
            return []
        self.ownership.adopt_view(view, self._heard.echoed_at_ms, now_ms)
        return self.send_heartbeats(now_ms)

    def adopt_configuration(self, configuration, now_ms):
        """Adopt a configuration if it is newer, and return heartbeats for the peers."""
        if configuration.version <= self.ownership.configuration.version:
            return []
        self.ownership.adopt_configuration(configuration, now_ms)
        return self.send_heartbeats(now_ms)

    # Planned stop.

    def start_leaving(self):
        """Enter the leaving state, which the next round writes to the view."""
        self.me = self.me.with_state(LEAVING)
        self._round_at_ms = float("-inf")

    def is_gone(self, member_id, since_ms, now_ms):
        """Return whether a member has been silent until its requests must have ended.

        The silence of a member that has never sent a heartbeat counts from
        ``since_ms``.
        """
        heard_at_ms = self._heard.heard_at_ms(member_id, since_ms)
        return now_ms - heard_at_ms >= self.ownership.takeover_wait_max_ms()

    def start_exit(self):
        """Request the removal from the view, which the next rounds write."""
        self.is_exit_requested = True
        self._round_at_ms = float("-inf")

    def fence_end_at_ms(self, now_ms):
        """Return the time until which this VM may dispatch requests."""
        if not self.is_member:
            return float("-inf")
        return self.fence.end_at_ms(self.view, now_ms)
