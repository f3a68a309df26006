"""What a VM remembers of another one: as a peer, and as an address to contact."""

from math import inf

from ...edge_messages import StateChange

# Minimum and maximum interval between heartbeats to a contact that does not answer. The
# interval doubles each time.
CONTACT_RETRY_MIN_MS = 1000.0
CONTACT_RETRY_MAX_MS = 16_000.0


class Peer:
    """A peer's latest heartbeat, and the times of the last messages from and to it.

    ``received_at_ms`` is when the heartbeat came, later by ``own_delay_ms``: the time
    since then in which this VM did not run. ``sent_at_ms`` is when this VM last sent
    one to the peer, or -inf to make one due, and ``contacts_sent_at_ms`` when it last
    sent contacts. ``settled_at_ms`` is when the peer was first heard as settled: -inf
    if that was its first heartbeat, inf if it is not settled.
    """

    __slots__ = (
        "heartbeat",
        "received_at_ms",
        "own_delay_ms",
        "sent_at_ms",
        "contacts_sent_at_ms",
        "settled_at_ms",
    )

    def __init__(self, heartbeat, received_at_ms, sent_at_ms):
        self.heartbeat = heartbeat
        self.received_at_ms = received_at_ms
        self.own_delay_ms = 0.0
        self.sent_at_ms = sent_at_ms
        self.contacts_sent_at_ms = -inf
        self.settled_at_ms = -inf if heartbeat.is_settled else inf

    def note_settled(self, now_ms):
        """Record that a heartbeat says that the peer is settled."""
        self.settled_at_ms = min(self.settled_at_ms, now_ms)

    def is_able_owner(self):
        """Return whether the peer was settled before it was heard and keeps up."""
        return self.settled_at_ms == -inf and not self.heartbeat.is_overloaded


class Contact:
    """An address to send heartbeats to while its VM is not a peer.

    ``failure_domain`` is None until a heartbeat has come from there, and
    ``last_heartbeat`` is the latest one. ``ran_until_ms`` is the latest time at which
    the VM may have run when it became silent.
    """

    __slots__ = (
        "failure_domain",
        "last_heartbeat",
        "ran_until_ms",
        "due_at_ms",
        "interval_ms",
    )

    def __init__(self):
        self.failure_domain = None
        self.last_heartbeat = None
        self.ran_until_ms = -inf
        self.reset()

    def reset(self):
        """Make a heartbeat due at once, and the next one after the minimum interval."""
        self.due_at_ms = -inf
        self.interval_ms = CONTACT_RETRY_MIN_MS

    def back_off(self, now_ms):
        """Schedule the next heartbeat and double the interval after it."""
        self.due_at_ms = now_ms + self.interval_ms
        self.interval_ms = min(CONTACT_RETRY_MAX_MS, 2.0 * self.interval_ms)


def newest_config_version(peers):
    """Return the newest version of the configuration that a peer has, or 0."""
    return max((peer.heartbeat.config_version for peer in peers), default=0)


def keep_stop(heartbeat, last):
    """Set in a heartbeat that its VM stops, if the last one of the same start said so.

    A planned stop is for good, and datagrams may overtake each other. ``last`` is None
    if there was none.
    """
    if last is not None and last.start_id == heartbeat.start_id:
        heartbeat.is_stopping = heartbeat.is_stopping or last.is_stopping


def describe_end(earlier, heartbeat):
    """Return a StateChange if an earlier start of a VM ended without a planned stop.

    ``earlier`` is the last heartbeat before this one, or None. Without a log of the VM
    itself, this is what tells such an end from a planned one.
    """
    if earlier is None or earlier.start_id >= heartbeat.start_id:
        return []
    if earlier.is_stopping:
        return []
    detail = f"start={earlier.start_id} without a planned stop"
    return [StateChange("peer", "ended", heartbeat.ip, detail)]
