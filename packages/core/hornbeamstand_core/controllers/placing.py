"""The cost of sending to a found target: plain functions of its state."""

# Share of a target's slots in use above which its work slows down, and by how
# much.
KNEE_SHARE = 0.8
KNEE_FACTOR = 1.7
COLD_FACTOR = 2.0
# A request that an erring target fails costs a repeat or the answer.
ERROR_FACTOR = 6.0
# Bytes to another failure domain are priced.
FAR_FACTOR = 1.2
IN_FLIGHT_WEIGHT = 0.04
# A request in flight for longer than this many times the mean speaks for a
# slow target.
OVERDUE_FACTOR = 1.5


def send_cost(target, home_domain, usual_speed, mean_ms, now_ms):
    """Return the expected latency of one more request, without a unit."""
    cost = target.speed_now(usual_speed, now_ms) * target.slowness_now(now_ms)
    if mean_ms:
        overdue = target.oldest_ms(now_ms) / mean_ms
        if overdue > OVERDUE_FACTOR:
            cost = max(cost, overdue * usual_speed)
    n_in_flight = target.n_in_flight(now_ms)
    if (n_in_flight + 1) / target.entry.n_slots > KNEE_SHARE:
        cost *= KNEE_FACTOR
    cost *= 1.0 + IN_FLIGHT_WEIGHT * n_in_flight
    if target.is_cold(now_ms):
        cost *= COLD_FACTOR
    if target.entry.failure_domain != home_domain:
        cost *= FAR_FACTOR
    return cost * (1.0 + ERROR_FACTOR * target.error_share_now(now_ms))
