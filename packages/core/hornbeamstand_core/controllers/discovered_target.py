"""What one VM knows about a target that discovery named."""

from collections import deque
from math import exp

from .placing import usable_slots

# Age at which a speed figure has lost most of its worth.
SLOWDOWN_DECAY_MS = 250.0
# Age at which a persistent slowness is forgotten.
LATENCY_RATIO_DECAY_MS = 6000.0
LATENCY_RATIO_WEIGHT = 0.3
LATENCY_RATIO_MAX = 10.0
ERROR_WEIGHT = 0.25
ERROR_DECAY_MS = 8000.0
# Requests of other VMs, read off a load report, are counted for this long.
OTHERS_MAX_AGE_MS = 200.0
EJECTION_MIN_MS = 600.0
EJECTION_MAX_MS = 6000.0
N_FAILURES_TO_EJECT = 2
# An aborted request keeps its slot until its target has noticed.
ABORT_LINGER_MS = 30.0
COLD_WINDOW_MS = 1000.0


class DiscoveredTarget:
    """Counts, speed and recent failures of one start of one target.

    ``may_report`` is False for a target that is known to tell no speed;
    ``started_at_ms`` maps a dispatch in flight to its start; ``slowdown`` is the
    work time over the usual one as last reported; ``latency_ratio`` is the ratio of
    latencies seen to the service's; ``cold_sent_at_ms`` has the sends of the
    last second.
    """

    __slots__ = (
        "entry",
        "is_open",
        "started_at_ms",
        "lingering_until_ms",
        "may_report",
        "slowdown",
        "slowdown_at_ms",
        "latency_ratio",
        "latency_ratio_at_ms",
        "error_share",
        "error_at_ms",
        "n_others",
        "others_at_ms",
        "n_failures_in_row",
        "ejected_until_ms",
        "ejection_ms",
        "full_until_ms",
        "cold_until_ms",
        "cold_sent_at_ms",
        "sent_at_ms",
        "probed_at_ms",
        "n_usable_slots",
        "n_sent",
    )

    def __init__(self, entry, now_ms):
        self.entry = entry
        self.is_open = True
        self.started_at_ms = {}
        self.lingering_until_ms = deque()
        self.may_report = True
        self.slowdown = None
        self.slowdown_at_ms = now_ms
        self.latency_ratio = 1.0
        self.latency_ratio_at_ms = now_ms
        self.error_share = 0.0
        self.error_at_ms = now_ms
        self.n_others = 0
        self.others_at_ms = float("-inf")
        self.n_failures_in_row = 0
        self.ejected_until_ms = float("-inf")
        self.ejection_ms = 0.0
        self.full_until_ms = float("-inf")
        self.cold_until_ms = float("-inf")
        self.cold_sent_at_ms = deque()
        self.sent_at_ms = now_ms
        self.probed_at_ms = float("-inf")
        self.n_usable_slots = usable_slots(entry.n_slots)
        self.n_sent = 0

    # Counts.

    def n_in_flight(self, now_ms):
        """Count the requests at the target, those of other VMs included."""
        while self.lingering_until_ms and self.lingering_until_ms[0] <= now_ms:
            self.lingering_until_ms.popleft()
        n_own = len(self.started_at_ms) + len(self.lingering_until_ms)
        if now_ms - self.others_at_ms < OTHERS_MAX_AGE_MS:
            return n_own + self.n_others
        return n_own

    def n_free(self, now_ms):
        """Count the free slots below the knee."""
        if now_ms < self.full_until_ms:
            return 0
        return max(0, self.n_usable_slots - self.n_in_flight(now_ms))

    def start(self, dispatch_id, now_ms):
        """Count one send."""
        self.started_at_ms[dispatch_id] = now_ms
        self.sent_at_ms = now_ms
        self.n_sent += 1
        if now_ms < self.cold_until_ms:
            self.cold_sent_at_ms.append(now_ms)

    def end(self, dispatch_id, is_aborted, now_ms):
        """End one send; returns its start time or None."""
        started_at_ms = self.started_at_ms.pop(dispatch_id, None)
        if started_at_ms is not None and is_aborted:
            self.lingering_until_ms.append(now_ms + ABORT_LINGER_MS)
        return started_at_ms

    def oldest_age_ms(self, now_ms):
        """Return the age of the oldest send in flight."""
        if not self.started_at_ms:
            return 0.0
        return now_ms - next(iter(self.started_at_ms.values()))

    # Cold start.

    def is_cold(self, now_ms):
        """Tell whether the target is in cold start."""
        return now_ms < self.cold_until_ms

    def n_cold_sent(self, now_ms):
        """Count the sends of the last second."""
        while self.cold_sent_at_ms:
            if self.cold_sent_at_ms[0] > now_ms - COLD_WINDOW_MS:
                break
            self.cold_sent_at_ms.popleft()
        return len(self.cold_sent_at_ms)

    # Learning.

    def note_load(self, report, n_ended, now_ms):
        """Take the load figures that came with an answer.

        ``n_ended`` is 1 if they still count the request that was answered,
        which this VM counts no more.
        """
        n_own = len(self.started_at_ms) + n_ended
        self.n_others = max(0, report.n_running + report.n_waiting - n_own)
        self.others_at_ms = now_ms
        if report.slowdown is None:
            self.note_no_load()
            return
        self.slowdown = report.slowdown
        self.slowdown_at_ms = now_ms

    def note_no_load(self):
        """Take an answer without load figures.

        One such answer of a target that told its speed before says nothing.
        """
        if self.slowdown is None:
            self.may_report = False

    def note_success(self):
        """End a run of failures."""
        self.n_failures_in_row = 0
        self.ejection_ms = 0.0

    def note_latency_ratio(self, ratio, now_ms):
        """Fold in one latency over the service's mean."""
        ratio = min(LATENCY_RATIO_MAX, ratio)
        current = self.latency_ratio_now(now_ms)
        self.latency_ratio = current + LATENCY_RATIO_WEIGHT * (ratio - current)
        self.latency_ratio_at_ms = now_ms

    def latency_ratio_now(self, now_ms):
        """Return the slowness, faded towards 1 with its age."""
        weight = exp((self.latency_ratio_at_ms - now_ms) / LATENCY_RATIO_DECAY_MS)
        return 1.0 + weight * (self.latency_ratio - 1.0)

    def note_error(self, is_error, now_ms):
        """Fold one answer into the share of errors."""
        current = self.error_share_now(now_ms)
        self.error_share = current + ERROR_WEIGHT * (float(is_error) - current)
        self.error_at_ms = now_ms

    def error_share_now(self, now_ms):
        """Return the share of errors, faded with its age."""
        return self.error_share * exp((self.error_at_ms - now_ms) / ERROR_DECAY_MS)

    def note_failure(self, now_ms, is_unreachable=False):
        """Count a failure; several in a row, or a certain one, eject it."""
        self.n_failures_in_row += 1
        if not is_unreachable and self.n_failures_in_row < N_FAILURES_TO_EJECT:
            return False
        doubled_ms = max(EJECTION_MIN_MS, 2.0 * self.ejection_ms)
        self.ejection_ms = min(EJECTION_MAX_MS, doubled_ms)
        self.ejected_until_ms = now_ms + self.ejection_ms
        return True

    def slowdown_now(self, typical_slowdown, now_ms):
        """Return the likely speed factor, faded towards the usual one."""
        if self.slowdown is None:
            return typical_slowdown
        weight = exp((self.slowdown_at_ms - now_ms) / SLOWDOWN_DECAY_MS)
        return typical_slowdown + weight * (self.slowdown - typical_slowdown)
