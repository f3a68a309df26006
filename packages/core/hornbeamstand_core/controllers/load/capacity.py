"""The capacity of one service's targets, as one entry VM sees it.

The controller counts the requests in flight, selects a target for each request,
lets requests wait within their latency objective and refuses those that can't be
served. The slots of all sends are granted in one place, ``outcomes.grant``.
"""

from ...edge_messages import FIRST, HEDGE
from ...messages import SendFailure
from ...room_messages import LeavingRules
from ..domains.room import Leaving
from ..rollouts.canary_choice import acquire_canary
from ..rollouts.versions import ServiceVersions
from ..targets.learning import learn
from ..targets.load_probing import request_probes, targets_to_probe
from ..targets.notice_sharing import bounded_notice, share_notices
from .fast_latency import FastLatency, late_reason
from .kind_latencies import KindLatencies
from .outcomes import grant, refuse
from .placing import (
    SLOW,
    eligible_targets,
    is_beyond_knee,
    send_cost,
    speed_class,
)
from .retry_window import RetryWindow
from .returning_callers import ReturningCallers
from .target_choice import choose_target
from .wait_order import QueueShares
from .waiting import drain, enqueue, withdraw

# Typical slowdown of a service's targets that is assumed until they have reported
# their own.
SLOWDOWN_PRIOR = 1.5
# Share of a target's cold start rate that a VM uses if it is not the owner of the
# service, and that all such VMs use together.
NON_OWNER_COLD_SHARE = 0.15
NON_OWNERS_COLD_SHARE = 0.5
# Share of the usable slots in flight at which no more hedges are sent, because a hedge
# would take its slot from other requests.
HEDGE_LOAD_MAX = 0.75
# Slowdown that is assumed of a target that does not answer a load probe.
UNANSWERED_SLOWDOWN = 6.0


