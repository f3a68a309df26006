"""The order in which waiting requests are served: plain functions.

It answers a load of more requests than slots, from callers with different needs: urgent
and less urgent requests, organisations of which one asks for much more than usual, and
requests that are late whatever happens.
"""

from .served_shares import ServedShares

# Ranks of waiting requests, the first of which is served first.
RANK_BELOW_FLOOR = 0
RANK_IN_TIME = 1
RANK_LATE = 2


class QueueShares:
    """What the priorities and the organisations were served of late by a service."""

    __slots__ = ("priorities", "organisations")

    def __init__(self):
        self.priorities = ServedShares()
        self.organisations = ServedShares()

    def note_asked(self, message, now_ms):
        """Count a request as it arrives."""
        self.priorities.note_asked(message.priority, now_ms)
        self.organisations.note_asked(message.organisation, now_ms)

    def note_served(self, message, now_ms):
        """Count a request that got a slot."""
        self.priorities.note_served(message.priority, now_ms)
        self.organisations.note_served(message.organisation, now_ms)


def order_waiting(waiting, shares, find_reserve_ms, now_ms):
    """Return waiting requests in the order in which they are served.

    - A request that is late even with the next slot comes after all that are not: it
      takes no slot from one that is in time.
    - Urgent requests come first, however many less urgent ones wait.
    - Within a priority the organisation that got fewest slots of late is next, so that
      a hot one waits behind its own requests and not before those of others.
    - One request of a priority or an organisation below its least share comes before
      all of these, so that neither order starves anyone.

    Parameters
    ----------
    waiting : list of WaitingRequest
        The requests in the order of their arrival.
    shares : QueueShares
        What their priorities and organisations were served of late.
    find_reserve_ms : callable
        Takes a request's AcquireSlot and returns the time that it takes once it has its
        slot.
    now_ms : float
        The local time.
    """
    # Maps a group to its recent slots and those of its requests that come earlier.
    n_served = {}
    raised = set()
    keyed = []
    in_priority_order = sorted(waiting, key=lambda item: item.message.priority)
    for item in in_priority_order:
        message = item.message
        is_late = now_ms + find_reserve_ms(message) > message.objective_at_ms
        group = (is_late, message.priority, message.organisation)
        if group not in n_served:
            n_served[group] = shares.organisations.n_served(
                message.organisation, now_ms
            )
        n_before = n_served[group]
        n_served[group] += 1.0
        rank = RANK_LATE if is_late else _rank_in_time(message, shares, raised, now_ms)
        keyed.append((rank, message.priority, n_before, item.since_ms, item))
    keyed.sort(key=lambda key: key[:-1])
    return [key[-1] for key in keyed]


def _rank_in_time(message, shares, raised, now_ms):
    """Return the rank of a request that is not late.

    ``raised`` collects the groups of which a request has RANK_BELOW_FLOOR. It is one of
    each at a time, because the next slot changes the group's share.
    """
    for counts, group in (
        (shares.priorities, ("priority", message.priority)),
        (shares.organisations, ("organisation", message.organisation)),
    ):
        if group not in raised and counts.is_below_floor(group[1], now_ms):
            raised.add(group)
            return RANK_BELOW_FLOOR
    return RANK_IN_TIME
