"""Refuses requests at once while this VM's processor can't keep up with them.

The measure is the delay of a turn: the time that a piece of work which is due now waits
until those that were due before it are done. Each request takes several turns. If turns
stay late, this VM refuses a share of the requests that grows with the part of a
request's time that its turns would take. A single pause, such as that of a suspended
machine, delays one turn and is no reason to refuse.
"""

from ...edge_messages import ANSWER_MARGIN_MS, StateChange
from ...event_messages import AnswerMarginGrown
from ...messages import NOT_RUN, Refusal
from ...records import Record
from .late_ticks import LateTicks
from .recent_delays import RecentDelays

OVERLOADED = "vm overloaded"
# Delay of a turn from which this VM counts as late.
LATE_TURN_MS = 50.0
# Least time, and number of ticks, with late turns after which requests are refused.
STANDING_MS = 500.0
N_LATE_TICKS_MIN = 3
# Sum of the delays of late ticks, without the longest one and less the time in time
# since, from which requests are refused at once.
LATE_SUM_MS = 200.0
# Maximum interval of ticks. What is beyond it since the last tick is a delay.
TICK_INTERVAL_MAX_MS = 100.0
# Time without late turns after which all requests are admitted again, and the share by
# which that of a VM may be longer. VMs that are late together don't stop together.
CALM_MS = 10_000.0
CALM_SPREAD = 1.0
# Number of turns that a request takes, on this VM and the one that it is relayed to.
N_TURNS = 8
# Part of a request's time that its turns may take, below which it is always admitted
# and above which it never is.
ADMIT_ALL_SHARE = 0.2
ADMIT_NONE_SHARE = 0.7
# Factor of that part for the least urgent priority.
LEAST_URGENT_FACTOR = 1.5
# Limits of the delay after which a refused caller may retry, and the share by which it
# may be lengthened.
RETRY_AFTER_MIN_MS = 200.0
RETRY_AFTER_MAX_MS = 4000.0
RETRY_AFTER_SPREAD = 1.0
# Number of turns from the end of a call to its answer, and the maximum time for that by
# which a call ends before its deadline.
N_ANSWER_TURNS = 2
ANSWER_MARGIN_MAX_MS = 300.0
# Minimum delay that lengthens the margin beyond its minimum.
MARGIN_DELAY_MIN_MS = ANSWER_MARGIN_MS / N_ANSWER_TURNS
# Factor by which that time grows until calls in progress learn of it.
ANSWER_MARGIN_STEP = 1.5


class Arrival(Record):
    """A request as it is read, before any work on it.

    It has waited unread for ``waited_ms`` of the ``limit_ms`` in which it must be
    answered.
    """

    __slots__ = ("waited_ms", "limit_ms", "priority")

    def __init__(self, waited_ms, limit_ms, priority):
        self.waited_ms = waited_ms
        self.limit_ms = limit_ms
        self.priority = priority


