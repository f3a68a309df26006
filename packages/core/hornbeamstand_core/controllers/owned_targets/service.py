"""The controller of one service on one entry VM.

It keeps the in-flight counts of the targets that this VM owns, the queue of requests
that wait for them, and the budgets for retries and probes. Every dispatch goes through
``_grant``; nothing else adds to the requests in flight.
"""

from ...balancer_messages import CapacityReport, Decision, DeferredReply, SendProbe
from ...messages import NOT_RUN, ForwardTo, Permit, Refusal
from .baseline_latency import BaselineLatency
from .budgets import RateBudget, RatioBudget
from .cold_start import enter_cold
from .health import note_failure
from .peer_capacity import PeerCapacity
from .queueing import WaitQueue
from .results import learn_result, may_still_run, note_report
from .target_state import TargetState

# Minimum time that a request must have left when it is sent from the queue, as a
# multiple of the baseline latency. With less it would probably time out and waste its
# slot, so it is refused.
TIME_LEFT_MIN_FACTOR = 2.0
# Maximum share of a request's spare time that it may wait, where the spare time is the
# time left less the minimum above. A queue as long as the deadline allows would not
# serve more requests, and would serve each of them late.
WAIT_SHARE_MAX = 0.5
# Time after which a queue that never became empty indicates overload, not a burst.
STANDING_QUEUE_MS = 500.0
# Maximum wait of a request in such a standing queue, as a multiple of the baseline
# latency.
STANDING_WAIT_FACTOR = 4.0
# Maximum age of a target's last probe or latency sample, whichever is newer, before the
# target is probed again.
PROBE_IDLE_MS = 1000.0


