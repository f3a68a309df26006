"""Ends calls so long before their deadlines that the answers are in time."""

from ..edge_messages import ANSWER_MARGIN_SHARE
from ..messages import NOT_RUN, Refusal

# Number of turns that a call takes from its route to the end of its send.
N_TURNS_LEFT = 4
# Minimum time after which a caller may retry a request that came too late.
RETRY_AFTER_MIN_MS = 200.0


def keep_margin(call, margin_ms):
    """Let a call end ``margin_ms`` before its limit, or a maximum share of its time."""
    margin_ms = limit_margin(margin_ms, call.limit_ms)
    call.deadline_at_ms = min(call.deadline_at_ms, call.limit_at_ms - margin_ms)


def limit_margin(margin_ms, limit_ms):
    """Return a margin of a request's time, which has a maximum share of it."""
    return min(margin_ms, ANSWER_MARGIN_SHARE * limit_ms)


def may_end_in_time(call, now_ms):
    """Return whether a call that was not sent has the time for its remaining turns.

    They are expected to take as long as both of its own steps so far: its wait until it
    was read, and the search for its route or target. A single pause delays one of them
    only.
    """
    request = call.request
    seen_ms = min(request.waited_ms, now_ms - request.arrived_at_ms)
    return call.deadline_at_ms - now_ms > N_TURNS_LEFT * seen_ms


def late_refusal(call, now_ms, step, peer):
    """Return the Refusal of a call that can't end in time.

    ``step`` is where it ends, and ``peer`` the host or target that it was for. The
    caller can't get an answer within the same time by another attempt.
    """
    retry_ms = max(RETRY_AFTER_MIN_MS, call.limit_at_ms - now_ms)
    return Refusal("deadline passed", NOT_RUN, 503, step, peer, retry_ms)
