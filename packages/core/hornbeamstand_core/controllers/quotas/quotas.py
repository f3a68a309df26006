"""The quotas of organisations at one VM: it spends tokens, and may hold and lease them.

Each failure domain holds a fixed part of each quota. Its quota holder leases tokens to
the VMs that spend them, and to those of other domains, which ask if their own holder
has none left or is silent.
"""

from math import inf

from ...balancer_messages import Decision, DeferredReply
from ...edge_messages import StateChange
from ...edge_node_messages import SendToPeer
from ...messages import NOT_RUN, Refusal
from ...quota_messages import (
    CheckQuotas,
    EndQuotaWait,
    ProcessSuspended,
    QuotaRequest,
    QuotaResponse,
    QuotaSpent,
    ReturnQuota,
    ScheduleQuotaCheck,
    SetQuotaLimits,
    SpendQuota,
)
from .asking import TokenRequests, is_low
from .holders import QuotaHolders
from .holding import DomainHolding
from .leases import LEASE_MS, RESPONSE_WAIT_MS
from .organisation_quota import OrganisationQuota, WaitingSpend

# Maximum time for which a request waits for a token.
WAIT_MAX_MS = 50.0
# Time after which a caller may retry if no quota holder answered.
NO_HOLDER_RETRY_MS = 200.0
# Interval of the rounds that lease tokens ahead of the demand.
ROUND_MS = 100.0
# Minimum pause of this VM after which another one may have taken its place as a quota
# holder, and void leases may look valid.
PAUSE_MIN_MS = 500.0
# Time without a refusal after which an organisation counts as within its quota.
WITHIN_MS = 5000.0


