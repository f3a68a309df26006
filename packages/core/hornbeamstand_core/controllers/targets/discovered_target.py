"""The state of one target from service discovery, as one entry VM sees it."""

from collections import deque
from math import exp

from ...edge_messages import StateChange
from ..load.placing import SLOW_SLOWDOWN_MIN, slots_below_knee, usable_slots
from .notice_sharing import SharedNotices

# Time constant of the exponential decay of a slowdown figure towards the service's
# typical slowdown.
SLOWDOWN_DECAY_MS = 250.0
# Time constant of the exponential decay of the latency ratio towards 1.
LATENCY_RATIO_DECAY_MS = 6000.0
# Weight of a new latency in the latency ratio.
LATENCY_RATIO_WEIGHT = 0.3
# Maximum ratio that one latency counts as.
LATENCY_RATIO_MAX = 10.0
# Weight of a new result in the share of errors.
ERROR_WEIGHT = 0.25
# Time constant of the exponential decay of the share of errors.
ERROR_DECAY_MS = 8000.0
# Time for which the requests of other VMs in a load report are counted.
OTHERS_MAX_AGE_MS = 200.0
# Duration of a target's first ejection. It doubles with each further ejection until a
# send succeeds.
EJECTION_MIN_MS = 600.0
# Maximum duration of an ejection.
EJECTION_MAX_MS = 6000.0
# Number of failures in a row that eject a target that can be reached.
N_FAILURES_TO_EJECT = 2
# Time for which an aborted request still takes a slot, until its target has noticed
# the abort.
ABORT_LINGER_MS = 30.0
# Maximum time between two reports of one slow phase. Targets are probed more often
# while requests wait for them.
SLOW_REPORTS_GAP_MAX_MS = 150.0
# Time after which a new target that was never sent a request gets the next one.
UNUSED_MS = 1500.0
# Length of the window in which the sends to a target are counted for its cold start.
COLD_WINDOW_MS = 1000.0


