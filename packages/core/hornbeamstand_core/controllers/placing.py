"""Choice among found targets: plain functions of their state.

A target's speed at a request's start decides how long the request takes, and it
changes several times a second. So a target is known to be fast, known to be slow,
or not known well enough, by the age of its last figure.
"""

# Share of a target's slots in use above which its work slows down, and by how
# much.
KNEE_SHARE = 0.8
KNEE_FACTOR = 1.7
COLD_FACTOR = 2.0
# A request that an erring target fails costs a repeat or the answer.
ERROR_FACTOR = 6.0
# Bytes to another failure domain are priced.
REMOTE_FACTOR = 1.6
IN_FLIGHT_WEIGHT = 0.04
# A request in flight for longer than this many times the mean speaks for a
# slow target.
OVERDUE_FACTOR = 1.5
# Up to this factor a target counts as fast, from the next one on as slow.
FAST_SLOWDOWN_MAX = 1.2
SLOW_SLOWDOWN_MIN = 2.0
# A speed figure older than this is worth a look.
LOAD_MAX_AGE_MS = 40.0
# A slow phase is taken to last for this long after it was last seen.
SLOW_MAX_AGE_MS = 90.0

FAST = "fast"
SLOW = "slow"
UNKNOWN = "unknown"


def usable_slots(n_slots):
    """Return how many requests a target serves at the greatest rate.

    Beyond the knee each request slows all down, so that more of them at once
    are served at a lower rate.
    """

    def rate(n_in_flight):
        return n_in_flight / (KNEE_FACTOR if n_in_flight > KNEE_SHARE * n_slots else 1)

    return max(range(1, n_slots + 1), key=rate)


def speed_class(target, now_ms):
    """Return what is known of a target's speed now: FAST, SLOW or UNKNOWN."""
    if target.slowdown is None:
        return UNKNOWN
    age_ms = now_ms - target.slowdown_at_ms
    if target.slowdown <= FAST_SLOWDOWN_MAX and age_ms <= LOAD_MAX_AGE_MS:
        return FAST
    if target.slowdown >= SLOW_SLOWDOWN_MIN and age_ms <= SLOW_MAX_AGE_MS:
        return SLOW
    return UNKNOWN


def send_cost(target, local_domain, typical_slowdown, mean_ms, now_ms):
    """Return the expected latency of one more request, without a unit."""
    cost = target.slowdown_now(typical_slowdown, now_ms) * target.latency_ratio_now(
        now_ms
    )
    if mean_ms:
        overdue = target.oldest_age_ms(now_ms) / mean_ms
        if overdue > OVERDUE_FACTOR:
            cost = max(cost, overdue * typical_slowdown)
    cost *= 1.0 + IN_FLIGHT_WEIGHT * target.n_in_flight(now_ms)
    if target.is_cold(now_ms):
        cost *= COLD_FACTOR
    if target.entry.failure_domain != local_domain:
        cost *= REMOTE_FACTOR
    return cost * (1.0 + ERROR_FACTOR * target.error_share_now(now_ms))


def eligible_targets(usable, excluded_ids, is_within_cold_rate, now_ms):
    """Return the targets with room that are not ejected.

    Failing ones are all that is left if every target is ejected; otherwise a
    slot of a sound target soon is better than one of those now.
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
