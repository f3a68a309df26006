"""The requests of a service that wait for a slot: plain functions of its capacity.

A request waits within its latency objective, and is refused at once if it can't be
served in time.
"""

from ...balancer_messages import Decision
from ...messages import CANCELLED
from ..domains.leaving import select_domain
from ..targets.load_probing import probes_for_waiting
from .expected_wait import (
    WaitingRequest,
    expected_wait_ms,
    order,
    place_ms,
    reserve_ms,
    usual_ms,
)
from .fast_latency import late_reason
from .outcomes import grant, refuse
from .placing import FAST, SLOW, speed_class
from .target_choice import choose_target, find_best_pair

# Maximum wait for a target that is known to be fast, as a share of the time left
# until the request's latency objective. After that it takes any target.
FAST_WAIT_SHARE = 0.4
# Maximum wait of a request that misses its latency objective anyway, as a share of
# the time left until its deadline.
LATE_WAIT_SHARE = 0.1


def enqueue(service, message, now_ms):
    """Let a request wait for a slot, or refuse it if the wait would be too long.

    Its wait is that for the requests which go before it, not for the whole queue. Those
    that it goes before are refused at once if they can't be served in time any more:
    the last in the order, which lose least by that.

    Returns the decisions for the log, load probes and the refusals.
    """
    wait_max_ms = max_wait_ms(service, message, now_ms)
    objective_ms = message.objective_at_ms - now_ms
    fast_wait_ms = min(wait_max_ms, FAST_WAIT_SHARE * max(0.0, objective_ms))
    arrived = WaitingRequest(
        message, now_ms, now_ms + fast_wait_ms, now_ms + wait_max_ms
    )
    ordered = order(service, [*service.waiting, arrived], now_ms)
    n_in_front = ordered.index(arrived)
    expected_ms = expected_wait_ms(service, n_in_front, now_ms)
    if expected_ms == float("inf"):
        if not service.is_awaiting_targets:
            return refuse(service, message, "no target", now_ms)
    elif expected_ms > wait_max_ms:
        return refuse(service, message, "wait exceeds objective", now_ms)
    service.waiting.append(arrived)
    waits = Decision(service.name, message.request_id, "wait", "", "no fast slot")
    overtaken = refuse_overtaken(service, ordered, n_in_front + 1, now_ms)
    return [waits, *overtaken, *probes_for_waiting(service, now_ms)]


def refuse_overtaken(service, ordered, n_in_front, now_ms):
    """Refuse the requests that a new one leaves too little time to be served.

    ``ordered`` are all waiting requests, of which those after the first ``n_in_front``
    were overtaken. Returns the replies and decisions.
    """
    out = []
    each_ms = place_ms(service, now_ms)
    if each_ms == float("inf"):
        return out
    for waiting in ordered[n_in_front:]:
        if now_ms + (n_in_front + 1) * each_ms <= waiting.until_ms:
            n_in_front += 1
            continue
        service.waiting.remove(waiting)
        out += refuse(service, waiting.message, "overtaken", now_ms)
    return out


def max_wait_ms(service, message, now_ms):
    """Return the maximum time for which a request waits for a slot."""
    latest_ms = now_ms + reserve_ms(service, message)
    in_time_ms = message.objective_at_ms - latest_ms
    late_ms = LATE_WAIT_SHARE * (message.deadline_at_ms - latest_ms)
    return max(in_time_ms, late_ms)


def withdraw(service, request_id, now_ms):
    """Refuse a waiting request whose caller has disconnected."""
    for waiting in service.waiting:
        if waiting.message.request_id == request_id:
            service.waiting.remove(waiting)
            return refuse(service, waiting.message, CANCELLED, now_ms)
    return []


def drain(service, now_ms):
    """Grant free slots to waiting requests and refuse those that waited too long.

    All are refused at once if no target is left that takes requests. Returns the
    replies, the decisions for the log, and load probes if requests are still
    waiting.
    """
    out = []
    if service.waiting and not may_have_targets(service, now_ms):
        return refuse_all(service, now_ms)
    find_target = target_finder(service, now_ms)
    has_slot = True
    for waiting in order(service, service.waiting, now_ms):
        message = waiting.message
        target = find_target(message) if has_slot else None
        # Without a slot for this one, which may go to any target, there is none left.
        has_slot = target is not None or bool(message.excluded_ids)
        served = serve(service, waiting, target, now_ms)
        if served:
            service.waiting.remove(waiting)
            out += served
    if service.waiting:
        out += probes_for_waiting(service, now_ms)
    return out


def target_finder(service, now_ms):
    """Return a function that returns the target for a waiting request, or None.

    The targets are compared once, and again after each slot that is granted, but not
    for each request. Requests that exclude targets are compared on their own.
    """
    best = None
    n_sent = -1

    def find(message):
        nonlocal best, n_sent
        if message.excluded_ids:
            eligible = service.eligible_targets(message, now_ms)
            return choose_target(service, eligible, message, now_ms)
        if best is None or n_sent != service.n_sent:
            n_sent = service.n_sent
            eligible = service.eligible_targets(message, now_ms)
            best = find_best_pair(service, eligible, message, now_ms)
        return select_domain(service, message, *best, now_ms)

    return find


def may_have_targets(service, now_ms):
    """Return whether a target takes requests, or the targets have not been read."""
    return service.is_awaiting_targets or bool(service.usable_targets(now_ms))


def refuse_all(service, now_ms):
    """Refuse every waiting request; return the replies and decisions."""
    refused, service.waiting = service.waiting, []
    out = []
    for waiting in refused:
        out += refuse(service, waiting.message, "no target", now_ms)
    return out


def waits_on(service, waiting, target, now_ms):
    """Return whether a request waits for a better target than one with a free slot."""
    current_class = speed_class(target, now_ms)
    if not target.may_report or current_class == FAST:
        return False
    if current_class != SLOW:
        return now_ms < waiting.fast_until_ms
    slow_ms = target.slowdown * usual_ms(service, waiting.message)
    if 0.0 < slow_ms < now_ms - target.slow_since_ms:
        # The slow phase is no short burst: waiting for its end makes requests later.
        return False
    if now_ms < waiting.fast_until_ms:
        return True
    return keeps_slow_slot(service, waiting, slow_ms, now_ms)


def keeps_slow_slot(service, waiting, slow_ms, now_ms):
    """Return whether a slow target's slot is kept for those that wait behind a request.

    It answers a load on targets that are slow in short bursts while requests queue: a
    request that takes ``slow_ms`` there and is late holds the slot for longer than the
    burst lasts.
    """
    if len(service.waiting) < 2:
        return False
    return now_ms + slow_ms > waiting.message.objective_at_ms


def serve(service, waiting, target, now_ms):
    """Grant a slot to a waiting request or refuse it; return [] if it waits on.

    ``target`` is the one that it would be sent to now, or None.
    """
    message = waiting.message
    reason = late_reason(message, service.fast_latency, now_ms)
    if reason:
        return refuse(service, message, reason, now_ms)
    if target is not None and not waits_on(service, waiting, target, now_ms):
        return grant(service, message, target, now_ms)
    if now_ms >= waiting.until_ms:
        return refuse(service, message, "waited too long", now_ms)
    return []
