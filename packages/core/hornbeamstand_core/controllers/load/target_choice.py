"""Which of the targets with a free slot a request is sent to: plain functions."""

from ...edge_messages import FIRST
from ..domains.leaving import has_near_targets, select_domain
from .placing import FAST, SLOW, UNKNOWN, send_class, speed_class


def choose_target(service, eligible, message, now_ms):
    """Return the target of a service to send a request to now, or None.

    The best target of this VM's failure domain is compared with the best one elsewhere;
    see ``domains.leaving``.
    """
    best = find_best_pair(service, eligible, message, now_ms)
    return select_domain(service, message, *best, now_ms)


def find_best_pair(service, eligible, message, now_ms):
    """Return the best target of this VM's failure domain and the best one elsewhere.

    Either is None if there is none. For the same ``eligible`` targets they depend on
    nothing of the request but whether it is a first send.
    """
    near = [target for target in eligible if service.is_near(target)]
    far = [target for target in eligible if not service.is_near(target)]
    best_near = find_best(service, near, message, now_ms)
    allowed = service.leaving.allowed(far, now_ms)
    if not allowed and not has_near_targets(service, now_ms):
        # Requests have nowhere else to go: the load reports of the targets decide.
        allowed = far
    return best_near, find_best(service, allowed, message, now_ms)


def find_best(service, eligible, message, now_ms):
    """Return the best of some targets, or None.

    Targets that are known to be fast come first and those that are known to be slow
    last. Among targets of one speed class the lowest cost decides.
    """
    if not eligible:
        return None
    unused = find_unused(eligible, message, now_ms)
    if unused is not None:
        return unused
    by_class = {FAST: [], UNKNOWN: [], SLOW: []}
    for target in eligible:
        by_class[send_class(target, now_ms)].append(target)
    best = by_class[FAST] or by_class[UNKNOWN] or by_class[SLOW]
    return min(best, key=lambda target: service.cost(target, now_ms))


def find_unused(eligible, message, now_ms):
    """Return a target that was never sent a request, or None.

    It is known to be fast, or can't report its load: a request should not wait for a
    slow target, or be late there, while others are free.
    """
    if message.kind != FIRST:
        return None
    for target in eligible:
        if target.is_unused(now_ms):
            if speed_class(target, now_ms) == FAST or not target.may_report:
                return target
    return None
