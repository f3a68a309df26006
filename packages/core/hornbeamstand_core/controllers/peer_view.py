"""Which entry VMs are alive, and which of them counts a service's requests.

Ownership here is a preference, not a right: it makes one count exact while all
is well. A VM that can't reach the owner serves the request itself, from its own
counts and the targets' load reports.

Bytes between failure domains are priced: VMs of one domain hear each other
often, those of others seldom.
"""

from ..edge_messages import Belief
from ..edge_node_messages import Beat, SendBeat
from ..hashing import score

# VMs that callers depend on beat often, so that their loss is noticed soon.
NEAR_FREQUENT_MS = 250.0
NEAR_SELDOM_MS = 750.0
FAR_FREQUENT_MS = 1000.0
FAR_SELDOM_MS = 5000.0
# A peer that was silent for this many of its intervals is taken as gone.
N_SILENT = 3.4
# Silent contacts hear of this VM at this interval.
CALL_MS = 2000.0
# So many of a service's first VMs beat often and follow the targets.
N_STANDING_BY = 2
# With more VMs than this in a failure domain, services have owners of their own.
N_ONE_OWNER_MAX = 12
# The list of candidates is made anew at this interval.
FRESH_MS = 40.0
# A VM becomes an owner only after it has been up for this long, if others have.
SETTLED_MS = 2500.0


class Peer:
    """One peer's last sign of life."""

    __slots__ = ("beat", "heard_at_ms", "sent_at_ms")

    def __init__(self, beat, heard_at_ms, sent_at_ms):
        self.beat = beat
        self.heard_at_ms = heard_at_ms
        self.sent_at_ms = sent_at_ms


