"""Whether it pays to send a request to a target in another failure domain.

The way there takes time and its bytes have a price. But the targets of one domain may
be too few for the load that comes to it: demand moves between domains, a domain loses
targets, or operators take it out of service. Plain functions of a service's capacity.
"""

from math import inf

from ...edge_messages import FIRST
from ..load.expected_wait import usual_ms
from ..load.placing import FAST, KNEE_FACTOR, UNKNOWN, latency_ratio, speed_class

# Steepness of the risk that an answer is late, as a function of the expected latency
# and the time left.
RISK_EXPONENT = 4.0
# Slowdown that is assumed of a target in a slow phase, if its speed is not known.
SLOW_PHASE_SLOWDOWN = 4.0
# Size that is assumed of an exchange until one has ended.
EXCHANGE_PRIOR_BYTES = 2048.0
# Size of the heads of a request and its answer.
HEADS_BYTES = 700.0
# Weight of a new exchange in the mean size.
SIZE_WEIGHT = 0.05
BYTES_PER_KB = 1024.0
# Advantage in the risk that leaving must have beyond its price. A smaller one is within
# the error of the estimates, and load would move to and fro for it.
ADVANTAGE_MIN = 0.05


def late_risk(expected_ms, left_ms):
    """Return the risk that an answer is late, 0 to 1.

    It is one half if the expected latency equals the time left.
    """
    if expected_ms <= 0.0:
        return 0.0
    if left_ms <= 0.0 or expected_ms == inf:
        return 1.0
    return 1.0 / (1.0 + (left_ms / expected_ms) ** RISK_EXPONENT)


def leaving_price(rules, n_exchange_bytes):
    """Return the price of an exchange with another failure domain.

    It is a share of what an answer in time is worth; see ``LeavingRules``.
    """
    return rules.kb_price * (n_exchange_bytes + HEADS_BYTES) / BYTES_PER_KB


def pays(near_risk, far_risk, price):
    """Return whether the lower risk in another failure domain is worth its price."""
    return near_risk - far_risk > ADVANTAGE_MIN + price


def select_domain(service, message, near, far, now_ms):
    """Return the target to send to of the best ones here and elsewhere, or None.

    ``near`` is the best target of this failure domain and ``far`` that of others; each
    may be None. The result is None if the request should wait for a target here. A
    retry or hedge doesn't wait.
    """
    if far is None:
        return near
    may_wait = message.kind == FIRST and has_near_targets(service, now_ms)
    if near is None and not may_wait:
        return far
    if service.mean_ms is None:
        return near
    left_ms = time_left_ms(message, now_ms)
    work_ms = usual_ms(service, message)
    if near is not None:
        near_risk = target_risk(service, near, work_ms, left_ms, now_ms)
    else:
        wait_ms = near_wait_ms(service, now_ms)
        near_risk = late_risk(wait_ms + work_ms, left_ms)
    far_risk = target_risk(service, far, work_ms, left_ms, now_ms)
    price = leaving_price(service.leaving.rules, service.leaving.mean_bytes)
    return far if pays(near_risk, far_risk, price) else near


def time_left_ms(message, now_ms):
    """Return the time until the latency objective, or if it has passed the deadline."""
    left_ms = message.objective_at_ms - now_ms
    return left_ms if left_ms > 0.0 else message.deadline_at_ms - now_ms


def near_wait_ms(service, now_ms):
    """Return the expected wait for a slot in this failure domain."""
    n_slots = sum(target.n_room(now_ms) for target in near_targets(service, now_ms))
    if n_slots == 0:
        return inf
    return service.mean_ms * (len(service.waiting) + 1) / n_slots


def target_risk(service, target, work_ms, left_ms, now_ms):
    """Return the risk that one more request at a target is late or fails.

    ``work_ms`` is the usual latency of the request, which includes the service's
    typical slowdown already.
    """
    typical = service.typical_slowdown
    ratio = latency_ratio(target, typical, service.mean_ms, now_ms)
    factor = ratio / (target.slowdown_now(typical, now_ms) * typical)
    way_ms = 0.0
    if not service.is_near(target):
        way_ms = service.leaving.rules.way_ms
        factor = max(factor, least_far_factor(service, target, now_ms) / typical)
    late = sum(
        probability * late_risk(way_ms + work_ms * factor * slowdown, left_ms)
        for probability, slowdown in possible_slowdowns(service, target, now_ms)
    )
    return 1.0 - (1.0 - late) * (1.0 - target.error_share_now(now_ms))


def least_far_factor(service, target, now_ms):
    """Return the least factor of the latency at a target in another failure domain.

    Without it the target with the lowest figure would look better than it is, since the
    figures are inexact. A slot that no owner has lent counts as one beyond the knee,
    unless the target is known to be fast now.
    """
    is_known = speed_class(target, now_ms) == FAST
    if is_known or service.leaving.has_loan(target, now_ms):
        return 1.0
    return KNEE_FACTOR


def possible_slowdowns(service, target, now_ms):
    """Return pairs of a probability and a slowdown that a target may have.

    A target whose speed is not known is in a slow phase as often as the service's
    typical slowdown shows.
    """
    typical = service.typical_slowdown
    if not target.may_report or speed_class(target, now_ms) != UNKNOWN:
        return [(1.0, target.slowdown_now(typical, now_ms))]
    slow_share = (typical - 1.0) / (SLOW_PHASE_SLOWDOWN - 1.0)
    slow_share = min(1.0, max(0.0, slow_share))
    return [(1.0 - slow_share, 1.0), (slow_share, SLOW_PHASE_SLOWDOWN)]


def near_targets(service, now_ms):
    """Iterate over the targets of this failure domain that take requests."""
    return (
        target
        for target in service.usable_targets(now_ms)
        if service.is_near(target) and now_ms >= target.ejected_until_ms
    )


def has_near_targets(service, now_ms):
    """Return whether a target of this failure domain takes requests."""
    return any(True for _ in near_targets(service, now_ms))


def leaving_reason(service, now_ms):
    """Return why a request leaves this failure domain, for logs and metrics."""
    n_free = [target.n_free(now_ms) for target in near_targets(service, now_ms)]
    if not n_free:
        return "no-target-here"
    return "faster-there" if any(n_free) else "none-free-here"
