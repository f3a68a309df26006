"""Selection among discovered targets: plain functions of their state.

A target's slowdown when a request starts determines how long the request takes, and
it changes several times a second. A target is therefore known to be fast or known to
be slow only while its last slowdown figure is recent; otherwise its speed class is
unknown.
"""

# Share of a target's slots in use above which all its requests slow down.
KNEE_SHARE = 0.8
# Factor by which requests take longer above the knee.
KNEE_FACTOR = 1.7
# Factor of the cost of a target in cold start.
COLD_FACTOR = 2.0
# Weight of a target's error share in its cost. A request that fails there costs a
# retry, or its caller gets an error.
ERROR_FACTOR = 6.0
# Weight of each request in flight in a target's cost.
IN_FLIGHT_WEIGHT = 0.04
# Multiple of the mean latency above which the age of a target's oldest request in
# flight indicates a slow target.
OVERDUE_FACTOR = 1.5
# Maximum slowdown of a fast target.
FAST_SLOWDOWN_MAX = 1.2
# Minimum slowdown of a slow target.
SLOW_SLOWDOWN_MIN = 2.0
# Maximum age of the slowdown figure of a target that counts as fast. With an older
# figure the target is probed again.
FAST_MAX_AGE_MS = 40.0
# Time for which a slow phase is assumed to last after a target last reported it.
SLOW_MAX_AGE_MS = 90.0

FAST = "fast"
SLOW = "slow"
UNKNOWN = "unknown"


def slots_below_knee(n_slots):
    """Return the number of concurrent requests up to which none slows down."""
    return max(1, int(KNEE_SHARE * n_slots))


def usable_slots(n_slots):
    """Return the number of concurrent requests at which throughput is highest.

    Above the knee all requests of a target slow down, so that more of them at once
    can complete at a lower rate. The highest rate is therefore that of the last number
    below the knee or that of all slots.
    """
    n_below_knee = slots_below_knee(n_slots)
    return n_below_knee if n_below_knee >= n_slots / KNEE_FACTOR else n_slots


def speed_class(target, now_ms):
    """Return a target's current speed class: FAST, SLOW or UNKNOWN.

    UNKNOWN includes targets whose slowdown is between that of fast and slow ones.
    """
    if target.slowdown is None:
        return UNKNOWN
    age_ms = now_ms - target.slowdown_at_ms
    if target.slowdown <= FAST_SLOWDOWN_MAX and age_ms <= FAST_MAX_AGE_MS:
        return FAST
    if target.slowdown >= SLOW_SLOWDOWN_MIN and age_ms <= SLOW_MAX_AGE_MS:
        return SLOW
    return UNKNOWN


def is_beyond_knee(target, now_ms):
    """Return whether one more request slows all requests of a target down.

    It answers a load on targets with few slots: the last slot of such a target is worth
    using only while requests would wait longer for another one.
    """
    return target.n_in_flight(now_ms) >= target.n_slots_below_knee


def send_class(target, now_ms):
    """Return the speed class of one more request at a target.

    A fast target is no longer known to be fast for it beyond the knee.
    """
    current_class = speed_class(target, now_ms)
    if current_class == FAST and is_beyond_knee(target, now_ms):
        return UNKNOWN
    return current_class


def latency_ratio(target, typical_slowdown, mean_ms, now_ms):
    """Return the expected latency of one more request, relative to the service's mean.

    It is raised for requests in flight, the knee and a cold start.
    """
    ratio = target.slowdown_now(typical_slowdown, now_ms)
    ratio *= target.latency_ratio_now(now_ms)
    if mean_ms:
        overdue = target.oldest_age_ms(now_ms) / mean_ms
        if overdue > OVERDUE_FACTOR:
            ratio = max(ratio, overdue * typical_slowdown)
    ratio *= 1.0 + IN_FLIGHT_WEIGHT * target.n_in_flight(now_ms)
    if is_beyond_knee(target, now_ms):
        ratio *= KNEE_FACTOR
    if target.is_cold(now_ms):
        ratio *= COLD_FACTOR
    return ratio


def send_cost(target, typical_slowdown, mean_ms, now_ms):
    """Return the cost of one more request at a target, for comparison with others.

    It is the latency ratio, raised for recent errors.
    """
    ratio = latency_ratio(target, typical_slowdown, mean_ms, now_ms)
    return ratio * (1.0 + ERROR_FACTOR * target.error_share_now(now_ms))


def eligible_targets(usable, excluded_ids, is_within_cold_rate, now_ms):
    """Return the targets that a request can be sent to now.

    They have a free slot, were not excluded, are within their cold start rate and
    are not ejected. Ejected targets are returned only if every usable target is
    ejected: otherwise it is better to wait for a slot of a healthy target than to
    send to an ejected one at once.
    """
    available = [
        target
        for target in usable
        if target.entry.target_id not in excluded_ids
        and target.n_free(now_ms) > 0
        and is_within_cold_rate(target, now_ms)
    ]
    healthy = [target for target in available if now_ms >= target.ejected_until_ms]
    if healthy or any(now_ms >= target.ejected_until_ms for target in usable):
        return healthy
    return available
