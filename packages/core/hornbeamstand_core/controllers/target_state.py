"""What the owner of a target knows about it."""

from collections import deque

COLD = "cold"
READY = "ready"
DRAINING = "draining"
EJECTED = "ejected"

# Limit of a target whose configuration declares no slots.
LEARNED_LIMIT_MAX = 64
# An abandoned request keeps its slot for this long: the target learns of the
# cancellation only when its connection closes.
CANCEL_LINGER_MS = 100.0


class TargetState:
    """One target's counts, learned limit and recent behaviour.

    ``limit`` is the number of requests it may have in flight now;
    ``inherited_counts`` maps earlier owners to their requests still in flight;
    ``started_at_ms`` maps requests in flight to their dispatch time;
    ``lingering_until_ms`` has a time for each abandoned request up to which the
    target may not have noticed the cancellation.
    """

    __slots__ = (
        "target_id",
        "spec",
        "is_open",
        "phase",
        "limit",
        "inherited_counts",
        "started_at_ms",
        "lingering_until_ms",
        "n_good_in_step",
        "n_failures_in_row",
        "n_jumps_in_row",
        "latency_ms",
        "sampled_at_ms",
        "start_id",
        "ejected_until_ms",
        "ejection_ms",
        "probed_at_ms",
        "is_probing",
        "n_dispatched",
    )

    def __init__(self, target_id, spec, is_open):
        self.target_id = target_id
        self.spec = spec
        self.is_open = is_open
        self.phase = COLD
        self.limit = 1.0
        self.inherited_counts = {}
        self.started_at_ms = {}
        self.lingering_until_ms = deque()
        self.n_good_in_step = 0
        self.n_failures_in_row = 0
        self.n_jumps_in_row = 0
        self.latency_ms = None
        self.sampled_at_ms = 0.0
        self.start_id = ""
        self.ejected_until_ms = 0.0
        self.ejection_ms = 0.0
        self.probed_at_ms = float("-inf")
        self.is_probing = False
        self.n_dispatched = 0

    @property
    def ceiling(self):
        """Return the greatest limit: the declared slots if there are any."""
        return self.spec.slots or LEARNED_LIMIT_MAX

    @property
    def n_in_flight(self):
        """Count the requests in flight, earlier owners' included."""
        n_own = len(self.started_at_ms) + len(self.lingering_until_ms)
        return n_own + sum(self.inherited_counts.values())

    def end_request(self, request_id, is_abandoned, now_ms):
        """End one request in flight; tells whether it was one."""
        if self.started_at_ms.pop(request_id, None) is None:
            return False
        if is_abandoned:
            self.lingering_until_ms.append(now_ms + CANCEL_LINGER_MS)
        return True

    def n_own(self, now_ms):
        """Count the requests that this VM itself has in flight."""
        self._expire_lingering(now_ms)
        return len(self.started_at_ms) + len(self.lingering_until_ms)

    def _expire_lingering(self, now_ms):
        while self.lingering_until_ms and self.lingering_until_ms[0] <= now_ms:
            self.lingering_until_ms.popleft()

    def n_free(self, now_ms):
        """Count the requests that may be sent now."""
        if not self.is_open or self.phase == DRAINING:
            return 0
        if now_ms < self.ejected_until_ms:
            return 0
        self._expire_lingering(now_ms)
        return max(0, int(self.limit) - self.n_in_flight)

    def set_inherited(self, member_id, n_left):
        """Set an earlier owner's requests still in flight."""
        if n_left > 0:
            self.inherited_counts[member_id] = n_left
        else:
            self.inherited_counts.pop(member_id, None)
