"""When a refused caller may retry: plain functions of a service's capacity.

It answers a load that makes a queue too long to be served in time. A caller returns
when the requests before its own are served, and not at the same moment as others.
"""

from ...edge_messages import FIRST
from .expected_wait import expected_wait_ms, n_in_front, reserve_ms

# Limits of the delay after which a refused caller is told to retry. Only the minimum
# holds while every target wants a pause. The delay is the expected wait, lengthened at
# random by up to the share of RETRY_AFTER_SPREAD so that refused callers don't return
# all at once.
RETRY_AFTER_MIN_MS = 30.0
RETRY_AFTER_MAX_MS = 2000.0
RETRY_AFTER_SPREAD = 0.6
# Maximum share of the time left to its caller's deadline that a delay takes. Callers
# return after a third at the latest, so longer delays would end together.
LEFT_SHARE_MAX = 0.33
# Retry delay for a service without usable targets: the time for which it is expected
# to have none.
NO_TARGET_RETRY_MS = 400.0


def retry_delay_ms(service, message, rng, now_ms, will_return=True):
    """Return the time after which the caller of a refused request may retry.

    If every target wants a pause, it is the time until the first pause ends. The caller
    counts as due to return, unless ``will_return`` is False.
    """
    pause_ms = common_pause_ms(service, now_ms)
    if pause_ms > 0.0:
        earliest_ms, latest_ms = pause_bounds_ms(message, pause_ms, now_ms)
        return earliest_ms + (latest_ms - earliest_ms) * rng.random()
    wait_ms = drain_ms(service, message, now_ms)
    earliest_ms, latest_ms = return_bounds_ms(service, message, wait_ms, now_ms)
    delay_ms = earliest_ms + (latest_ms - earliest_ms) * rng.random()
    delay_ms = min(RETRY_AFTER_MAX_MS, delay_ms)
    if message.kind == FIRST and will_return:
        service.returning.add(message.priority, now_ms + delay_ms)
    return delay_ms


def drain_ms(service, message, now_ms):
    """Return the time until all that goes before a refused request has a slot.

    These are the waiting requests before it in the order and the refused callers that
    are due to return and at least as urgent.
    """
    n_before = n_in_front(service, message, now_ms)
    n_before += service.returning.n_before(message.priority, now_ms)
    wait_ms = expected_wait_ms(service, n_before, now_ms)
    return NO_TARGET_RETRY_MS if wait_ms == float("inf") else wait_ms


def return_bounds_ms(service, message, wait_ms, now_ms):
    """Return the earliest and the latest delay of a refused caller.

    If its request can still be answered within its objective after the wait, the latest
    one leaves the time for that.
    """
    earliest_ms = max(RETRY_AFTER_MIN_MS, wait_ms)
    latest_ms = (1.0 + RETRY_AFTER_SPREAD) * earliest_ms
    in_time_ms = message.objective_at_ms - now_ms - reserve_ms(service, message)
    if earliest_ms < in_time_ms:
        latest_ms = min(latest_ms, in_time_ms)
    left_ms = LEFT_SHARE_MAX * (message.deadline_at_ms - now_ms)
    if left_ms <= 0.0 or latest_ms <= left_ms:
        return earliest_ms, latest_ms
    if earliest_ms < left_ms:
        return earliest_ms, left_ms
    return left_ms / 2.0, left_ms


def pause_bounds_ms(message, pause_ms, now_ms):
    """Return the earliest and the latest delay while every target wants a pause.

    A caller whose deadline comes after the pause returns before it.
    """
    earliest_ms = max(RETRY_AFTER_MIN_MS, pause_ms)
    latest_ms = (1.0 + RETRY_AFTER_SPREAD) * earliest_ms
    left_ms = message.deadline_at_ms - now_ms
    if earliest_ms < left_ms:
        latest_ms = min(latest_ms, (earliest_ms + left_ms) / 2.0)
    return earliest_ms, latest_ms


def common_pause_ms(service, now_ms):
    """Return the time until the first pause of a target ends; 0 if one has none."""
    offered = service.offered_targets()
    ends_ms = [target.paused_until_ms for target in offered]
    return max(0.0, min(ends_ms, default=now_ms) - now_ms)
