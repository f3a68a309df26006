"""Which entry VMs are alive, and which of them counts a service's requests.

Ownership here is a preference, not a right: it makes one count exact while all
is well. A VM that can't reach the owner serves the request itself, from its own
counts and the targets' load reports.
"""

from ..edge_messages import Beat, Belief, SendBeat
from ..hashing import rank

BEAT_MS = 200.0
# A peer that was silent for this long is taken as gone.
SILENT_MS = 750.0
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
        "revision",
        "_n_rounds",
        "_ranks",
        "_candidates",
    )

    def __init__(self, me, seed_ips):
        self.me = me
        self.peers = {}
        self.contact_ips = {ip: "" for ip in seed_ips if ip != me.ip}
        self.is_serving = False
        self.is_stopping = False
        self.revision = 0
        self._n_rounds = 0
        self._ranks = {}
        self._candidates = ()

    # Signs of life.

    def my_beat(self, now_ms):
        """Return this VM's own sign of life."""
        return Beat(
            self.me.vm_id,
            self.me.start_id,
            self.me.ip,
            self.me.failure_domain,
            self.is_serving,
            self.is_stopping,
            self.revision,
            now_ms - self.me.started_at_ms,
        )

    def note_contact(self, vm_id, ip):
        """Learn where a peer is from its entry in the store."""
        if ip != self.me.ip:
            self.contact_ips[ip] = vm_id

    def note_beat(self, beat, now_ms):
        """Take a peer's sign of life; returns messages."""
        if beat.vm_id == self.me.vm_id:
            return []
        known = self.peers.get(beat.vm_id)
        is_new = known is None or known.beat.start_id != beat.start_id
        self.peers[beat.vm_id] = Peer(beat, now_ms)
        self.contact_ips[beat.ip] = beat.vm_id
        if not is_new:
            return []
        return [
            SendBeat(beat.ip, self.my_beat(now_ms)),
            Belief("peer", "heard", beat.vm_id, f"domain={beat.failure_domain}"),
        ]

    def beat_round(self, now_ms):
        """Return the messages of one round of signs of life."""
        self._n_rounds += 1
        out = self._note_silent(now_ms)
        beat = self.my_beat(now_ms)
        alive_ips = {peer.beat.ip for peer in self.peers.values()}
        is_call = self._n_rounds % N_ROUNDS_BETWEEN_CALLS == 1
        for ip in self.contact_ips:
            if ip in alive_ips or is_call:
                out.append(SendBeat(ip, beat))
        return out

    def _note_silent(self, now_ms):
        silent = [
            vm_id
            for vm_id, peer in self.peers.items()
            if now_ms - peer.heard_at_ms > SILENT_MS
        ]
        for vm_id in silent:
            del self.peers[vm_id]
        return [Belief("peer", "silent", vm_id) for vm_id in silent]

    def is_alive(self, vm_id, now_ms):
        """Tell whether a peer was heard lately and is not stopping."""
        peer = self.peers.get(vm_id)
        if peer is None or peer.beat.is_stopping:
            return False
        return now_ms - peer.heard_at_ms <= SILENT_MS

    # Owners.

    def candidates(self, now_ms):
        """Return the VMs that may own a service or be named to callers."""
        beats = [
            peer.beat
            for peer in self.peers.values()
            if peer.beat.is_serving
            and not peer.beat.is_stopping
            and now_ms - peer.heard_at_ms <= SILENT_MS
        ]
        if self.is_serving and not self.is_stopping:
            beats.append(self.my_beat(now_ms))
        settled = [beat.vm_id for beat in beats if beat.up_ms >= SETTLED_MS]
        return tuple(sorted(settled or [beat.vm_id for beat in beats]))

    def ranked(self, key, now_ms):
        """Return the candidates in their order for a key."""
        candidates = self.candidates(now_ms)
        if candidates != self._candidates:
            self._candidates = candidates
            self._ranks = {}
        order = self._ranks.get(key)
        if order is None:
            order = self._ranks[key] = rank(candidates, key)
        return order

    def owner(self, service_name, now_ms):
        """Return the VM that counts a service's requests, or None."""
        order = self.ranked(service_name, now_ms)
        return order[0] if order else None

    def ip_of(self, vm_id):
        """Return a VM's address, or None if it is not known."""
        if vm_id == self.me.vm_id:
            return self.me.ip
        peer = self.peers.get(vm_id)
        return peer.beat.ip if peer else None
