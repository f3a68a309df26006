"""Which entry VMs are alive, and which of them counts a service's requests.

Ownership here is a preference, not a right: it makes one count exact while all
is well. A VM that can't reach the owner serves the request itself, from its own
counts and the targets' load reports.
"""

from ..edge_messages import Beat, Belief, SendBeat
from ..hashing import rank

# VMs that callers depend on beat often, so that their loss is noticed soon.
FREQUENT_MS = 250.0
SELDOM_MS = 750.0
# A peer that was silent for this many of its intervals is taken as gone.
N_SILENT = 3.4
# The list of candidates is made anew at this interval.
FRESH_MS = 40.0
# So many of a service's first VMs beat often.
N_FREQUENT = 2
# Silent contacts hear of this VM only in each n-th round.
N_ROUNDS_BETWEEN_CALLS = 5
# A VM becomes an owner only after it has been up for this long, if others have.
SETTLED_MS = 2500.0


class Peer:
    """One peer's last sign of life."""

    __slots__ = ("beat", "heard_at_ms")

    def __init__(self, beat, heard_at_ms):
        self.beat = beat
        self.heard_at_ms = heard_at_ms


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
        "contact_ips",
        "is_serving",
        "is_stopping",
        "is_frequent",
        "revision",
        "_n_rounds",
        "_ranks",
        "_candidates",
        "_fresh_until_ms",
    )

    def __init__(self, me, seed_ips):
        self.me = me
        self.peers = {}
        self.contact_ips = {ip for ip in seed_ips if ip != me.ip}
        self.is_serving = False
        self.is_stopping = False
        self.is_frequent = False
        self.revision = 0
        self._n_rounds = 0
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
            self.is_frequent,
            self.revision,
        )

    def note_contact(self, ip):
        """Learn where a peer is from its entry in the store."""
        if ip != self.me.ip:
            self.contact_ips.add(ip)

    def note_beat(self, beat, now_ms):
        """Take a peer's sign of life; returns messages."""
        if beat.ip == self.me.ip:
            return []
        known = self.peers.get(beat.ip)
        is_new = known is None or known.beat.start_id != beat.start_id
        self.peers[beat.ip] = Peer(beat, now_ms)
        self.contact_ips.add(beat.ip)
        if not is_new:
            return []
        return [
            SendBeat(beat.ip, self.my_beat(now_ms)),
            Belief("peer", "heard", beat.ip, f"start={beat.start_id}"),
        ]

    def beat_round(self, service_names, now_ms):
        """Return the messages of one round of signs of life."""
        self._n_rounds += 1
        out = self._note_silent(now_ms)
        self.is_frequent = any(
            self.me.ip in self.ranked(name, now_ms, self.me.failure_domain)[:N_FREQUENT]
            for name in service_names
        )
        beat = self.my_beat(now_ms)
        is_call = self._n_rounds % N_ROUNDS_BETWEEN_CALLS == 1
        for ip in self.contact_ips:
            if ip in self.peers or is_call:
                out.append(SendBeat(ip, beat))
        return out

    def interval_ms(self):
        """Return the time until this VM's next round."""
        return FREQUENT_MS if self.is_frequent else SELDOM_MS

    def _note_silent(self, now_ms):
        silent = [ip for ip, peer in self.peers.items() if is_silent(peer, now_ms)]
        for ip in silent:
            del self.peers[ip]
        return [Belief("peer", "silent", ip) for ip in silent]

    def is_alive(self, ip, now_ms):
        """Tell whether a peer was heard lately and is not stopping."""
        peer = self.peers.get(ip)
        if peer is None or peer.beat.is_stopping:
            return False
        return not is_silent(peer, now_ms)

    # Owners.

    def candidates(self, now_ms):
        """Return the VMs that may own a service or be named to callers."""
        beats = [
            peer.beat for peer in self.peers.values() if not is_silent(peer, now_ms)
        ]
        beats.append(self.my_beat(now_ms))
        beats = [beat for beat in beats if beat.is_serving and not beat.is_stopping]
        settled = [beat for beat in beats if beat.is_settled]
        return tuple(
            sorted((beat.ip, beat.failure_domain) for beat in settled or beats)
        )

    def _refresh(self, now_ms):
        if now_ms < self._fresh_until_ms:
            return
        self._fresh_until_ms = now_ms + FRESH_MS
        candidates = self.candidates(now_ms)
        if candidates != self._candidates:
            self._candidates = candidates
            self._ranks = {}

    def ranked(self, key, now_ms, failure_domain):
        """Return the candidates' addresses in their order for a key.

        Those of the failure domain come before all others.
        """
        self._refresh(now_ms)
        order = self._ranks.get((key, failure_domain))
        if order is None:
            near = [ip for ip, domain in self._candidates if domain == failure_domain]
            far = [ip for ip, domain in self._candidates if domain != failure_domain]
            order = rank(near, key) + rank(far, key)
            self._ranks[(key, failure_domain)] = order
        return order

    def owner(self, service_name, now_ms, failure_domain):
        """Return the VM that counts the requests to a service's targets there.

        None if no VM is known to serve.
        """
        order = self.ranked(service_name, now_ms, failure_domain)
        return order[0] if order else None


def is_silent(peer, now_ms):
    """Tell whether a peer missed too many of its rounds."""
    interval_ms = FREQUENT_MS if peer.beat.is_frequent else SELDOM_MS
    return now_ms - peer.heard_at_ms > N_SILENT * interval_ms
