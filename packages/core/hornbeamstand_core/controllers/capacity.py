"""The controller of one service's targets at one entry VM.

Counts what is in flight, chooses a target for each request, lets requests wait
within their latency objective and refuses what can't be served. Every send goes
through ``_grant``.
"""

from ..balancer_messages import Decision, Granted
from ..edge_messages import FIRST, HEDGE, LookFirst
from ..messages import (
    CANCELLED,
    CONNECT_FAILED,
    NOT_RUN,
    STATUS_ERROR,
    Permit,
    Refusal,
    SendFailure,
)
from .placing import send_cost
from .retry_window import RetryWindow

MEAN_WEIGHT = 0.05
SPEED_WEIGHT = 0.02
# Until the first answers, targets are taken to be this much slower than usual.
SPEED_PRIOR = 1.5
# A target that shed a request gets no other for this long.
FULL_MS = 60.0
# Share of the objective that a request may wait if it would be late anyway.
LATE_WAIT_SHARE = 0.25
# A request is worth waiting for if this many times the mean is left after it.
FINISH_FACTOR = 1.2
# A joined target that got nothing for this long gets the next request.
UNUSED_MS = 1500.0
# Share of the cold start rate that a VM uses which is not the owner.
OTHER_COLD_SHARE = 0.15
# A refused caller comes back after the expected wait, spread by this share.
RETRY_AFTER_MIN_MS = 80.0
RETRY_AFTER_MAX_MS = 2000.0
RETRY_AFTER_SPREAD = 0.6
# How long a service without any target is expected to stay so.
NO_TARGET_RETRY_MS = 400.0
MISDIRECTED_STATUS = 421
# A target that answered "not me" is another one; its entry will change.
MISDIRECTED_MS = 2500.0
# A speed figure older than this is worth a look.
LOOK_AGE_MS = 40.0
# So many targets are looked at at once, and so often for one send.
N_LOOKED = 3
N_LOOKS_MAX = 2
# Up to this factor a target counts as fast.
FAST_SPEED = 1.2
# A target that does not answer a look is taken to be this slow.
UNANSWERED_SPEED = 6.0


class Waiting:
    """One request that waits for a slot."""

    __slots__ = ("message", "since_ms", "until_ms")

    def __init__(self, message, since_ms, until_ms):
        self.message = message
        self.since_ms = since_ms
        self.until_ms = until_ms


