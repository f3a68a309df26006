"""Which entry VMs are alive, and which of them are sent heartbeats.

Traffic between failure domains is billed by the byte. VMs of one domain exchange
heartbeats often; across domains, only preferred VMs do: those at the head of a
service's ranking. A VM that has just started contacts its seeds and the VMs that are
registered in the store, and they send it the addresses of others.
"""

from math import inf

from ...edge_messages import StateChange
from ...edge_node_messages import EdgeHeartbeat, SendEdgeHeartbeat
from ...relay_messages import PeerStatus
from .candidates import Candidates, is_serving_on, keeps_candidates
from .contact_sharing import send_contacts
from .heartbeat_intervals import (
    LOCAL_SHORT_MS,
    N_LATE_INTERVALS,
    N_SILENT_INTERVALS,
    interval_ms,
    silence_max_ms,
)
from .peer_records import Contact, Peer, describe_end, keep_stop
from .ranking import N_PREFERRED, Ranking, preference
from .settling import Settling

# Minimum delay of this VM's own tick that is not counted as silence of its peers. Their
# heartbeats of that time may wait to be read.
OWN_DELAY_MIN_MS = LOCAL_SHORT_MS
# Maximum time without a heartbeat of any peer, with as many other VMs in this failure
# domain. At least one of them sends at the short interval.
ALL_SILENT_MS = 4.0 * LOCAL_SHORT_MS
N_LOCAL_CONTACTS_MIN = 2
# Maximum time between the last heartbeats of two VMs of which one is named in place of
# the other by a VM that hears none.
LAST_HEARD_SPREAD_MS = 4000.0