class ServiceController:
    """Decides for one service which request goes to which target, and when.

    ``targets`` maps the ids of the targets that this VM owns to their TargetStates.
    ``fence_end_at_ms`` is the time on the local clock from which this VM may no longer
    dispatch to them. ``_reported_capacity`` holds, for each threshold of
    ``changed_capacity``, whether the last report exceeded it; it is None before the
    first report.

    Parameters
    ----------
    name : str
        Name of the service.
    spec : ServiceSpec
        Configuration of the service.
    member_id : str
        Id of this VM.
    choose, adjust_limit : callable
        Closures as made by the modules ``choice`` and ``limits``.
    hop_ms : float
        Expected one-way time from this VM to a peer.
    """

    __slots__ = (
        "name",
        "spec",
        "member_id",
        "targets",
        "queue",
        "peers",
        "baseline",
        "fence_end_at_ms",
        "retry_budget",
        "probe_budget",
        "adjust_limit",
        "_choose",
        "_reported_capacity",
    )

    def __init__(self, name, spec, member_id, choose, adjust_limit, hop_ms):
        self.name = name
        self.spec = spec
        self.member_id = member_id
        self.targets = {}
        self.queue = WaitQueue()
        self.peers = PeerCapacity(hop_ms)
        self.baseline = BaselineLatency()
        self.fence_end_at_ms = 0.0
        self.retry_budget = RatioBudget(spec.retry.budget_ratio)
        self.probe_budget = RateBudget(0.0, 0.0)
        self._choose = choose
        self.adjust_limit = adjust_limit
        self._reported_capacity = None

    # Ownership and configuration.

    def gain_target(self, target_id, is_open):
        """Start to own a target, in cold start, and return its state."""
        state = TargetState(target_id, self.spec.targets[target_id], is_open)
        enter_cold(state, self.spec.cold_start)
        self.targets[target_id] = state
        self._set_probe_rate()
        return state

    def lose_target(self, target_id):
        """Stop owning a target and return its last state."""
        state = self.targets.pop(target_id)
        self._set_probe_rate()
        return state

    def adopt_spec(self, spec, is_open):
        """Apply a new configuration to the targets already owned."""
        self.spec = spec
        self.retry_budget.ratio = spec.retry.budget_ratio
        for target_id, state in self.targets.items():
            old_address, was_open = state.spec.address, state.is_open
            state.spec = spec.targets[target_id]
            state.is_open = is_open(state.spec)
            # A new address is a new server. Like a reopened target, it starts cold.
            if old_address != state.spec.address or state.is_open > was_open:
                enter_cold(state, spec.cold_start)
            state.limit = min(state.limit, float(state.ceiling))
        self._set_probe_rate()

    def _set_probe_rate(self):
        share = len(self.targets) / max(1, len(self.spec.targets))
        self.probe_budget.rate_per_s = self.spec.probe.budget_per_s * share

    # Requests.

    def acquire(self, message, now_ms):
        """Grant a request a slot, forward, queue or refuse it; return messages."""
        if now_ms >= self.fence_end_at_ms:
            return self._forward_or_refuse(message, "lease lapsed", now_ms)
        if now_ms >= message.deadline_at_ms:
            return self._refuse(message, "deadline passed")
        state = self._find_target(message, now_ms)
        if state is not None and len(self.queue) == 0:
            return self._grant(message, state, now_ms)
        if message.may_forward:
            peer_id = self._find_peer(now_ms)
            if peer_id is not None:
                return self._forward(message, peer_id)
        return self._enqueue(message, now_ms)

    def _find_target(self, message, now_ms):
        free = [state for state in self.targets.values() if state.n_free(now_ms) > 0]
        if not free:
            return None
        untried = [s for s in free if s.target_id not in message.avoided_ids]
        return self._choose(untried or free, now_ms, self.baseline.mean_ms)

    def _find_peer(self, now_ms):
        wait_ms = self.expected_wait_ms(now_ms)
        if wait_ms <= 2 * self.peers.hop_ms:
            return None
        return self.peers.find_free() or self.peers.find_shorter_wait(wait_ms)

    def _forward_or_refuse(self, message, reason, now_ms):
        peer_id = self.peers.find_free() or self.peers.find_shorter_wait(float("inf"))
        if message.may_forward and peer_id is not None:
            return self._forward(message, peer_id)
        return self._refuse(message, reason)

    def _grant(self, message, state, now_ms):
        state.started_at_ms[message.request_id] = now_ms
        state.n_dispatched += 1
        if not message.is_retry:
            self.retry_budget.earn()
        permit = Permit(
            self.name,
            state.target_id,
            state.spec.address,
            message.request_id,
            now_ms,
        )
        return [
            DeferredReply(message.request_id, permit),
            Decision(self.name, message.request_id, "send", state.target_id),
        ]

    def _forward(self, message, peer_id):
        self.peers.count_forwarded(peer_id)
        return [
            DeferredReply(message.request_id, ForwardTo(peer_id)),
            Decision(self.name, message.request_id, "hand over", peer_id),
        ]

    def _refuse(self, message, reason):
        refusal = Refusal(reason, NOT_RUN, 503, "choose", self.name)
        return [
            DeferredReply(message.request_id, refusal),
            Decision(self.name, message.request_id, "refuse", "", reason),
        ]

    def _enqueue(self, message, now_ms):
        if len(self.queue) >= self.spec.queue_max:
            return self._refuse(message, "queue full")
        left_ms = message.deadline_at_ms - now_ms - self._time_left_min_ms()
        wait_max_ms = WAIT_SHARE_MAX * left_ms
        if self.queue.standing_ms(now_ms) > STANDING_QUEUE_MS:
            standing_max_ms = STANDING_WAIT_FACTOR * self.baseline.mean_or_zero_ms()
            wait_max_ms = min(wait_max_ms, standing_max_ms)
        if self.expected_wait_ms(now_ms) > wait_max_ms:
            return self._refuse(message, "wait exceeds deadline")
        self.queue.add(message, now_ms)
        return [Decision(self.name, message.request_id, "wait", "")]

    def withdraw(self, message, now_ms):
        """Remove the queued request of a disconnected caller; return messages."""
        waiting = self.queue.remove(message.request_id)
        if waiting is None:
            return []
        return self._refuse(waiting.acquire, "caller gone")

    def release(self, message, now_ms):
        """End a request in flight and learn from its result; return messages."""
        permit = message.permit
        state = self.targets.get(permit.target_id)
        if state is None:
            return []
        is_abandoned = may_still_run(message.result)
        if not state.end_request(permit.request_id, is_abandoned, now_ms):
            return []
        latency_ms = now_ms - permit.granted_at_ms
        learn_result(self, state, message.result, latency_ms, now_ms)
        return self.drain(now_ms)

    def drain(self, now_ms):
        """Expire, serve or forward queued requests while possible; return messages."""
        out = []
        for waiting in self.queue.take_expired(now_ms):
            out += self._refuse(waiting.acquire, "deadline passed")
        if now_ms >= self.fence_end_at_ms:
            return out + self._flush_queue(now_ms)
        for waiting in self.queue:
            served = self._serve(waiting.acquire, now_ms)
            if served is None:
                break
            out += served
        return out

    def _is_too_late(self, message, now_ms):
        """Return whether a request is too near its deadline to be sent."""
        return now_ms + self._time_left_min_ms() > message.deadline_at_ms

    def _time_left_min_ms(self):
        return TIME_LEFT_MIN_FACTOR * self.baseline.mean_or_zero_ms()

    def _serve(self, message, now_ms):
        """Return the messages that end a request's wait, or None if it waits on."""
        if self._is_too_late(message, now_ms):
            self.queue.remove(message.request_id)
            return self._refuse(message, "wait exceeds deadline")
        state = self._find_target(message, now_ms)
        if state is not None:
            self.queue.remove(message.request_id)
            return self._grant(message, state, now_ms)
        peer_id = self.peers.find_free()
        if not message.may_forward or peer_id is None:
            return None
        self.queue.remove(message.request_id)
        return self._forward(message, peer_id)

    def _flush_queue(self, now_ms):
        out = []
        for waiting in self.queue:
            self.queue.remove(waiting.acquire.request_id)
            out += self._forward_or_refuse(waiting.acquire, "lease lapsed", now_ms)
        return out

    # Estimates and capacity reports.

    def n_free(self, now_ms):
        """Return the number of free slots of the owned targets."""
        if now_ms >= self.fence_end_at_ms:
            return 0
        return sum(state.n_free(now_ms) for state in self.targets.values())

    def expected_wait_ms(self, now_ms):
        """Return the expected wait of a request that is queued now."""
        baseline_ms = self.baseline.mean_or_zero_ms()
        n_slots = 0
        for state in self.targets.values():
            if state.is_open and now_ms >= state.ejected_until_ms:
                n_slots += int(state.limit)
        if n_slots == 0:
            return float("inf")
        return baseline_ms * (len(self.queue) + 1) / n_slots

    def capacity_report(self, now_ms):
        """Return this VM's free capacity, as reported to its peers."""
        n_free = self.n_free(now_ms)
        wait_ms = 0.0 if n_free else self.expected_wait_ms(now_ms)
        return CapacityReport(
            self.name, self.member_id, n_free, len(self.queue), wait_ms
        )

    def changed_capacity(self, now_ms):
        """Return a list with a capacity report if peers need a new one.

        They need one if the number of free slots has passed one of the thresholds 0 and
        2, up or down, since the last report.
        """
        report = self.capacity_report(now_ms)
        levels = (report.n_free > 0, report.n_free > 2)
        if levels == self._reported_capacity:
            return []
        self._reported_capacity = levels
        return [report]

    # Probes.

    def find_probe(self, now_ms):
        """Return a list with the probe that is due and within the budget, if any."""
        candidates = [s for s in self.targets.values() if self._needs_probe(s, now_ms)]
        if not candidates:
            return []
        state = min(candidates, key=lambda s: max(s.probed_at_ms, s.sampled_at_ms))
        if not self.probe_budget.take(now_ms):
            return []
        state.probed_at_ms = now_ms
        state.is_probing = True
        path = self.spec.probe.path
        return [SendProbe(self.name, state.target_id, state.spec.address, path)]

    def _needs_probe(self, state, now_ms):
        if state.is_probing or not state.is_open:
            return False
        last_ms = max(state.probed_at_ms, state.sampled_at_ms)
        return now_ms - last_ms > PROBE_IDLE_MS

    def note_probe(self, message, now_ms):
        """Update a target from a probe's result; return messages.

        An answer to the probe ends an ejection of the target.
        """
        state = self.targets.get(message.target_id)
        if state is None:
            return []
        state.is_probing = False
        if message.report is None:
            note_failure(state, now_ms, self.spec.cold_start)
            return []
        sent_at_ms = now_ms - message.latency_ms
        rules = self.spec.cold_start
        note_report(state, message.report, rules, sent_at_ms, now_ms)
        if now_ms < state.ejected_until_ms:
            state.ejected_until_ms = now_ms
        return self.drain(now_ms)