class Quotas:
    """The quotas of all organisations at one VM.

    ``limits`` is the QuotaLimits, or None for no quotas. ``n_spent`` and ``n_refused``
    count requests, ``handlers`` maps message types to methods, and ``holding`` is the
    DomainHolding.

    Parameters
    ----------
    peers : PeerView
        The peers.
    routing : Routing
        The configuration in force.
    """

    __slots__ = (
        "limits",
        "holding",
        "handlers",
        "n_spent",
        "n_refused",
        "_me",
        "_routing",
        "_requests",
        "_states",
        "_next_round_ms",
        "_is_check_scheduled",
    )

    def __init__(self, peers, routing):
        self.limits = None
        self.n_spent = 0
        self.n_refused = 0
        self._me = peers.me
        self._routing = routing
        holders = QuotaHolders(peers, routing)
        self.holding = DomainHolding(peers.me, holders)
        self._requests = TokenRequests(peers.me, holders)
        # Maps the name of an organisation to its OrganisationQuota.
        self._states = {}
        self._next_round_ms = -inf
        self._is_check_scheduled = False
        self.handlers = {
            SpendQuota: self._spend,
            ReturnQuota: self._give_back,
            EndQuotaWait: self._end_wait,
            QuotaRequest: self._lease,
            QuotaResponse: self._take_leases,
            CheckQuotas: self._check,
            SetQuotaLimits: self._adopt_limits,
            ProcessSuspended: self._note_suspension,
        }

    def _adopt_limits(self, message, now_ms):
        self.limits = message.limits
        return []

    # Requests of callers.

    def _spend(self, message, now_ms):
        state = self._state(message.organisation, now_ms)
        if state is None:
            return [DeferredReply(message.request_id, QuotaSpent())]
        state.demand.note(1.0, now_ms)
        state.waiting.append(WaitingSpend(message.request_id, now_ms + WAIT_MAX_MS))
        return self._pursue(state, now_ms)

    def _give_back(self, message, now_ms):
        state = self._states.get(message.organisation)
        if state is not None:
            state.give_back(now_ms)
        return []

    def _end_wait(self, message, now_ms):
        state = self._states.get(message.organisation)
        if state is not None:
            state.unsent.end_one()
        return []

    def _pursue(self, state, now_ms):
        """Serve the requests that wait; ask for tokens for those left, or refuse."""
        served = state.serve_waiting(now_ms)
        self.n_spent += len(served)
        out = [DeferredReply(waiting.request_id, QuotaSpent()) for waiting in served]
        if not state.waiting:
            return out
        out += self._requests.ask([state], now_ms)
        if state.is_awaiting(now_ms):
            return out + self._schedule_check()
        while state.waiting:
            out += self._refuse(state, state.waiting.popleft(), now_ms)
        return out

    def _schedule_check(self):
        if self._is_check_scheduled:
            return []
        self._is_check_scheduled = True
        return [ScheduleQuotaCheck(RESPONSE_WAIT_MS)]

    def _check(self, message, now_ms):
        self._is_check_scheduled = False
        out = []
        for state in self._states.values():
            while state.waiting and now_ms >= state.waiting[0].until_ms:
                out += self._refuse(state, state.waiting.popleft(), now_ms)
            if state.waiting:
                out += self._pursue(state, now_ms)
        return out

    def _refuse(self, state, waiting, now_ms):
        name = state.organisation.name
        is_used_up = self._is_used_up(state, now_ms)
        if is_used_up:
            reason, status = "quota used up", 429
            retry_ms = state.retry_after_ms(now_ms)
        else:
            reason, status, retry_ms = "no quota holder", 503, NO_HOLDER_RETRY_MS
        self.n_refused += 1
        refusal = Refusal(reason, NOT_RUN, status, "quota", name, retry_ms)
        detail = f"{reason} organisation={name} retry_ms={retry_ms:.0f}"
        out = [
            Decision("", waiting.request_id, "refuse", "", detail),
            DeferredReply(waiting.request_id, refusal),
        ]
        if is_used_up and state.note_exceeded(now_ms):
            quota = state.organisation
            detail = f"rate_per_s={quota.rate_per_s:g} n_burst={quota.n_burst:g}"
            out.append(StateChange("quota", "exceeded", name, detail))
        return out

    def _is_used_up(self, state, now_ms):
        """Return whether this VM is the holder, or one has lately had no tokens."""
        if state.bucket is not None:
            return True
        return now_ms - state.emptied_at_ms() < LEASE_MS

    # Messages of other VMs.

    def _lease(self, message, now_ms):
        if self.limits is None:
            return []
        self.holding.update(self._states.values(), self.limits.overage, now_ms)
        if not self.holding.is_holder:
            # The VM that asked turns to another one.
            return []
        leases = []
        for need in message.needs:
            state = self._state(need.organisation, now_ms)
            leases.append(self.holding.lease(state, need, message, now_ms))
        response = QuotaResponse(self._me.ip, message.sequence, leases)
        return [SendToPeer(message.sender_ip, response)]

    def _take_leases(self, message, now_ms):
        out = []
        for part in message.leases:
            state = self._state(part.organisation, now_ms)
            if state is None:
                continue
            if self._requests.take_response(state, part, message, now_ms):
                out += self._pursue(state, now_ms)
                state.leases[message.sender_ip].trim()
        return out

    # Time.

    def tick(self, delay_ms, now_ms):
        """Run the periodic work; return messages."""
        if delay_ms >= PAUSE_MIN_MS:
            self._note_suspension(None, now_ms)
        if self.limits is None or now_ms < self._next_round_ms:
            return []
        self._next_round_ms = now_ms + ROUND_MS
        states = self._states.values()
        self.holding.update(states, self.limits.overage, now_ms)
        self.holding.update_share(states, self.limits.overage, now_ms)
        self._forget_removed()
        out = []
        for state in states:
            state.forget_needless(now_ms)
            if state.note_within(now_ms - WITHIN_MS):
                out.append(StateChange("quota", "within", state.organisation.name))
        low = [state for state in states if is_low(state, now_ms)]
        out += self._requests.report_uncounted(states, now_ms)
        return out + self._requests.ask(low, now_ms)

    def _note_suspension(self, message, now_ms):
        """Drop all tokens: another holder may have leased them out meanwhile."""
        states = self._states.values()
        for state in states:
            state.void_leases()
        self.holding.begin_anew(states, now_ms)
        return []

    def _state(self, name, now_ms):
        """Return the OrganisationQuota of a name, or None for no quota."""
        config = self._routing.config
        organisation = config.organisations.get(name) if config else None
        if self.limits is None or organisation is None or organisation.rate_per_s <= 0:
            return None
        state = self._states.get(name)
        if state is None:
            state = self._states[name] = OrganisationQuota(organisation, self.limits)
            self.holding.prepare(state)
        is_changed = state.organisation is not organisation
        if is_changed or state.limits is not self.limits:
            state.adopt(organisation, self.limits, now_ms)
        return state

    def _forget_removed(self):
        """Forget the organisations that the configuration does not limit any more."""
        config = self._routing.config
        organisations = config.organisations if config else {}
        for name, state in list(self._states.items()):
            organisation = organisations.get(name)
            is_limited = organisation is not None and organisation.rate_per_s > 0
            if not is_limited and not state.waiting:
                del self._states[name]

    # Figures for operators.

    def n_tokens(self, now_ms):
        """Return the number of tokens that this VM may spend or lease."""
        return sum(state.n_tokens(now_ms) for state in self._states.values())

    def n_lent(self, now_ms):
        """Return the number of tokens that other VMs may hold of this one's."""
        return sum(
            state.bucket.n_lent(now_ms)
            for state in self._states.values()
            if state.bucket is not None
        )
