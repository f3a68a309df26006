"""Messages of a request that one VM relays to another, the owner of its service.

Names that end in ``_at_ms`` are times on the local clock; durations end in ``_ms``
alone.
"""

from .edge_messages import FIRST
from .records import Record

# Effects that the filters yield, and their replies.


class Relay(Record):
    """Start sending the request to a peer; no reply.

    ``n_attempts_max`` is the number of sends that the peer may make, and ``first_kind``
    the kind of its first one.
    """

    __slots__ = ("peer_id", "policy", "deadline_at_ms", "n_attempts_max", "first_kind")

    def __init__(
        self, peer_id, policy, deadline_at_ms, n_attempts_max=None, first_kind=FIRST
    ):
        self.peer_id = peer_id
        self.policy = policy
        self.deadline_at_ms = deadline_at_ms
        self.n_attempts_max = n_attempts_max or policy.n_attempts_max
        self.first_kind = first_kind


class AnnounceSends(Record):
    """Tell the peer that relayed the request how many sends may have run; no reply.

    It counts them if this VM fails. The first one needs no announcement.
    """

    __slots__ = ("n_sends",)

    def __init__(self, n_sends):
        self.n_sends = n_sends


class EndSending(Record):
    """Pass on that the caller sends nothing more, and await the exchange; no reply.

    ``key`` is the Relay.
    """

    __slots__ = ("key",)

    def __init__(self, key):
        self.key = key


class CheckPeerAlive(Record):
    """Check whether a peer is alive by its heartbeats; the reply is a PeerStatus."""

    __slots__ = ("peer_id",)

    def __init__(self, peer_id):
        self.peer_id = peer_id


class PeerStatus(Record):
    """Whether a peer is alive, and the latest time at which a silent one ran.

    ``ran_until_ms`` allows for the interval of the heartbeats after the last one.
    """

    __slots__ = ("is_alive", "ran_until_ms")

    def __init__(self, is_alive, ran_until_ms):
        self.is_alive = is_alive
        self.ran_until_ms = ran_until_ms


class FindOwner(Record):
    """Find the owner of a service besides peers that failed; the reply is an id.

    The reply is None if it is this VM, or if no other VM holds the targets.
    """

    __slots__ = ("service_name", "failed_ids")

    def __init__(self, service_name, failed_ids):
        self.service_name = service_name
        self.failed_ids = failed_ids


class RelayEnded(Record):
    """Report the end of a relay to the controllers; no reply.

    ``is_answered`` is set if the peer responded, also with a refusal. A relay that this
    VM ended itself is not reported.
    """

    __slots__ = ("peer_id", "is_answered")

    def __init__(self, peer_id, is_answered):
        self.peer_id = peer_id
        self.is_answered = is_answered


# An event that AwaitEvent returns.


class SendsAnnounced(Record):
    """A peer has announced its sends of a relayed request; see AnnounceSends.

    ``key`` is the Relay.
    """

    __slots__ = ("key", "n_sends", "now_ms")

    def __init__(self, key, n_sends, now_ms):
        self.key = key
        self.n_sends = n_sends
        self.now_ms = now_ms