class Admission:
    """Decides which requests are refused because this VM is late.

    ``is_limiting`` is whether this VM has been late for so long that others should take
    its work, and ``n_refused`` counts the refused requests. ``answer_margin_ms`` is the
    time by which a call ends before its deadline.

    Parameters
    ----------
    rng : Random
        Draws the requests to refuse, the retry delays and the time until the end.
    """

    __slots__ = (
        "is_limiting",
        "n_refused",
        "answer_margin_ms",
        "_rng",
        "_calm_ms",
        "_turn_began_at_ms",
        "_turn_ms",
        "_n_late_ticks",
        "_late_since_ms",
        "_late_at_ms",
        "_delays",
        "_late_ticks",
        "_has_late_ticks",
        "_ticked_at_ms",
        "_announced_margin_ms",
        "_priority_min",
        "_priority_max",
    )

    def __init__(self, rng):
        self.is_limiting = False
        self.n_refused = 0
        self.answer_margin_ms = ANSWER_MARGIN_MS
        self._rng = rng
        self._calm_ms = CALM_MS * (1.0 + CALM_SPREAD * rng.random())
        # When the turn in progress began, or None.
        self._turn_began_at_ms = None
        self._turn_ms = 0.0
        self._n_late_ticks = 0
        self._late_since_ms = 0.0
        self._late_at_ms = 0.0
        # The longer one of a turn and of the delay of the tick.
        self._delays = RecentDelays(MARGIN_DELAY_MIN_MS)
        self._late_ticks = LateTicks()
        self._has_late_ticks = False
        self._ticked_at_ms = float("inf")
        self._announced_margin_ms = ANSWER_MARGIN_MS
        self._priority_min = float("inf")
        self._priority_max = float("-inf")

    # The delay of a turn.

    def is_measuring(self):
        """Return whether a turn has begun and not ended."""
        return self._turn_began_at_ms is not None

    def begin_turn(self, now_ms):
        """Note that a piece of work became due that measures the delay of a turn."""
        self._turn_began_at_ms = now_ms

    def end_turn(self, now_ms):
        """Note that the piece of work is done."""
        self._turn_ms = now_ms - self._turn_began_at_ms
        self._turn_began_at_ms = None

    def turn_ms(self, now_ms):
        """Return the delay of a turn.

        One that has not ended counts with its age, and a tick with the time by which it
        is overdue.
        """
        overdue_ms = now_ms - self._ticked_at_ms - TICK_INTERVAL_MAX_MS
        turn_ms = max(self._turn_ms, overdue_ms)
        if self._turn_began_at_ms is None:
            return turn_ms
        return max(turn_ms, now_ms - self._turn_began_at_ms)

    def note_tick(self, now_ms, delay_ms=0.0):
        """Begin or end to refuse requests; return the resulting messages.

        ``delay_ms`` is how late the tick is.
        """
        self._ticked_at_ms = now_ms
        turn_ms = self.turn_ms(now_ms)
        self._late_ticks.note(delay_ms, turn_ms >= LATE_TURN_MS, now_ms)
        self._has_late_ticks = self._late_ticks.repeated_ms() >= LATE_SUM_MS
        self._delays.note(max(turn_ms, delay_ms), now_ms)
        return self._update_limiting(turn_ms, now_ms) + self._announce_margin()

    def _update_limiting(self, turn_ms, now_ms):
        was_limiting = self.is_limiting
        if turn_ms >= LATE_TURN_MS:
            self._note_late(now_ms)
        else:
            self._n_late_ticks = 0
            if now_ms - self._late_at_ms >= self._calm_ms:
                self.is_limiting = False
        if self.is_limiting == was_limiting:
            return []
        event = "refuses requests" if self.is_limiting else "admits all requests"
        detail = f"turn_ms={turn_ms:.0f} n_refused={self.n_refused}"
        return [StateChange("vm", event, "", detail)]

    def _note_late(self, now_ms):
        if self._n_late_ticks == 0:
            self._late_since_ms = now_ms
        self._n_late_ticks += 1
        self._late_at_ms = now_ms
        has_stood = now_ms - self._late_since_ms >= STANDING_MS
        if has_stood and self._n_late_ticks >= N_LATE_TICKS_MIN:
            self.is_limiting = True

    def _announce_margin(self):
        """Update the margin; return a message if it is new to the calls in progress."""
        margin_ms = N_ANSWER_TURNS * self._delays.repeated_ms()
        margin_ms = max(ANSWER_MARGIN_MS, min(ANSWER_MARGIN_MAX_MS, margin_ms))
        self.answer_margin_ms = margin_ms
        if margin_ms < ANSWER_MARGIN_STEP * self._announced_margin_ms:
            self._announced_margin_ms = min(self._announced_margin_ms, margin_ms)
            return []
        self._announced_margin_ms = margin_ms
        return [AnswerMarginGrown(margin_ms)]

    # Requests.

    def refusal(self, arrival, now_ms):
        """Return the Refusal of a request, or None if it is admitted."""
        self._priority_min = min(self._priority_min, arrival.priority)
        self._priority_max = max(self._priority_max, arrival.priority)
        turn_ms = self.turn_ms(now_ms)
        may_refuse = self.is_limiting or self._has_late_ticks
        if not may_refuse or turn_ms < LATE_TURN_MS:
            return None
        turns_ms = N_TURNS * turn_ms
        if self._rng.random() < self._admitted_share(arrival, turns_ms):
            return None
        self.n_refused += 1
        spread = 1.0 + RETRY_AFTER_SPREAD * self._rng.random()
        retry_ms = min(RETRY_AFTER_MAX_MS, max(RETRY_AFTER_MIN_MS, turns_ms)) * spread
        return Refusal(OVERLOADED, NOT_RUN, 503, "admit", "", retry_ms)

    def _admitted_share(self, arrival, turns_ms):
        """Return the share of requests like this one that are admitted."""
        left_ms = arrival.limit_ms - arrival.waited_ms
        if left_ms <= 0.0:
            return 0.0
        needed = turns_ms / left_ms * self._urgency_factor(arrival.priority)
        share = (ADMIT_NONE_SHARE - needed) / (ADMIT_NONE_SHARE - ADMIT_ALL_SHARE)
        return max(0.0, min(1.0, share))

    def _urgency_factor(self, priority):
        if self._priority_max <= self._priority_min:
            return 1.0
        n_priorities = self._priority_max - self._priority_min
        rank = (priority - self._priority_min) / n_priorities
        return 1.0 + rank * (LEAST_URGENT_FACTOR - 1.0)