class ServiceCapacity:
    """Decides for one service which request is sent to which target, and when.

    Parameters
    ----------
    name : str
        The service.
    local_domain : str
        This VM's failure domain.
    rng : Random
        Spreads the retry delays of refused callers.
    retry_limits : RetryLimits
        Limits of the retries and hedges over all VMs.
    owns : callable
        Takes a service's name, a failure domain and the local time, and returns
        whether this VM is the owner that counts the requests to the service's
        targets in that domain.
    count_vms : callable
        Returns the number of entry VMs over all failure domains.
    list_other_owners : callable
        Takes a service's name and the local time, and returns the addresses of the
        other VMs that own the service, at most one in each failure domain.
    leaving_rules : LeavingRules, optional
        What it costs to send a request to another failure domain.

    ``rules`` are the service's ServiceRules, or None if the configuration lacks the
    service. ``targets`` maps target ids to DiscoveredTargets, and ``waiting`` holds the
    WaitingRequests in the order of their arrival. ``shares`` are what priorities and
    organisations were served of late, and ``returning`` the refused callers that are
    due to return. ``retry_window`` counts first sends and retries.

    ``mean_ms`` is the moving average of the latencies of successful sends to targets
    that are not in cold start, or None before the first. ``kind_latencies`` is that of
    each kind of request, and ``fast_latency`` estimates a latency that few requests
    fall below. ``typical_slowdown`` is the moving average of the slowdowns that targets
    report with their responses.

    ``out_of_service_domains`` are the failure domains whose targets get no requests,
    and ``leaving`` decides how many requests leave this one. While
    ``is_awaiting_targets`` is set, the targets have not been read from the store yet,
    and requests wait for them. ``versions`` are the ServiceVersions, which tell the
    targets that may get requests, and ``n_sent`` counts the slots that were granted.
    """

    __slots__ = (
        "name",
        "local_domain",
        "rules",
        "targets",
        "waiting",
        "shares",
        "returning",
        "retry_window",
        "retry_limits",
        "mean_ms",
        "kind_latencies",
        "fast_latency",
        "typical_slowdown",
        "out_of_service_domains",
        "is_awaiting_targets",
        "leaving",
        "versions",
        "n_sent",
        "rng",
        "_owns",
        "_count_vms",
        "_list_other_owners",
    )

    def __init__(
        self,
        name,
        local_domain,
        rng,
        retry_limits,
        owns,
        count_vms,
        list_other_owners,
        leaving_rules=None,
    ):
        self.name = name
        self.local_domain = local_domain
        self.rules = None
        self.targets = {}
        self.waiting = []
        self.shares = QueueShares()
        self.returning = ReturningCallers()
        self.retry_window = RetryWindow(
            retry_limits.ratio, retry_limits.slack, retry_limits.window_ms
        )
        self.retry_limits = retry_limits
        self.mean_ms = None
        self.kind_latencies = KindLatencies()
        self.fast_latency = FastLatency()
        self.typical_slowdown = SLOWDOWN_PRIOR
        self.out_of_service_domains = frozenset()
        self.is_awaiting_targets = False
        self.leaving = Leaving(leaving_rules or LeavingRules())
        self.versions = ServiceVersions(self.targets)
        self.n_sent = 0
        self.rng = rng
        self._owns = owns
        self._count_vms = count_vms
        self._list_other_owners = list_other_owners

    def adopt_retry_limits(self, retry_limits):
        """Replace the limits of retries; the sends counted so far still count."""
        self.retry_limits = retry_limits
        self.retry_window.adopt(
            retry_limits.ratio, retry_limits.slack, retry_limits.window_ms
        )

    # Requests.

    def acquire(self, message, now_ms):
        """Grant a slot, ask for load probes, let the request wait, or refuse it.

        Returns the messages to send: the reply, unless the request waits, and the
        decisions for the log.
        """
        reason = late_reason(message, self.fast_latency, now_ms)
        if reason:
            return refuse(self, message, reason, now_ms)
        if message.kind != FIRST:
            return self._acquire_retry(message, now_ms)
        if message.n_probe_rounds == 0:
            self.retry_window.note_first(now_ms)
            self.shares.note_asked(message, now_ms)
        canary = acquire_canary(self, message, now_ms)
        if canary is not None:
            return canary
        if self.waiting:
            return enqueue(self, message, now_ms)
        eligible = self.eligible_targets(message, now_ms)
        to_probe = targets_to_probe(self, eligible, message, now_ms)
        if to_probe:
            return request_probes(self, message, to_probe)
        target = choose_target(self, eligible, message, now_ms)
        if target is None or speed_class(target, now_ms) == SLOW:
            return enqueue(self, message, now_ms)
        return grant(self, message, target, now_ms)

    def _acquire_retry(self, message, now_ms):
        window = self.retry_window
        n_left = window.n_left_for_hedges if message.kind == HEDGE else window.n_left
        if n_left(self.retry_limits.n_owners, self._count_vms(), now_ms) < 1.0:
            return refuse(self, message, "retry budget spent", now_ms)
        if message.kind == HEDGE and self._is_busy(now_ms):
            return refuse(self, message, "no capacity for a second send", now_ms)
        eligible = self.eligible_targets(message, now_ms)
        to_probe = targets_to_probe(self, eligible, message, now_ms)
        if to_probe:
            return request_probes(self, message, to_probe)
        target = choose_target(self, eligible, message, now_ms)
        if target is None:
            return refuse(self, message, "no free target", now_ms)
        if message.kind == HEDGE and speed_class(target, now_ms) == SLOW:
            return refuse(self, message, "no fast target", now_ms)
        if message.kind == HEDGE and is_beyond_knee(target, now_ms):
            return refuse(self, message, "no capacity for a second send", now_ms)
        self.retry_window.note_retry(now_ms)
        return grant(self, message, target, now_ms)

    def _is_busy(self, now_ms):
        """Return whether a hedge would take its slot from other requests."""
        if self.waiting:
            return True
        n_slots = n_in_flight = 0
        for target in self.usable_targets(now_ms):
            if now_ms >= target.ejected_until_ms:
                n_slots += target.n_usable_slots
                n_in_flight += target.n_in_flight(now_ms)
        return n_in_flight >= HEDGE_LOAD_MAX * n_slots

    def note_owner(self, now_ms):
        """Record in the retry window whether this VM is the owner in its own domain."""
        is_owner = self._owns(self.name, self.local_domain, now_ms)
        self.retry_window.note_owner(is_owner, now_ms)

    def offered_targets(self):
        """Iterate over the targets that requests may be sent to, apart from pauses.

        They don't leave, and their domain and version are in service.
        """
        return (
            target
            for target in self.targets.values()
            if target.is_offered
            and target.entry.failure_domain not in self.out_of_service_domains
            and self.versions.allows(target)
        )

    def usable_targets(self, now_ms):
        """Return the offered targets that take new requests of this VM now."""
        return [
            target
            for target in self.offered_targets()
            if now_ms >= target.paused_until_ms
        ]

    def eligible_targets(self, message, now_ms):
        """Return the targets that a request can be sent to now."""
        return eligible_targets(
            self.usable_targets(now_ms),
            message.excluded_ids,
            self.is_within_cold_rate,
            now_ms,
        )

    def is_near(self, target):
        """Return whether a target is in this VM's failure domain."""
        return target.entry.failure_domain == self.local_domain

    def nearest(self, targets):
        """Return the targets of this failure domain, or all if there is none here."""
        return [target for target in targets if self.is_near(target)] or targets

    def n_room(self, target, now_ms):
        """Return the number of slots of a target that this VM's requests may take."""
        if self.is_near(target):
            return target.n_room(now_ms)
        return self.leaving.n_room(target, now_ms)

    def cost(self, target, now_ms):
        """Return the cost of one more request at a target; see ``send_cost``."""
        return send_cost(target, self.typical_slowdown, self.mean_ms, now_ms)

    def is_within_cold_rate(self, target, now_ms):
        """Return whether a target in cold start bears one more request of this VM."""
        if not target.is_cold(now_ms):
            return True
        rate = self.rules.cold_rate_per_s if self.rules else 1.0
        if not self._owns(self.name, target.entry.failure_domain, now_ms):
            all_share = NON_OWNERS_COLD_SHARE / self._count_vms()
            rate *= min(NON_OWNER_COLD_SHARE, all_share)
        return target.n_recent_sent(now_ms) + 1 <= rate

    # Load probes.

    def note_load(self, message, now_ms):
        """Update a target from the result of a load probe.

        One of another start of the target is left out; see ``has_start``. Returns the
        messages of the waiting requests that can be served now.
        """
        if not self.has_start(message.target_id, message.started_wall_ms):
            return []
        target = self.targets[message.target_id]
        if not message.is_answered:
            # A target that reports no load may let a probe wait for a slot.
            if target.may_report:
                target.slowdown = UNANSWERED_SLOWDOWN
                target.slowdown_at_ms = now_ms
            return []
        target.checked_at_ms = now_ms
        if message.report is None:
            target.note_no_load()
        else:
            target.note_load(message.report, 0, now_ms)
        out = []
        if message.notice is not None:
            out += self.hear_notice(target, message.notice, now_ms)
        return out + self._drain_waiting(now_ms)

    # Notices.

    def hear_notice(self, target, notice, now_ms):
        """Apply the notice of an answer that came from the target itself.

        Returns state changes for the log and messages to the other owners.
        """
        out = target.take_notice(notice, now_ms)
        if not target.shared_notices.is_due(target, now_ms):
            return out
        owner_ips = self._list_other_owners(self.name, now_ms)
        return out + share_notices(target, owner_ips, now_ms)

    def has_start(self, target_id, started_wall_ms):
        """Return whether a start of a target is held; None stands for any start."""
        target = self.targets.get(target_id)
        if target is None:
            return False
        return started_wall_ms in (None, target.entry.started_wall_ms)

    def take_relayed_notice(self, message, now_ms):
        """Apply a NoticeRelayed to its target; serve or refuse the waiting requests.

        A notice of another start of the target is left out; see ``has_start``. Returns
        state changes for the log and the messages of these requests.
        """
        if not self.has_start(message.target_id, message.started_wall_ms):
            return []
        target = self.targets[message.target_id]
        out = target.take_notice(bounded_notice(message.notice), now_ms)
        target.shared_notices.note_shared(target)
        return out + self._drain_waiting(now_ms)

    def _drain_waiting(self, now_ms):
        return self.drain(now_ms) if self.waiting else []

    # Waiting.

    def withdraw(self, request_id, now_ms):
        """Refuse a waiting request whose caller has disconnected."""
        return withdraw(self, request_id, now_ms)

    def drain(self, now_ms):
        """Serve or refuse waiting requests; see ``waiting.drain``."""
        return drain(self, now_ms)

    # Ends of sends.

    def release(self, message, now_ms):
        """Return the slot of a send that ended and learn from its result.

        Returns the decisions for the log and the messages of the waiting requests
        that can be served now.
        """
        permit = message.permit
        judged = self.versions.note_end(message, now_ms)
        target = self.targets.get(permit.target_id)
        if target is None:
            return judged + self.drain(now_ms)
        result = message.result
        is_aborted = isinstance(result, SendFailure) and result.may_have_run
        started_at_ms = target.end(permit.request_id, is_aborted, now_ms)
        if started_at_ms is None:
            return judged
        latency_ms = now_ms - started_at_ms
        out = learn(self, target, result, latency_ms, now_ms)
        if not target.is_cold(now_ms):
            self.kind_latencies.note(permit, result, latency_ms)
        return judged + out + self.drain(now_ms)
