"""Selection of the targets to probe for their load: plain functions of a service.

A target's slowdown determines how long a request takes, and it changes several times
a second. Targets whose last slowdown figure is too old are therefore probed right
before a send, and while requests wait. A busy target is also probed to learn whether
it has become cold.
"""

from heapq import nsmallest

from ...balancer_messages import DeferredReply, SendProbe
from ...edge_messages import FIRST
from ...load_probe_messages import ProbesNeeded
from ..load.placing import FAST, UNKNOWN, send_class, speed_class

# Maximum number of targets that are probed in one round for a send.
N_PROBED_MAX = 3
# Maximum number of probe rounds for one send.
N_PROBE_ROUNDS_MAX = 2
# Interval of the load probes of a target while requests wait. It counts from the
# target's last slowdown figure or its last probe, whichever is later.
PROBE_INTERVAL_MS = 50.0
# Multiple of the cold start rate below which a target gets no more requests a second
# than it bears in cold start, so that it need not be asked whether it is cold.
COLD_CHECK_RATE_FACTOR = 2.0
# Interval of the probes that ask a busier target whether it has become cold.
COLD_CHECK_INTERVAL_MS = 100.0
# Path of the load probes of a service that is not in the configuration.
HEALTH_PATH_DEFAULT = "/health"


def targets_to_probe(service, eligible, message, now_ms):
    """Return the targets to probe for their load before one of them is selected.

    No probe is needed if one of the targets is known to be fast, unless another one was
    never used: that one is probed, and gets the request if it is fast. The first round
    goes to this failure domain, if it has a target with a free slot.
    """
    if message.n_probe_rounds >= N_PROBE_ROUNDS_MAX:
        return []
    if message.n_probe_rounds == 0:
        eligible = service.nearest(eligible)
    if any(send_class(target, now_ms) == FAST for target in eligible):
        if message.n_probe_rounds > 0 or message.kind != FIRST:
            return []
        for target in eligible:
            if target.is_unused(now_ms) and is_speed_unknown(target, now_ms):
                return [target]
        return []
    to_probe = [target for target in eligible if is_speed_unknown(target, now_ms)]
    to_probe.sort(key=lambda target: service.cost(target, now_ms))
    return to_probe[:N_PROBED_MAX]


def is_speed_unknown(target, now_ms):
    """Return whether a probe could tell a target's speed class, which is unknown."""
    return target.may_report and speed_class(target, now_ms) == UNKNOWN


def health_path(service):
    """Return the path of the targets' health endpoint, which reports their load."""
    return service.rules.health_path if service.rules else HEALTH_PATH_DEFAULT


def request_probes(service, message, targets):
    """Return the reply that asks to probe the targets and then to acquire again."""
    return [
        DeferredReply(message.request_id, ProbesNeeded(make_probes(service, targets)))
    ]


def make_probes(service, targets):
    """Return a SendProbe for each of some targets of a service."""
    path = health_path(service)
    return [
        SendProbe(
            service.name,
            target.entry.target_id,
            target.entry.address,
            path,
            target.entry.started_wall_ms,
        )
        for target in targets
    ]


def probes_for_waiting(service, now_ms):
    """Return load probes of the targets that could serve a waiting request.

    They show when a target's slow phase is over. A target without a free slot is not
    probed. There are at most ``N_PROBED_MAX`` probes for each waiting request within
    an interval: probes of all targets at once would take the time of this VM that the
    requests need. Those of this failure domain come first, and of them the ones whose
    figures are oldest.
    """
    n_left = N_PROBED_MAX * len(service.waiting)
    due = []
    for target in service.usable_targets(now_ms):
        if now_ms - target.probed_at_ms < PROBE_INTERVAL_MS:
            n_left -= 1
        elif is_probe_due(target, now_ms):
            due.append(target)
    if n_left <= 0 or not due:
        return []
    to_probe = nsmallest(
        n_left, due, key=lambda item: (not service.is_near(item), known_at_ms(item))
    )
    for target in to_probe:
        target.probed_at_ms = now_ms
    return make_probes(service, to_probe)


def cold_check(service, target, now_ms):
    """Return a probe of a busy target that may have become cold since the last one.

    Only the answer to a probe says so at once; the entry in the store follows later.
    """
    if service.rules is None or target.is_cold(now_ms):
        return []
    limit = COLD_CHECK_RATE_FACTOR * service.rules.cold_rate_per_s
    if target.n_recent_sent(now_ms) < limit:
        return []
    if now_ms - target.checked_at_ms < COLD_CHECK_INTERVAL_MS:
        return []
    target.checked_at_ms = now_ms
    return make_probes(service, [target])


def is_probe_due(target, now_ms):
    """Return whether a target has a free slot and its slowdown figure is too old."""
    if not target.may_report:
        return False
    if len(target.started_at_ms) >= target.n_usable_slots:
        return False
    return now_ms - target.slowdown_at_ms >= PROBE_INTERVAL_MS


def known_at_ms(target):
    """Return when a target last reported its slowdown or was last probed for it."""
    return max(target.slowdown_at_ms, target.probed_at_ms)