class PeerView:
    """The peers that this VM hears.

    Parameters
    ----------
    me : EdgeIdentity
        This VM.
    seed_ips : sequence of str
        Addresses to call before discovery has named any.
    """

    __slots__ = (
        "me",
        "peers",
        "called_at_ms",
        "is_serving",
        "is_stopping",
        "is_standing_by",
        "is_following",
        "revision",
        "config_version",
        "_ranks",
        "_candidates",
        "_fresh_until_ms",
    )

    def __init__(self, me, seed_ips):
        self.me = me
        self.peers = {}
        self.called_at_ms = {ip: float("-inf") for ip in seed_ips if ip != me.ip}
        self.is_serving = False
        self.is_stopping = False
        self.is_standing_by = False
        self.is_following = False
        self.revision = 0
        self.config_version = 0
        self._ranks = {}
        self._candidates = ()
        self._fresh_until_ms = float("-inf")

    # Signs of life.

    def my_beat(self, now_ms):
        """Return this VM's own sign of life."""
        return Beat(
            self.me.ip,
            self.me.failure_domain,
            self.me.start_id,
            self.is_serving,
            self.is_stopping,
            now_ms - self.me.started_at_ms >= SETTLED_MS,
            self.is_standing_by,
            self.is_following,
            self.me.capacity,
            self.config_version,
            self.revision,
        )

    def note_contact(self, ip):
        """Learn where a peer is from its entry in the store."""
        if ip != self.me.ip:
            self.called_at_ms.setdefault(ip, float("-inf"))

    def note_beat(self, beat, now_ms):
        """Take a peer's sign of life; returns messages."""
        if beat.ip == self.me.ip:
            return []
        self.note_contact(beat.ip)
        known = self.peers.get(beat.ip)
        if known is not None and known.beat.start_id == beat.start_id:
            known.beat = beat
            known.heard_at_ms = now_ms
            return []
        self.peers[beat.ip] = Peer(beat, now_ms, now_ms)
        return [
            SendBeat(beat.ip, self.my_beat(now_ms)),
            Belief("peer", "heard", beat.ip, f"start={beat.start_id}"),
        ]

    def beat_round(self, service_names, now_ms):
        """Return the signs of life that are due, and what became silent."""
        out = self._note_silent(now_ms)
        self._stand_by(service_names, now_ms)
        beat = self.my_beat(now_ms)
        for ip, peer in self.peers.items():
            if now_ms - peer.sent_at_ms >= self._interval_ms(beat, peer.beat):
                peer.sent_at_ms = now_ms
                out.append(SendBeat(ip, beat))
        for ip, called_at_ms in self.called_at_ms.items():
            if ip not in self.peers and now_ms - called_at_ms >= CALL_MS:
                self.called_at_ms[ip] = now_ms
                out.append(SendBeat(ip, beat))
        return out

    def _stand_by(self, service_names, now_ms):
        was_standing_by = self.is_standing_by
        self.is_standing_by = any(
            self.me.ip
            in self.ranked(name, now_ms, self.me.failure_domain)[:N_STANDING_BY]
            for name in service_names
        )
        if self.is_standing_by != was_standing_by:
            for peer in self.peers.values():
                peer.sent_at_ms = float("-inf")

    def _interval_ms(self, sender, receiver):
        """Return the interval of signs of life from one VM to another."""
        if sender.failure_domain == receiver.failure_domain:
            return NEAR_FREQUENT_MS if sender.is_frequent else NEAR_SELDOM_MS
        return FAR_FREQUENT_MS if sender.is_frequent else FAR_SELDOM_MS

    def _is_silent(self, peer, now_ms):
        interval_ms = self._interval_ms(peer.beat, self.me)
        return now_ms - peer.heard_at_ms > N_SILENT * interval_ms

    def _note_silent(self, now_ms):
        silent = [
            ip for ip, peer in self.peers.items() if self._is_silent(peer, now_ms)
        ]
        for ip in silent:
            del self.peers[ip]
        return [Belief("peer", "silent", ip) for ip in silent]

    def is_alive(self, ip, now_ms):
        """Tell whether a peer was heard lately; one that is stopping counts.

        It still answers the requests that it took before.
        """
        peer = self.peers.get(ip)
        return peer is not None and not self._is_silent(peer, now_ms)

    # Owners.

    def _is_candidate(self, peer, now_ms):
        """Tell whether a peer may own a service or be named to callers.

        One of another failure domain counts only while it beats often: the loss
        of the others is noticed too late.
        """
        beat = peer.beat
        if not beat.is_serving or beat.is_stopping or self._is_silent(peer, now_ms):
            return False
        return beat.is_frequent or beat.failure_domain == self.me.failure_domain

    def candidates(self, now_ms):
        """Return the signs of life of the VMs that may own a service."""
        beats = [
            peer.beat
            for peer in self.peers.values()
            if self._is_candidate(peer, now_ms)
        ]
        if self.is_serving and not self.is_stopping:
            beats.append(self.my_beat(now_ms))
        settled = [beat for beat in beats if beat.is_settled]
        return settled or beats

    def _refresh(self, now_ms):
        if now_ms < self._fresh_until_ms:
            return
        self._fresh_until_ms = now_ms + FRESH_MS
        candidates = tuple(
            sorted(
                (beat.ip, beat.failure_domain, beat.capacity)
                for beat in self.candidates(now_ms)
            )
        )
        if candidates != self._candidates:
            self._candidates = candidates
            self._ranks = {}

    def ranked(self, service_name, now_ms, failure_domain):
        """Return the candidates' addresses in their order for a service.

        Those of the failure domain come before all others, larger VMs before
        smaller ones. In a small domain the order is one for all services.
        """
        self._refresh(now_ms)
        order = self._ranks.get((service_name, failure_domain))
        if order is None:
            order = self._rank(service_name, failure_domain)
            self._ranks[(service_name, failure_domain)] = order
        return order

    def _rank(self, service_name, failure_domain):
        near = [item for item in self._candidates if item[1] == failure_domain]
        far = [item for item in self._candidates if item[1] != failure_domain]
        key = service_name if len(near) > N_ONE_OWNER_MAX else ""

        def order(item):
            ip, _, capacity = item
            return (-capacity, -score(ip, key), ip)

        return [item[0] for item in sorted(near, key=order) + sorted(far, key=order)]

    def owner(self, service_name, now_ms, failure_domain):
        """Return the VM that counts the requests to a service's targets there.

        None if no VM is known to serve.
        """
        order = self.ranked(service_name, now_ms, failure_domain)
        return order[0] if order else None
