"""Whether a request that comes during a planned stop can end before this VM does."""

from math import exp

# Time constant of the decay of the longest duration of a service's calls.
DURATION_DECAY_MS = 60_000.0
# Factor of that duration within which a further call is expected to end.
DURATION_MARGIN = 1.5


class StopLimit:
    """The end of a planned stop, and how long the calls of each service have taken.

    ``began_at_ms`` is when the stop began, and ``stop_at_ms`` when the calls that are
    still in progress are cut; both are infinite while no stop is planned.
    """

    __slots__ = ("began_at_ms", "stop_at_ms", "_longest_by_service")

    def __init__(self):
        self.began_at_ms = float("inf")
        self.stop_at_ms = float("inf")
        # Maps a service to the longest duration of its calls and when it was noted.
        self._longest_by_service = {}

    def begin(self, stop_at_ms, now_ms):
        """Begin the planned stop."""
        self.began_at_ms = now_ms
        self.stop_at_ms = stop_at_ms

    def note_call(self, service_name, duration_ms, now_ms):
        """Note how long a call took from its arrival to its outcome."""
        longest_ms = self._longest_ms(service_name, now_ms)
        if longest_ms is None or duration_ms >= longest_ms:
            self._longest_by_service[service_name] = (duration_ms, now_ms)

    def _longest_ms(self, service_name, now_ms):
        """Return the longest duration, decayed as it ages, or None before the first."""
        noted = self._longest_by_service.get(service_name)
        if noted is None:
            return None
        duration_ms, noted_at_ms = noted
        return duration_ms * exp((noted_at_ms - now_ms) / DURATION_DECAY_MS)

    def may_finish(self, call, now_ms):
        """Return whether an EdgeCall is expected to end before the end of the stop.

        A call that may run only once must end by its deadline: nobody can repeat it if
        it is cut. An idempotent call of a service whose calls have no known duration is
        expected to meet the latency objective of its route. A call that came before the
        stop is served in any case: its caller may have spent a long time on sending it.
        """
        if call.request.arrived_at_ms < self.began_at_ms:
            return True
        if call.deadline_at_ms <= self.stop_at_ms:
            return True
        if not call.policy.is_idempotent:
            return False
        longest_ms = self._longest_ms(call.policy.service_name, now_ms)
        expected_ms = call.policy.objective_ms
        if longest_ms is not None:
            expected_ms = DURATION_MARGIN * longest_ms
        return now_ms + expected_ms <= self.stop_at_ms