class DiscoveredTarget:
    """The load, slowdown and recent failures of one start of one target.

    ``is_open`` is set while its entry offers it, and ``is_leaving`` once it has said
    that it leaves. It wants no requests of this VM until ``paused_until_ms``.
    ``ignored_notice`` is the last value of a notice that could not be used,
    ``shared_notices`` what the owners of its service were told, and
    ``checked_at_ms`` the time of the last probe for a cold start. ``started_at_ms``
    maps the dispatch id of each send in flight to its start, and ``lingering_until_ms``
    holds the times until which aborted requests still take a slot. ``may_report`` is
    False for a target that is known not to report its slowdown. ``slowdown`` is its
    work time divided by its usual one as last reported, or None, and ``slow_since_ms``
    the time of the first report of a slow phase that lasts; ``latency_ratio`` is
    the moving average of its latencies divided by the service's mean, and
    ``error_share`` that of its results, where an error counts as 1 and a success as 0.
    ``n_others`` is the number of requests of other VMs at the target at
    ``others_at_ms``. Other owners may take ``n_lent`` slots until ``lent_until_ms``.
    Until ``full_until_ms`` the target counts as full.
    ``recent_sent_at_ms`` holds the times of the last second's sends. ``sent_at_ms`` is
    the time of the last send, or at first that at which this VM learned of the target.
    ``ejection_ms`` is the duration of the last ejection for failures, or 0 after a
    success. ``n_usable_slots`` is the number of slots that are used at most, and
    ``n_slots_below_knee`` of those that slow nothing down; see ``placing``.
    """

    __slots__ = (
        "entry",
        "is_open",
        "is_leaving",
        "paused_until_ms",
        "ignored_notice",
        "shared_notices",
        "checked_at_ms",
        "started_at_ms",
        "lingering_until_ms",
        "may_report",
        "slowdown",
        "slowdown_at_ms",
        "slow_since_ms",
        "latency_ratio",
        "latency_ratio_at_ms",
        "error_share",
        "error_at_ms",
        "n_others",
        "others_at_ms",
        "n_lent",
        "lent_until_ms",
        "n_failures_in_row",
        "ejected_until_ms",
        "ejection_ms",
        "full_until_ms",
        "cold_until_ms",
        "recent_sent_at_ms",
        "sent_at_ms",
        "probed_at_ms",
        "n_usable_slots",
        "n_slots_below_knee",
        "n_sent",
    )

    def __init__(self, entry, now_ms):
        self.entry = entry
        self.is_open = True
        self.is_leaving = False
        self.paused_until_ms = float("-inf")
        self.ignored_notice = ""
        self.shared_notices = SharedNotices()
        self.checked_at_ms = now_ms
        self.started_at_ms = {}
        self.lingering_until_ms = deque()
        self.may_report = True
        self.slowdown = None
        self.slowdown_at_ms = now_ms
        self.slow_since_ms = now_ms
        self.latency_ratio = 1.0
        self.latency_ratio_at_ms = now_ms
        self.error_share = 0.0
        self.error_at_ms = now_ms
        self.n_others = 0
        self.others_at_ms = float("-inf")
        self.n_lent = 0
        self.lent_until_ms = float("-inf")
        self.n_failures_in_row = 0
        self.ejected_until_ms = float("-inf")
        self.ejection_ms = 0.0
        self.full_until_ms = float("-inf")
        self.cold_until_ms = float("-inf")
        self.recent_sent_at_ms = deque()
        self.sent_at_ms = now_ms
        self.probed_at_ms = float("-inf")
        self.n_usable_slots = usable_slots(entry.n_slots)
        self.n_slots_below_knee = slots_below_knee(entry.n_slots)
        self.n_sent = 0

    # Counts.

    def n_in_flight(self, now_ms):
        """Return the number of requests at the target, those of other VMs included."""
        while self.lingering_until_ms and self.lingering_until_ms[0] <= now_ms:
            self.lingering_until_ms.popleft()
        n_own = len(self.started_at_ms) + len(self.lingering_until_ms)
        return n_own + self._n_others_now(now_ms)

    def _n_others_now(self, now_ms):
        n_lent = self.n_lent if now_ms < self.lent_until_ms else 0
        is_recent = now_ms - self.others_at_ms < OTHERS_MAX_AGE_MS
        # The others may be those that took the slots that were lent.
        return max(n_lent, self.n_others if is_recent else 0)

    def n_room(self, now_ms):
        """Return the number of usable slots that other VMs leave to this one."""
        return max(0, self.n_usable_slots - self._n_others_now(now_ms))

    def n_free(self, now_ms):
        """Return the number of free slots among the usable ones."""
        if now_ms < self.full_until_ms:
            return 0
        return max(0, self.n_usable_slots - self.n_in_flight(now_ms))

    def note_lent(self, n_slots, until_ms):
        """Count slots as taken until a time, because they are lent to other owners."""
        self.n_lent = n_slots
        self.lent_until_ms = until_ms

    def note_borrowed(self, n_slots):
        """Cut the count of other VMs' requests, because the owner lends free slots."""
        self.n_others = min(self.n_others, self.n_usable_slots - n_slots)

    def start(self, dispatch_id, now_ms):
        """Record the start of one send."""
        self.started_at_ms[dispatch_id] = now_ms
        self.sent_at_ms = now_ms
        self.n_sent += 1
        self.n_recent_sent(now_ms)
        self.recent_sent_at_ms.append(now_ms)

    def end(self, dispatch_id, is_aborted, now_ms):
        """Record the end of one send; return its start time, or None if unknown."""
        started_at_ms = self.started_at_ms.pop(dispatch_id, None)
        if started_at_ms is not None and is_aborted:
            self.lingering_until_ms.append(now_ms + ABORT_LINGER_MS)
        return started_at_ms

    def oldest_age_ms(self, now_ms):
        """Return the age of the oldest send in flight, or 0 if there is none."""
        if not self.started_at_ms:
            return 0.0
        return now_ms - next(iter(self.started_at_ms.values()))

    def is_unused(self, now_ms):
        """Return whether the target has been known for a while and was never used."""
        return self.n_sent == 0 and now_ms - self.sent_at_ms > UNUSED_MS

    # Cold start.

    def is_cold(self, now_ms):
        """Return whether the target is in cold start."""
        return now_ms < self.cold_until_ms

    def n_recent_sent(self, now_ms):
        """Return the number of sends within the last second.

        Those before a cold start count too: the target may have been cold already.
        """
        while self.recent_sent_at_ms:
            if self.recent_sent_at_ms[0] > now_ms - COLD_WINDOW_MS:
                break
            self.recent_sent_at_ms.popleft()
        return len(self.recent_sent_at_ms)

    # Notices.

    @property
    def is_offered(self):
        """Return whether the target takes new requests, apart from pauses."""
        return self.is_open and not self.is_leaving

    def take_notice(self, notice, now_ms):
        """Apply a TargetNotice; return state changes for the log.

        A target that leaves stays closed until a newer start of it is registered.
        """
        out = []
        if notice.is_leaving and not self.is_leaving:
            self.is_leaving = True
            out.append(self._change("leaving", "it said so in an answer"))
        if notice.pause_ms > 0.0:
            self.paused_until_ms = max(self.paused_until_ms, now_ms + notice.pause_ms)
            out.append(self._change("paused", f"for_ms={notice.pause_ms:.0f}"))
        if notice.cold_ms > 0.0:
            if not self.is_cold(now_ms):
                out.append(self._change("cold", f"for_ms={notice.cold_ms:.0f}"))
            self.extend_cold(notice.cold_ms, now_ms)
        if notice.ignored and notice.ignored != self.ignored_notice:
            self.ignored_notice = notice.ignored
            out.append(self._change("notice ignored", notice.ignored))
        return out

    @property
    def has_notices(self):
        """Whether the target has said that it leaves or wants a pause."""
        return self.is_leaving or self.paused_until_ms > float("-inf")

    def adopt_notices(self, earlier):
        """Take over the notices of this start of the target, as it was known before."""
        self.is_leaving = earlier.is_leaving
        self.paused_until_ms = earlier.paused_until_ms

    def extend_cold(self, cold_ms, now_ms):
        """Let the cold start last for at least ``cold_ms`` from now."""
        self.cold_until_ms = max(self.cold_until_ms, now_ms + cold_ms)

    def _change(self, event, detail):
        return StateChange("target", event, self.entry.target_id, detail)

    # Learning.

    def note_load(self, report, n_ended, now_ms):
        """Record the load that the target reported with a response or to a load probe.

        ``n_ended`` is 1 with a response: the report still counts the request that was
        answered, which is no longer in ``started_at_ms``. It is 0 for a load probe.
        """
        n_own = len(self.started_at_ms) + n_ended
        self.n_others = max(0, report.n_running + report.n_waiting - n_own)
        self.others_at_ms = now_ms
        if report.slowdown is None:
            self.note_no_load()
            return
        if not self._is_slow_still(report.slowdown, now_ms):
            self.slow_since_ms = now_ms
        self.slowdown = report.slowdown
        self.slowdown_at_ms = now_ms

    def _is_slow_still(self, slowdown, now_ms):
        """Return whether a new slowdown belongs to the slow phase of the last one."""
        if self.slowdown is None or min(slowdown, self.slowdown) < SLOW_SLOWDOWN_MIN:
            return False
        return now_ms - self.slowdown_at_ms <= SLOW_REPORTS_GAP_MAX_MS

    def note_no_load(self):
        """Record a response without a slowdown figure.

        The target is then taken to report none, unless it has reported one before.
        """
        if self.slowdown is None:
            self.may_report = False

    def note_success(self):
        """Reset the count of failures in a row and the duration of ejections."""
        self.n_failures_in_row = 0
        self.ejection_ms = 0.0

    def note_latency_ratio(self, ratio, now_ms):
        """Update the latency ratio with one latency divided by the service's mean."""
        ratio = min(LATENCY_RATIO_MAX, ratio)
        current = self.latency_ratio_now(now_ms)
        self.latency_ratio = current + LATENCY_RATIO_WEIGHT * (ratio - current)
        self.latency_ratio_at_ms = now_ms

    def latency_ratio_now(self, now_ms):
        """Return the latency ratio, decayed towards 1 as it ages."""
        weight = exp((self.latency_ratio_at_ms - now_ms) / LATENCY_RATIO_DECAY_MS)
        return 1.0 + weight * (self.latency_ratio - 1.0)

    def note_error(self, is_error, now_ms):
        """Update the share of errors with one result."""
        current = self.error_share_now(now_ms)
        self.error_share = current + ERROR_WEIGHT * (float(is_error) - current)
        self.error_at_ms = now_ms

    def error_share_now(self, now_ms):
        """Return the share of errors, decayed towards 0 as it ages."""
        return self.error_share * exp((self.error_at_ms - now_ms) / ERROR_DECAY_MS)

    def note_failure(self, now_ms, is_unreachable=False):
        """Count a failure; return whether it ejects the target.

        A target that can't be reached is ejected at once, others after
        ``N_FAILURES_TO_EJECT`` failures in a row.
        """
        self.n_failures_in_row += 1
        if not is_unreachable and self.n_failures_in_row < N_FAILURES_TO_EJECT:
            return False
        doubled_ms = max(EJECTION_MIN_MS, 2.0 * self.ejection_ms)
        self.ejection_ms = min(EJECTION_MAX_MS, doubled_ms)
        self.ejected_until_ms = now_ms + self.ejection_ms
        return True

    def slowdown_now(self, typical_slowdown, now_ms):
        """Return the reported slowdown, decayed towards the typical one as it ages."""
        if self.slowdown is None:
            return typical_slowdown
        weight = exp((self.slowdown_at_ms - now_ms) / SLOWDOWN_DECAY_MS)
        return typical_slowdown + weight * (self.slowdown - typical_slowdown)
