"""How much of a service's load leaves this VM's failure domain.

An owner that lacks room asks the owners in the other domains, and each lends some of
the slots that are free there. A lender counts the slots that it lent as taken, so
neither its own requests nor those of another borrower go there: two domains that
overflow at once don't fill the same targets of a third. Nothing is sent while no owner
lacks room.
"""

from collections import Counter
from math import ceil, inf

from ...edge_node_messages import SendToPeer
from ...room_messages import RoomOffered, RoomWanted
from .leaving import (
    EXCHANGE_PRIOR_BYTES,
    SIZE_WEIGHT,
    has_near_targets,
    near_targets,
)

# Interval at which an owner that lacks room asks the others.
ASK_INTERVAL_MS = 50.0
# Time for which a loan holds. It outlasts a few lost datagrams.
LOAN_MS = 500.0
# Time from a loan in which its lender alone says which of its targets take requests.
# After that, the load reports of the targets decide.
WORD_MS = 1500.0
# Share of the slots in use above which an owner asks for room, and below which it no
# longer does: with one threshold, its load would move to and fro.
SHORT_SHARE = 0.85
ENOUGH_SHARE = 0.6
# Share of its slots that an owner keeps free for its own callers' next requests.
RESERVE_SHARE = 0.15
# Share of the slots that a borrower uses by which it may raise them in one round.
GROWTH_SHARE = 0.25
# Maximum number of targets of which one domain lends slots to another.
N_LENT_TARGETS_MAX = 60


class Loan:
    """The slots that one owner lends to another, by target id, from ``at_ms`` on."""

    __slots__ = ("slots", "at_ms")

    def __init__(self, slots, at_ms):
        self.slots = slots
        self.at_ms = at_ms

    def is_valid(self, now_ms):
        """Return whether the slots may still be used."""
        return now_ms - self.at_ms <= LOAN_MS


class Leaving:
    """The loans by which requests of one service leave this VM's failure domain.

    ``rules`` are the LeavingRules, and ``mean_bytes`` is the mean size of an exchange.
    ``is_short`` is set while this domain lacks room. ``n_left`` counts the requests
    that were sent to other domains, by reason.

    Parameters
    ----------
    rules : LeavingRules
        What leaving costs.
    """

    __slots__ = (
        "rules",
        "mean_bytes",
        "is_short",
        "n_left",
        "_borrowed",
        "_lent",
        "_asked_at_ms",
    )

    def __init__(self, rules):
        self.rules = rules
        self.mean_bytes = EXCHANGE_PRIOR_BYTES
        self.is_short = False
        self.n_left = Counter()
        # Maps another failure domain to the Loan of its owner.
        self._borrowed = {}
        # Maps the address of another owner to the Loan that it got.
        self._lent = {}
        self._asked_at_ms = -inf

    def note_size(self, n_bytes):
        """Update the mean size with the bytes of one exchange."""
        self.mean_bytes += SIZE_WEIGHT * (n_bytes - self.mean_bytes)

    # Borrowing.

    def ask(self, service, owner_by_domain, my_ip, now_ms):
        """Return the messages that ask other owners for room, if this domain lacks it.

        They are due at intervals while it does. ``owner_by_domain`` maps each other
        failure domain to the address of the service's owner there.
        """
        if now_ms - self._asked_at_ms < ASK_INTERVAL_MS:
            return []
        self.is_short = is_short(service, self.is_short, now_ms)
        if not self.is_short:
            return []
        self._asked_at_ms = now_ms
        n_used = count_in_flight(service)
        n_more = len(service.waiting) + ceil(GROWTH_SHARE * n_used.total()) + 1
        out = []
        for domain, ip in owner_by_domain.items():
            n_wanted = n_used[domain] + n_more
            wanted = RoomWanted(my_ip, service.name, n_wanted, now_ms)
            out.append(SendToPeer(ip, wanted))
        return out

    def note_offer(self, service, offer, now_ms):
        """Record the slots that the owner in another failure domain lends.

        The loan holds from when it was asked for: either VM may have been frozen since,
        and offers may overtake one another.
        """
        domain = offer.failure_domain
        at_ms = min(now_ms, offer.asked_at_ms)
        known = self._borrowed.get(domain)
        is_old = known is not None and at_ms < known.at_ms
        if is_old or not has_targets(service, domain):
            return
        slots = dict(offer.slots)
        self._borrowed[domain] = Loan(slots, at_ms)
        for target_id, n_slots in slots.items():
            target = service.targets.get(target_id)
            if target is not None:
                target.note_borrowed(n_slots)

    def allowed(self, targets, now_ms):
        """Return those of other domains' targets that may be sent a request.

        Without a recent offer of their domain's owner, their load reports decide.
        """
        if not self._borrowed:
            return targets
        return [target for target in targets if self._is_allowed(target, now_ms)]

    def _is_allowed(self, target, now_ms):
        loan = self._borrowed.get(target.entry.failure_domain)
        if loan is None or now_ms - loan.at_ms > WORD_MS:
            return True
        if not loan.is_valid(now_ms):
            return not self.is_short
        n_slots = loan.slots.get(target.entry.target_id, 0)
        return len(target.started_at_ms) < n_slots

    def has_loan(self, target, now_ms):
        """Return whether an owner in another domain lends slots of a target now."""
        loan = self._borrowed.get(target.entry.failure_domain)
        if loan is None or not loan.is_valid(now_ms):
            return False
        return target.entry.target_id in loan.slots

    def n_room(self, target, now_ms):
        """Return the number of slots of a target elsewhere that this VM may use."""
        loan = self._borrowed.get(target.entry.failure_domain)
        if loan is None or not loan.is_valid(now_ms):
            return target.n_room(now_ms) if self._is_allowed(target, now_ms) else 0
        return loan.slots.get(target.entry.target_id, 0)

    # Lending.

    def offer(self, service, wanted, now_ms):
        """Return the RoomOffered for an owner that asks for room, or None.

        The borrower's earlier loan is taken back first, and what is free then is shared
        with the other borrowers. The result is None if this VM knows no target here:
        the borrower may know one that this VM hasn't read yet.
        """
        if not has_near_targets(service, now_ms):
            return None
        self._lent = {
            ip: loan for ip, loan in self._lent.items() if loan.is_valid(now_ms)
        }
        earlier = self._lent.pop(wanted.ip, None)
        kept = earlier.slots if earlier else {}
        self._note_lent(service, kept, now_ms)
        n_spare = count_spare(service, now_ms)
        n_share = ceil(n_spare / (1 + len(self._lent)))
        slots = choose_slots(service, kept, min(wanted.n_wanted, n_share), now_ms)
        self._lent[wanted.ip] = Loan(slots, now_ms)
        self._note_lent(service, slots, now_ms)
        return RoomOffered(
            service.name, service.local_domain, tuple(slots.items()), wanted.asked_at_ms
        )

    def _note_lent(self, service, target_ids, now_ms):
        """Let the named targets count the slots of all loans as taken."""
        for target_id in target_ids:
            target = service.targets.get(target_id)
            if target is not None:
                n_lent = sum(
                    loan.slots.get(target_id, 0) for loan in self._lent.values()
                )
                target.note_lent(n_lent, now_ms + LOAN_MS)


