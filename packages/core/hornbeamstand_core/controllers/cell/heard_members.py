"""When a VM last received heartbeats of the other members of its cell."""

from ...records import Record

# Maximum time without a heartbeat, as a share of the lease time, before a peer counts
# as silent.
SILENT_AFTER_SHARE = 0.5


class ReceivedHeartbeat(Record):
    """The latest heartbeat of a peer and the time of its receipt."""

    __slots__ = ("heartbeat", "at_ms")

    def __init__(self, heartbeat, at_ms):
        self.heartbeat = heartbeat
        self.at_ms = at_ms


class HeardMembers:
    """The heartbeats that this VM received from members, and its echoes of them.

    ``received`` maps a member id to its ReceivedHeartbeat, and ``echoed_at_ms`` to the
    time at which this VM received the latest heartbeat that it echoes.

    Parameters
    ----------
    lease_ms : float
        Lease time of every member.
    """

    __slots__ = ("lease_ms", "received", "echoed_at_ms")

    def __init__(self, lease_ms):
        self.lease_ms = lease_ms
        self.received = {}
        self.echoed_at_ms = {}

    def note(self, heartbeat, is_member, now_ms):
        """Record a heartbeat; return whether it is later than those before.

        Heartbeats of senders that are not members are not echoed.
        """
        sender_id = heartbeat.sender_id
        previous = self.received.get(sender_id)
        if previous and previous.heartbeat.sent_at_ms >= heartbeat.sent_at_ms:
            return False
        self.received[sender_id] = ReceivedHeartbeat(heartbeat, now_ms)
        if is_member:
            self.echoed_at_ms[sender_id] = now_ms
        return True

    def expire_former(self, members, cutoff_ms):
        """Forget who is not among ``members`` and was last echoed before a time."""
        for member_id, at_ms in list(self.echoed_at_ms.items()):
            if member_id not in members and at_ms < cutoff_ms:
                del self.echoed_at_ms[member_id]
                self.received.pop(member_id, None)

    def sent_at_ms(self, member_id):
        """Return the send time of a member's latest heartbeat, or None."""
        received = self.received.get(member_id)
        return None if received is None else received.heartbeat.sent_at_ms

    def fresh_heartbeat(self, member_id, now_ms):
        """Return the latest heartbeat of a member that is not silent, or None."""
        received = self.received.get(member_id)
        if received is None or not self._is_fresh(received.at_ms, now_ms):
            return None
        return received.heartbeat

    def _is_fresh(self, at_ms, now_ms):
        return now_ms - at_ms <= self.lease_ms * SILENT_AFTER_SHARE

    def fresh_heartbeats(self, peers, now_ms):
        """Return the latest heartbeats of those peers that are not silent."""
        heartbeats = [self.fresh_heartbeat(peer.member_id, now_ms) for peer in peers]
        return [heartbeat for heartbeat in heartbeats if heartbeat is not None]

    def silent_ms(self, members, peers, now_ms):
        """Return the time since the last echo of each member that is silent.

        Parameters
        ----------
        members : mapping
            The members of the view by their id.
        peers : list of Member
            All of them but this VM.
        now_ms : float
            The current time.
        """
        silent = {}
        for member_id, at_ms in self.echoed_at_ms.items():
            age_ms = now_ms - at_ms
            # The last echo extended the fence of a member that has since been
            # removed. The successor has to know its time, however recent it is.
            is_former_member = member_id not in members
            if is_former_member or age_ms > self.lease_ms * SILENT_AFTER_SHARE:
                silent[member_id] = age_ms
        for peer in peers:
            # A peer that was never echoed counts as silent since time 0 of the clock.
            if peer.member_id not in self.echoed_at_ms:
                silent[peer.member_id] = now_ms
        return silent

    def has_no_recent_echo(self, member_id, peers, now_ms):
        """Return whether a member got no echo for one lease time.

        The echoes of this VM and of all fresh peers count.
        """
        own_age_ms = now_ms - self.echoed_at_ms.get(member_id, float("-inf"))
        ages = [own_age_ms]
        for heartbeat in self.fresh_heartbeats(peers, now_ms):
            ages.append(heartbeat.silent_ms.get(member_id, 0.0))
        return min(ages) >= self.lease_ms

    def heard_at_ms(self, member_id, default_ms):
        """Return when a member's latest heartbeat came, or a default for none."""
        received = self.received.get(member_id)
        return default_ms if received is None else received.at_ms
