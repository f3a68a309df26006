"""The state that the owner of a target keeps about it."""

from collections import deque

# Values of ``TargetState.phase``.
COLD = "cold"
READY = "ready"
DRAINING = "draining"
# Shown to operators in place of the phase while an ejection lasts.
EJECTED = "ejected"

# Maximum limit of a target whose configuration declares no slots.
LEARNED_LIMIT_MAX = 64
# Time for which an abandoned request still occupies its slot: the target notices the
# cancellation only when the connection closes.
CANCEL_LINGER_MS = 100.0


class TargetState:
    """One target's in-flight counts, learned limit and recent latency and failures.

    ``is_open`` is set if the configuration allows new requests to the target, and
    ``limit`` is the number of requests that it may have in flight now.
    ``inherited_counts`` maps the ids of earlier owners to the number of their requests
    that are still in flight. ``started_at_ms`` maps the ids of this VM's requests in
    flight to their dispatch times. ``lingering_until_ms`` holds a time for each
    abandoned request, up to which the target may still work on it.
    ``n_good_in_step`` counts the good completions since the limit last grew in a cold
    start. ``latency_ms`` is the moving average of the latency, None before the first
    completion since a cold start began, and ``sampled_at_ms`` is the time of its last
    sample. ``start_id`` is the last one that the target reported; it differs between
    two starts of the target. ``reported_at_ms`` is when it last reported another start,
    or that it drains or no longer does. ``ejection_ms`` is the duration of the last
    ejection, and 0 after a success.
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
        "reported_at_ms",
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
        self.reported_at_ms = float("-inf")
        self.ejected_until_ms = 0.0
        self.ejection_ms = 0.0
        self.probed_at_ms = float("-inf")
        self.is_probing = False
        self.n_dispatched = 0

    @property
    def ceiling(self):
        """The maximum of ``limit``: the declared slots, if there are any."""
        return self.spec.slots or LEARNED_LIMIT_MAX

    @property
    def n_in_flight(self):
        """The number of requests in flight, including those of earlier owners."""
        n_own = len(self.started_at_ms) + len(self.lingering_until_ms)
        return n_own + sum(self.inherited_counts.values())

    def end_request(self, request_id, is_abandoned, now_ms):
        """End a request; return whether it was in flight."""
        if self.started_at_ms.pop(request_id, None) is None:
            return False
        if is_abandoned:
            self.lingering_until_ms.append(now_ms + CANCEL_LINGER_MS)
        return True

    def n_own(self, now_ms):
        """Return the number of requests that this VM itself has in flight."""
        self._expire_lingering(now_ms)
        return len(self.started_at_ms) + len(self.lingering_until_ms)

    def _expire_lingering(self, now_ms):
        while self.lingering_until_ms and self.lingering_until_ms[0] <= now_ms:
            self.lingering_until_ms.popleft()

    def n_free(self, now_ms):
        """Return the number of requests that may be sent now."""
        if not self.is_open or self.phase == DRAINING:
            return 0
        if now_ms < self.ejected_until_ms:
            return 0
        self._expire_lingering(now_ms)
        return max(0, int(self.limit) - self.n_in_flight)

    def set_inherited(self, member_id, n_left):
        """Set the number of an earlier owner's requests that are still in flight."""
        if n_left > 0:
            self.inherited_counts[member_id] = n_left
        else:
            self.inherited_counts.pop(member_id, None)
