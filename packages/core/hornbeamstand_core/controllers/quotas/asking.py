"""Whom a VM asks for tokens, and for how many."""

from math import floor, inf

from ...edge_node_messages import SendToPeer
from ...quota_messages import QuotaNeed, QuotaRequest
from .domain_part import domain_burst
from .leases import LOCAL_EMPTY_RETRY_MS, REMOTE_EMPTY_RETRY_MS

# Minimum demand for which tokens are leased ahead. With less, most would lapse unspent.
AHEAD_MIN_PER_S = 3.0
# Stock of tokens up to which a VM leases ahead, and the one below which it asks for
# more, as the time for which they last at the present demand.
STOCK_S = 1.0
LOW_STOCK_S = 0.4
# Maximum number of organisations in one datagram, and of bytes of their names.
N_NEEDS_MAX = 16
NAMES_MAX_BYTES = 700
# Number of bits of the sequence numbers within one start of a VM.
SEQUENCE_BITS = 20


class TokenRequests:
    """The requests for tokens that this VM sends to quota holders.

    Parameters
    ----------
    me : EdgeIdentity
        This VM.
    holders : QuotaHolders
        The holders of all failure domains.
    """

    __slots__ = ("_me", "_holders", "_sequence")

    def __init__(self, me, holders):
        self._me = me
        self._holders = holders
        # A late reply to an earlier start of this VM has another sequence number.
        self._sequence = me.start_id << SEQUENCE_BITS

    def ask(self, states, now_ms):
        """Ask for the tokens that organisations need; return messages.

        ``states`` are their OrganisationQuota.
        """
        needy_by_ip = {}
        for state in states:
            for ip in self._sources(state, now_ms):
                needy_by_ip.setdefault(ip, []).append(state)
        return [
            SendToPeer(ip, self._make_request(ip, part, now_ms))
            for ip, needy in needy_by_ip.items()
            for part in split_by_size(needy)
        ]

    def report_uncounted(self, states, now_ms):
        """Return requests to the holders that don't count all tokens held here.

        These are tokens that were given back; a request states what is held.
        """
        return [
            SendToPeer(ip, self._make_request(ip, [state], now_ms))
            for state in states
            for ip, lease in state.leases.items()
            if lease.is_uncounted(now_ms) and not lease.is_awaited(now_ms)
        ]

    def _sources(self, state, now_ms):
        """Return the addresses of the holders to ask now, in this failure domain first.

        Holders of other domains are asked, one after the other, once that of this one
        had no tokens or was silent.
        """
        holder = self._holders.local(now_ms)
        if holder is not None and holder != self._me.ip:
            lease = state.lease(holder)
            if lease.may_ask(now_ms):
                return [holder]
            if lease.is_awaited(now_ms):
                return []
        remote = [ip for ip in self._holders.remote(now_ms) if ip != holder]
        if any(state.lease(ip).is_awaited(now_ms) for ip in remote):
            return []
        able = [ip for ip in remote if state.lease(ip).may_ask(now_ms)]
        # VMs have different sequence numbers and begin with different holders.
        return [able[self._sequence % len(able)]] if able else []

    def _make_request(self, ip, states, now_ms):
        self._sequence += 1
        needs = []
        for state in states:
            n_waiting = len(state.waiting)
            n_held = self._n_held(state, ip, now_ms)
            state.lease(ip).note_request(self._sequence, n_waiting, now_ms)
            name = state.organisation.name
            needs.append(QuotaNeed(name, n_wanted(state, now_ms), n_waiting, n_held))
        return QuotaRequest(self._me.ip, self._sequence, needs)

    def _n_held(self, state, ip, now_ms):
        """Return the number of tokens to report to a holder as held here.

        A holder of another domain is told of those that it leased itself. That of this
        domain is told of all that were leased here, because a new holder counts those
        of the former one too, and of those of requests that still wait for a slot.
        """
        if not self._holders.is_local(ip):
            return state.lease(ip).n_tokens(now_ms)
        return state.unsent.count(now_ms) + sum(
            lease.n_tokens(now_ms)
            for other_ip, lease in state.leases.items()
            if self._holders.is_local(other_ip)
        )

    def take_response(self, state, part, message, now_ms):
        """Add the tokens of a QuotaLease, the ``part`` of a QuotaResponse.

        Returns whether the response is that to the latest request.
        """
        lease = state.leases.get(message.sender_ip)
        if lease is None or lease.sequence != message.sequence:
            return False
        # The holder may not know of a lower quota yet.
        n_tokens = min(domain_burst(state.organisation, state.limits), part.n_tokens)
        ask_again_ms = 0.0
        if n_tokens == 0.0:
            is_local = self._holders.is_local(message.sender_ip)
            retry_ms = LOCAL_EMPTY_RETRY_MS if is_local else REMOTE_EMPTY_RETRY_MS
            ask_again_ms = max(part.retry_after_ms, retry_ms)
        lease.note_response(n_tokens, ask_again_ms, now_ms)
        return True


def n_wanted(state, now_ms):
    """Return the number of tokens to ask for, at least one."""
    n_stock = floor(STOCK_S * state.demand.rate_per_s(now_ms))
    return max(1.0, len(state.waiting), n_stock - state.n_tokens(now_ms))


def is_low(state, now_ms):
    """Return whether tokens of an organisation have to be leased ahead."""
    rate_per_s = state.demand.rate_per_s(now_ms)
    if rate_per_s < AHEAD_MIN_PER_S:
        return False
    return state.n_tokens(now_ms) < LOW_STOCK_S * rate_per_s


def split_by_size(states):
    """Return the states of organisations in parts that fit into a datagram each."""
    parts, n_bytes = [], inf
    for state in states:
        n_name_bytes = len(state.organisation.name.encode())
        is_full = not parts or len(parts[-1]) >= N_NEEDS_MAX
        if is_full or n_bytes + n_name_bytes > NAMES_MAX_BYTES:
            parts.append([])
            n_bytes = 0
        parts[-1].append(state)
        n_bytes += n_name_bytes
    return parts