class ServiceCapacity:
    """Decide for one service which request goes to which target, and when.

    Parameters
    ----------
    name : str
        The service.
    home_domain : str
        This VM's failure domain.
    rng : Random
        Spreads refused callers.
    bounds : RepeatBounds
        Limits of repeated sends over all VMs.
    owns : callable
        Tells whether this VM counts the requests to a service's targets in a
        failure domain.
    """

    __slots__ = (
        "name",
        "home_domain",
        "rules",
        "targets",
        "waiting",
        "repeats",
        "bounds",
        "mean_ms",
        "usual_speed",
        "out_domains",
        "_rng",
        "_owns",
    )

    def __init__(self, name, home_domain, rng, bounds, owns):
        self.name = name
        self.home_domain = home_domain
        self.rules = None
        self.targets = {}
        self.waiting = []
        self.repeats = RetryWindow(bounds.ratio, bounds.slack, bounds.window_ms)
        self.bounds = bounds
        self.mean_ms = None
        self.usual_speed = SPEED_PRIOR
        self.out_domains = frozenset()
        self._rng = rng
        self._owns = owns

    # Requests.

    def acquire(self, message, now_ms):
        """Grant a slot, let the request wait, or refuse; returns messages."""
        if message.kind != FIRST:
            return self._acquire_repeat(message, now_ms)
        if message.n_looks == 0:
            self.repeats.note_first(now_ms)
        target = None if self.waiting else self._find(message, now_ms)
        if target is not None:
            doubtful = self._find_doubtful(message, target, now_ms)
            if doubtful:
                return self._look_first(message, doubtful)
            return self._grant(message, target, now_ms)
        return self._wait(message, now_ms)

    def _acquire_repeat(self, message, now_ms):
        if self.repeats.n_left(self.bounds.n_owners, now_ms) < 1.0:
            return self._refuse(message, "retry budget spent", now_ms)
        target = self._find(message, now_ms)
        if target is None:
            return self._refuse(message, "no free target", now_ms)
        if message.kind == HEDGE and self.waiting:
            return self._refuse(message, "others wait", now_ms)
        doubtful = self._find_doubtful(message, target, now_ms)
        if doubtful:
            return self._look_first(message, doubtful)
        self.repeats.note_repeat(now_ms)
        return self._grant(message, target, now_ms)

    def note_owner(self, now_ms):
        """Follow whether this VM counts the requests of its own domain."""
        is_owner = self._owns(self.name, self.home_domain, now_ms)
        self.repeats.note_owner(is_owner, now_ms)

    def usable(self, now_ms):
        """Return the targets that may get new work at all."""
        return [
            target
            for target in self.targets.values()
            if target.is_open and target.entry.failure_domain not in self.out_domains
        ]

    def _fit(self, message, now_ms):
        """Return the targets with room for a request, failing ones included."""
        return [
            target
            for target in self.usable(now_ms)
            if target.entry.target_id not in message.excluded_ids
            and target.n_free(now_ms) > 0
            and self._bears_cold(target, now_ms)
        ]

    def _sound(self, message, now_ms):
        """Return the targets with room that are not ejected.

        Failing ones are all that is left if every target is ejected; otherwise
        a slot of a sound target soon is better than one of those now.
        """
        fit = self._fit(message, now_ms)
        sound = [target for target in fit if now_ms >= target.ejected_until_ms]
        if sound:
            return sound
        usable = self.usable(now_ms)
        if any(now_ms >= target.ejected_until_ms for target in usable):
            return []
        return fit

    def _find(self, message, now_ms):
        sound = self._sound(message, now_ms)
        if not sound:
            return None
        unused = self._find_unused(sound, message, now_ms)
        if unused is not None:
            return unused
        return min(sound, key=lambda target: self._cost(target, now_ms))

    def _cost(self, target, now_ms):
        return send_cost(
            target, self.home_domain, self.usual_speed, self.mean_ms, now_ms
        )

    def _find_unused(self, sound, message, now_ms):
        if message.kind != FIRST:
            return None
        for target in sound:
            if target.n_sent == 0 and now_ms - target.sent_at_ms > UNUSED_MS:
                return target
        return None

    def _bears_cold(self, target, now_ms):
        if not target.is_cold(now_ms):
            return True
        rate = self.rules.cold_rate_per_s if self.rules else 1.0
        if not self._owns(self.name, target.entry.failure_domain, now_ms):
            rate *= OTHER_COLD_SHARE
        return target.n_cold_sent(now_ms) + 1 <= rate

    # Looks at targets whose speed is not known well enough.

    def _find_doubtful(self, message, chosen, now_ms):
        """Return the targets to ask for their load before the choice is final.

        A request takes as long as its target's speed at its start makes it, so
        that a figure from a moment ago is worth its price.
        """
        if message.n_looks >= N_LOOKS_MAX or chosen.speed is None:
            return []
        if is_known_fast(chosen, now_ms):
            return []
        stale = [
            target
            for target in self._sound(message, now_ms)
            if target.speed is not None and now_ms - target.speed_at_ms > LOOK_AGE_MS
        ]
        stale.sort(key=lambda target: self._cost(target, now_ms))
        return stale[:N_LOOKED]

    def _look_first(self, message, targets):
        path = self.rules.health_path if self.rules else "/health"
        pairs = [(item.entry.target_id, item.entry.address) for item in targets]
        return [Granted(message.request_id, LookFirst(self.name, path, pairs))]

    def note_load(self, message, now_ms):
        """Take a target's answer to a look."""
        target = self.targets.get(message.target_id)
        if target is None:
            return
        if message.report is None:
            target.speed = UNANSWERED_SPEED
            target.speed_at_ms = now_ms
            return
        target.note_load(message.report, now_ms)

    def _grant(self, message, target, now_ms):
        target.start(message.dispatch_id, now_ms)
        entry = target.entry
        permit = Permit(
            self.name,
            entry.target_id,
            entry.address,
            message.dispatch_id,
            now_ms,
            is_known_fast(target, now_ms),
        )
        speed_age_ms = int(now_ms - target.speed_at_ms)
        detail = (
            f"{message.kind} in_flight={len(target.started_at_ms)}/{entry.n_slots}"
            f" speed={target.speed} age_ms={speed_age_ms}"
        )
        return [
            Granted(message.request_id, permit),
            Decision(self.name, message.request_id, "send", entry.target_id, detail),
        ]

    def _refuse(self, message, reason, now_ms):
        retry_ms = self._retry_after_ms(now_ms)
        refusal = Refusal(reason, NOT_RUN, 503, "choose", self.name, retry_ms)
        action = "refuse" if message.kind == FIRST else "no repeat"
        return [
            Granted(message.request_id, refusal),
            Decision(self.name, message.request_id, action, "", reason),
        ]

    def _retry_after_ms(self, now_ms):
        wait_ms = self.expected_wait_ms(now_ms)
        if wait_ms == float("inf"):
            wait_ms = NO_TARGET_RETRY_MS
        spread = 1.0 + RETRY_AFTER_SPREAD * self._rng.random()
        return min(RETRY_AFTER_MAX_MS, max(RETRY_AFTER_MIN_MS, wait_ms) * spread)

    # Waiting.

    def expected_wait_ms(self, now_ms):
        """Return the wait that a request which came now could expect."""
        n_slots = 0
        for target in self.usable(now_ms):
            if now_ms >= target.ejected_until_ms:
                n_slots += target.entry.n_slots
        if n_slots == 0:
            return float("inf")
        return (self.mean_ms or 0.0) * (len(self.waiting) + 1) / n_slots

    def _wait_max_ms(self, message, now_ms):
        finish_ms = FINISH_FACTOR * (self.mean_ms or 0.0)
        in_time_ms = message.objective_at_ms - now_ms - finish_ms
        late_ms = LATE_WAIT_SHARE * (message.deadline_at_ms - now_ms - finish_ms)
        return max(in_time_ms, late_ms)

    def _wait(self, message, now_ms):
        wait_max_ms = self._wait_max_ms(message, now_ms)
        expected_ms = self.expected_wait_ms(now_ms)
        if expected_ms == float("inf"):
            return self._refuse(message, "no target", now_ms)
        if expected_ms > wait_max_ms:
            return self._refuse(message, "wait exceeds objective", now_ms)
        waiting = Waiting(message, now_ms, now_ms + wait_max_ms)
        self.waiting.append(waiting)
        self.waiting.sort(key=lambda item: (item.message.priority, item.since_ms))
        return [Decision(self.name, message.request_id, "wait", "", "no free slot")]

    def withdraw(self, request_id, now_ms):
        """Take a request out of the queue; its caller is gone."""
        for waiting in self.waiting:
            if waiting.message.request_id == request_id:
                self.waiting.remove(waiting)
                return self._refuse(waiting.message, CANCELLED, now_ms)
        return []

    def drain(self, now_ms):
        """Serve waiting requests as far as there is room; returns messages."""
        out = []
        for waiting in list(self.waiting):
            if now_ms >= waiting.until_ms:
                self.waiting.remove(waiting)
                out += self._refuse(waiting.message, "waited too long", now_ms)
                continue
            target = self._find(waiting.message, now_ms)
            if target is not None:
                self.waiting.remove(waiting)
                out += self._grant(waiting.message, target, now_ms)
        return out

    # Learning.

    def release(self, message, now_ms):
        """Take a permit back and learn from its result; returns messages."""
        permit = message.permit
        target = self.targets.get(permit.target_id)
        if target is None:
            return self.drain(now_ms)
        result = message.result
        is_failure = isinstance(result, SendFailure)
        is_aborted = is_failure and result.may_have_run
        started_at_ms = target.end(permit.request_id, is_aborted, now_ms)
        if started_at_ms is None:
            return []
        latency_ms = now_ms - started_at_ms
        if is_failure:
            out = self._learn_failure(target, result, latency_ms, now_ms)
        else:
            out = self._learn_reply(target, result, latency_ms, now_ms)
        return out + self.drain(now_ms)

    def _learn_failure(self, target, failure, latency_ms, now_ms):
        if failure.kind == CANCELLED:
            self._learn_aborted(target, latency_ms, now_ms)
            return []
        is_certain = failure.kind == CONNECT_FAILED
        if not is_certain:
            target.note_error(True, now_ms)
        if target.note_failure(now_ms, is_certain):
            return [self._ejected(target, failure.kind)]
        return []

    def _learn_aborted(self, target, latency_ms, now_ms):
        # A lost hedge is a lower bound of what the target would have taken.
        if self.mean_ms and latency_ms > self.mean_ms:
            target.note_ratio(latency_ms / self.mean_ms, now_ms)

    def _ejected(self, target, reason):
        detail = f"{reason} for_ms={int(target.ejection_ms)}"
        return Decision(self.name, "", "eject", target.entry.target_id, detail)

    def _learn_reply(self, target, reply, latency_ms, now_ms):
        if reply.report is not None:
            target.note_load(reply.report, now_ms)
            self._learn_speed(reply.report)
        if reply.status == MISDIRECTED_STATUS:
            target.ejected_until_ms = now_ms + MISDIRECTED_MS
            return [self._ejected(target, "another target has the address")]
        if reply.did_not_run:
            target.full_until_ms = now_ms + FULL_MS
            return []
        if reply.status >= STATUS_ERROR:
            target.note_error(True, now_ms)
            if target.note_failure(now_ms):
                return [self._ejected(target, f"status {reply.status}")]
            return []
        target.note_good()
        target.note_error(False, now_ms)
        if not target.is_cold(now_ms):
            self._learn_latency(target, latency_ms, now_ms)
        return []

    def _learn_speed(self, report):
        if report.speed is not None:
            self.usual_speed += SPEED_WEIGHT * (report.speed - self.usual_speed)

    def _learn_latency(self, target, latency_ms, now_ms):
        if self.mean_ms is None:
            self.mean_ms = latency_ms
        target.note_ratio(latency_ms / max(1.0, self.mean_ms), now_ms)
        self.mean_ms += MEAN_WEIGHT * (latency_ms - self.mean_ms)


def is_known_fast(target, now_ms):
    """Tell whether a target said a moment ago that it works at its usual speed."""
    if target.speed is None or target.speed > FAST_SPEED:
        return False
    return now_ms - target.speed_at_ms <= LOOK_AGE_MS