class PeerView:
    """The peers that this VM receives heartbeats from.

    ``peers`` and ``contacts`` map an IP address to its Peer and Contact, and
    ``ranking`` orders the VMs that may own a service. ``n_local_contacts`` is the
    number of other VMs of this failure domain that were ever heard. The slots from
    ``is_serving`` to ``config_version`` are this VM's own, as in its heartbeats.

    Parameters
    ----------
    me : EdgeIdentity
        This VM.
    seed_ips : sequence of str
        Addresses to contact before any are known from the store.
    """

    __slots__ = (
        "me",
        "peers",
        "contacts",
        "n_local_contacts",
        "_heard_at_ms",
        "_heard_own_delay_ms",
        "_is_seed",
        "is_serving",
        "is_stopping",
        "is_preferred",
        "is_watching",
        "is_overloaded",
        "revision",
        "era",
        "config_version",
        "ranking",
        "settling",
        "_candidates",
    )

    def __init__(self, me, seed_ips):
        self.me = me
        self.peers = {}
        self.contacts = {ip: Contact() for ip in seed_ips if ip != me.ip}
        self.n_local_contacts = 0
        # When the last heartbeat of any peer came, later by the time since then in
        # which this VM did not run.
        self._heard_at_ms = me.started_at_ms
        self._heard_own_delay_ms = 0.0
        self._is_seed = me.ip in seed_ips
        self.is_serving = False
        self.is_stopping = False
        self.is_preferred = False
        self.is_watching = False
        self.is_overloaded = False
        self.revision = 0
        self.era = 0
        self.config_version = 0
        self.ranking = Ranking(self.candidates, self._is_overloaded)
        self.settling = Settling(me.started_at_ms)
        self._candidates = Candidates(self)

    # Heartbeats.

    def own_heartbeat(self, now_ms):
        """Return this VM's own heartbeat."""
        return EdgeHeartbeat(
            self.me.ip,
            self.me.failure_domain,
            self.me.start_id,
            self.is_serving,
            self.is_stopping,
            self.settling.is_settled(now_ms),
            self.is_preferred,
            self.is_watching,
            self.is_overloaded,
            self.me.capacity,
            len(self.peers),
            self.config_version,
            self.revision,
            self.era,
        )

    def note_contact(self, ip):
        """Record the address of a VM, from the store or from a peer."""
        if ip != self.me.ip and ip not in self.contacts:
            self.contacts[ip] = Contact()

    def note_contacts(self, message, now_ms):
        """Record the addresses of a Contacts message; return no messages."""
        for ip in message.ips:
            self.note_contact(ip)
        return []

    def note_heartbeat(self, heartbeat, now_ms):
        """Record a peer's heartbeat; return messages."""
        if heartbeat.ip == self.me.ip:
            return []
        self._heard_at_ms = now_ms
        self._heard_own_delay_ms = 0.0
        self.note_contact(heartbeat.ip)
        contact = self.contacts[heartbeat.ip]
        keep_stop(heartbeat, contact.last_heartbeat)
        self._note_domain(contact, heartbeat.failure_domain)
        earlier, contact.last_heartbeat = contact.last_heartbeat, heartbeat
        known = self.peers.get(heartbeat.ip)
        if known is not None and known.heartbeat.start_id == heartbeat.start_id:
            if self.is_silent(known, now_ms) or not keeps_candidates(
                known.heartbeat, heartbeat
            ):
                self._candidates.note_change()
            known.heartbeat = heartbeat
            known.received_at_ms = now_ms
            known.own_delay_ms = 0.0
            if heartbeat.is_settled:
                known.note_settled(now_ms)
            return self._send_contacts(known, now_ms)
        peer = Peer(heartbeat, now_ms, now_ms)
        self.peers[heartbeat.ip] = peer
        self._candidates.note_change()
        return [
            SendEdgeHeartbeat(heartbeat.ip, self.own_heartbeat(now_ms)),
            *describe_end(earlier, heartbeat),
            StateChange("peer", "heard", heartbeat.ip, f"start={heartbeat.start_id}"),
            *self._send_contacts(peer, now_ms),
        ]

    def is_new_start(self, heartbeat):
        """Return whether a heartbeat is the first one of a start of its VM."""
        contact = self.contacts.get(heartbeat.ip)
        if contact is None or contact.last_heartbeat is None:
            return True
        return contact.last_heartbeat.start_id != heartbeat.start_id

    def _note_domain(self, contact, failure_domain):
        if contact.failure_domain != failure_domain:
            self.n_local_contacts += failure_domain == self.me.failure_domain
            self.n_local_contacts -= contact.failure_domain == self.me.failure_domain
            contact.failure_domain = failure_domain

    def is_behind(self, heartbeat):
        """Return whether a peer has seen a later revision of the store."""
        return (heartbeat.era, heartbeat.revision) > (self.era, self.revision)

    def _send_contacts(self, peer, now_ms):
        """Return a message with contacts if the peer has too few peers itself."""
        if not self._is_seed and not self.is_preferred:
            return []
        return send_contacts(peer, self.peers, now_ms)

    def note_own_delay(self, delay_ms, now_ms):
        """Don't count time in which this VM did not run as silence of its peers.

        A VM that is late again and again counts it once its peer had the time of a
        whole silence in which to be heard.
        """
        if delay_ms < OWN_DELAY_MIN_MS:
            return
        if self._heard_own_delay_ms < ALL_SILENT_MS:
            self._heard_own_delay_ms += delay_ms
            self._heard_at_ms = min(now_ms, self._heard_at_ms + delay_ms)
        self._candidates.note_change()
        for peer in self.peers.values():
            if peer.own_delay_ms < self._silence_max_ms(peer):
                peer.own_delay_ms += delay_ms
                peer.received_at_ms = min(now_ms, peer.received_at_ms + delay_ms)

    def heartbeat_round(self, service_names, now_ms):
        """Return the heartbeats that are due, and a StateChange for each lost peer."""
        out = self._remove_silent(now_ms)
        if not self.settling.is_settled(now_ms):
            self._update_settling()
        self._update_preferred(service_names, now_ms)
        heartbeat = self.own_heartbeat(now_ms)
        for ip, peer in self.peers.items():
            receiver = peer.heartbeat
            if now_ms - peer.sent_at_ms >= interval_ms(
                heartbeat, receiver.failure_domain, receiver.is_preferred
            ):
                peer.sent_at_ms = now_ms
                out.append(SendEdgeHeartbeat(ip, heartbeat))
        for ip, contact in self.contacts.items():
            if ip not in self.peers and now_ms >= contact.due_at_ms:
                contact.back_off(now_ms)
                if self._is_relevant(contact):
                    out.append(SendEdgeHeartbeat(ip, heartbeat))
        return out

    def _is_relevant(self, contact):
        """Return whether to send heartbeats to a contact that is not a peer."""
        if contact.failure_domain in (None, self.me.failure_domain):
            return True
        return self.is_preferred

    def expedite_local(self):
        """Make heartbeats to the peers of this failure domain due in the next round."""
        for peer in self.peers.values():
            if self.is_local(peer.heartbeat):
                peer.sent_at_ms = -inf

    def n_ranked_before(self, now_ms):
        """Return how many VMs of this failure domain rank before this one.

        The preferred VMs are not counted.
        """
        ranked = self.ranking.ranked("", now_ms, self.me.failure_domain)
        rank = ranked.index(self.me.ip) if self.me.ip in ranked else 0
        return max(0, rank - N_PREFERRED)

    def is_local(self, heartbeat):
        """Return whether a heartbeat is of a VM of this failure domain."""
        return heartbeat.failure_domain == self.me.failure_domain

    def _update_preferred(self, service_names, now_ms):
        was_preferred = self.is_preferred
        self.is_preferred = any(
            self.me.ip
            in self.ranking.ranked(name, now_ms, self.me.failure_domain)[:N_PREFERRED]
            for name in service_names
        )
        if self.is_preferred != was_preferred:
            self._expedite_all()

    def _update_settling(self):
        local = [
            peer
            for peer in self.peers.values()
            if self.is_local(peer.heartbeat)
            and peer.heartbeat.capacity >= self.me.capacity
            and peer.heartbeat.is_serving
            and not peer.heartbeat.is_stopping
        ]
        own = preference(self.me.ip, self.me.capacity, "")
        rank = sum(
            preference(peer.heartbeat.ip, peer.heartbeat.capacity, "") < own
            for peer in local
        )
        self.settling.note_peers(sum(peer.is_able_owner() for peer in local), rank)

    def set_overloaded(self, is_overloaded):
        """Set whether this VM is overloaded; the next round tells all peers."""
        self.is_overloaded = is_overloaded
        self._expedite_all()

    def _expedite_all(self):
        for peer in self.peers.values():
            peer.sent_at_ms = -inf

    def _silence_max_ms(self, peer):
        """Return the maximum silence of a live peer."""
        return silence_max_ms(peer.heartbeat, self.me.failure_domain, self.is_preferred)

    def is_silent(self, peer, now_ms):
        """Return whether a peer was not heard for longer than a live one may be."""
        return now_ms - peer.received_at_ms > self._silence_max_ms(peer)

    def silent_at_ms(self, peer):
        """Return when a peer becomes silent if it is not heard again."""
        return peer.received_at_ms + self._silence_max_ms(peer)

    def _remove_silent(self, now_ms):
        silent = [ip for ip, peer in self.peers.items() if self.is_silent(peer, now_ms)]
        for ip in silent:
            self.contacts[ip].ran_until_ms = self._ran_until_ms(self.peers.pop(ip))
            self.contacts[ip].reset()
            self._candidates.note_change()
        return [StateChange("peer", "silent", ip) for ip in silent]

    def hears_nobody(self, now_ms):
        """Return whether none of several VMs of this failure domain is heard."""
        if self.n_local_contacts < N_LOCAL_CONTACTS_MIN:
            return False
        return now_ms - self._heard_at_ms > ALL_SILENT_MS

    def last_heard_ips(self, failure_domain):
        """Return the addresses of the VMs that were heard last, while none is heard.

        Preferred VMs come first, because they hold the targets, and then those of
        ``failure_domain``.
        """
        earliest_ms = self._heard_at_ms - LAST_HEARD_SPREAD_MS
        heartbeats = [peer.heartbeat for peer in self.peers.values()]
        heartbeats += [
            contact.last_heartbeat
            for ip, contact in self.contacts.items()
            if ip not in self.peers and contact.ran_until_ms >= earliest_ms
        ]
        heartbeats = [item for item in heartbeats if is_serving_on(item)]
        heartbeats.sort(
            key=lambda item: (
                not item.is_preferred,
                item.failure_domain != failure_domain,
                item.ip,
            )
        )
        return [item.ip for item in heartbeats]

    def is_alive(self, ip, now_ms):
        """Return whether a peer's heartbeats still arrive.

        A peer that is stopping counts as alive: it still answers the requests that it
        accepted before.
        """
        peer = self.peers.get(ip)
        return peer is not None and not self.is_silent(peer, now_ms)

    def status(self, ip, now_ms):
        """Return the PeerStatus of a VM; one never heard may have run until now."""
        peer = self.peers.get(ip)
        if peer is not None:
            return PeerStatus(self.is_alive(ip, now_ms), self._ran_until_ms(peer))
        contact = self.contacts.get(ip)
        was_heard = contact is not None and contact.last_heartbeat is not None
        return PeerStatus(False, contact.ran_until_ms if was_heard else now_ms)

    def _ran_until_ms(self, peer):
        """Return the latest time at which a peer that is silent now may have run."""
        late_share = N_LATE_INTERVALS / N_SILENT_INTERVALS
        return peer.received_at_ms + late_share * self._silence_max_ms(peer)

    # Owners.

    def candidates(self, now_ms):
        """Return the heartbeats of the VMs that may own a service."""
        return self._candidates.heartbeats(now_ms)

    def other_owners(self, service_name, now_ms):
        """Return the addresses of the other VMs that own a service.

        There is at most one in each failure domain. A VM that is not preferred knows
        only that of its own domain.
        """
        owners = self.owner_by_domain(service_name, now_ms, includes_own=True)
        return sorted(set(owners.values()))

    def owner_by_domain(self, service_name, now_ms, includes_own=False):
        """Return the addresses of the other VMs that own a service, by failure domain.

        This VM's own domain, whose owner may be another VM, is included on request.
        """
        domains = self._candidate_domains(now_ms)
        if not includes_own:
            domains.discard(self.me.failure_domain)
        owners = {
            domain: self.ranking.owner(service_name, now_ms, domain)
            for domain in domains
        }
        # The ranking may be from before the first VM of a domain was heard.
        return {
            domain: ip for domain, ip in owners.items() if ip not in (self.me.ip, None)
        }

    def _candidate_domains(self, now_ms):
        return {heartbeat.failure_domain for heartbeat in self.candidates(now_ms)}

    def _is_overloaded(self, ip):
        if ip == self.me.ip:
            return self.is_overloaded
        peer = self.peers.get(ip)
        return peer is not None and peer.heartbeat.is_overloaded