def choose_slots(service, kept, n_wanted, now_ms):
    """Return a dict of target id to slots: up to ``n_wanted`` that are free here.

    Targets in ``kept``, the borrower's earlier loan, come first, because it has open
    connections there.
    """
    free = [
        (target.entry.target_id, target.n_free(now_ms))
        for target in near_targets(service, now_ms)
        if not target.is_cold(now_ms) and target.n_free(now_ms) > 0
    ]
    free.sort(key=lambda item: (item[0] not in kept, -item[1], item[0]))
    slots = {}
    n_left = n_wanted
    for target_id, n_free in free[:N_LENT_TARGETS_MAX]:
        if n_left <= 0:
            break
        slots[target_id] = min(n_free, n_left)
        n_left -= slots[target_id]
    return slots


def is_short(service, was_short, now_ms):
    """Return whether this failure domain lacks room for the load that comes to it."""
    n_slots = n_in_flight = 0
    for target in near_targets(service, now_ms):
        n_slots += target.n_usable_slots
        n_in_flight += target.n_in_flight(now_ms)
    if service.waiting:
        return True
    if n_slots == 0:
        # A VM without requests elsewhere asks for none: others need the slots.
        return count_in_flight(service).total() > 0
    limit_share = ENOUGH_SHARE if was_short else SHORT_SHARE
    return n_in_flight >= limit_share * n_slots


def count_spare(service, now_ms):
    """Return the number of free slots here that this VM's own callers don't need soon.

    A target in cold start bears no requests in addition.
    """
    n_slots = n_free = 0
    for target in near_targets(service, now_ms):
        n_slots += target.n_usable_slots
        n_free += 0 if target.is_cold(now_ms) else target.n_free(now_ms)
    # The only slot of a domain may be all that others have.
    n_reserved = ceil(RESERVE_SHARE * n_slots) if n_slots > 1 else 0
    return max(0, n_free - n_reserved - len(service.waiting))


def has_targets(service, failure_domain):
    """Return whether a service has a target in a failure domain."""
    return any(
        target.entry.failure_domain == failure_domain
        for target in service.targets.values()
    )


def count_in_flight(service):
    """Return a Counter of this VM's requests in flight by other failure domain."""
    n_by_domain = Counter()
    for target in service.targets.values():
        if not service.is_near(target):
            n_by_domain[target.entry.failure_domain] += len(target.started_at_ms)
    return n_by_domain
