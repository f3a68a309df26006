"""Which targets to ask for their load: plain functions of a service's state.

A target's speed decides how long a request takes and changes several times a second,
so targets whose last figure is too old are asked right before a send.
"""

from ..balancer_messages import DeferredReply, SendProbe
from ..edge_messages import ProbesNeeded
from .placing import FAST, UNKNOWN, speed_class

# So many targets are looked at at once, and so often for one send.
N_PROBED = 3
N_PROBE_ROUNDS_MAX = 2
# While requests wait each target is looked at again after this time.
PROBE_INTERVAL_MS = 50.0
HEALTH_PATH_DEFAULT = "/health"


def targets_to_probe(service, eligible, message, now_ms):
    """Return the targets to ask for their load before the choice is final."""
    if message.n_probe_rounds >= N_PROBE_ROUNDS_MAX:
        return []
    if any(speed_class(target, now_ms) == FAST for target in eligible):
        return []
    to_probe = [
        target
        for target in eligible
        if target.may_report and speed_class(target, now_ms) == UNKNOWN
    ]
    to_probe.sort(key=lambda target: service.cost(target, now_ms))
    return to_probe[:N_PROBED]


def health_path(service):
    """Return the path of the targets' health endpoint."""
    return service.rules.health_path if service.rules else HEALTH_PATH_DEFAULT


def request_probes(service, message, targets):
    """Return the messages that ask for looks before a slot is asked for again."""
    pairs = [(item.entry.target_id, item.entry.address) for item in targets]
    needed = ProbesNeeded(service.name, health_path(service), pairs)
    return [DeferredReply(message.request_id, needed)]


def probes_for_waiting(service, now_ms):
    """Return the looks that tell when a target's slow phase is over."""
    out = []
    for target in service.usable_targets(now_ms):
        if not target.may_report:
            continue
        if len(target.started_at_ms) >= target.n_usable_slots:
            continue
        known_at_ms = max(target.slowdown_at_ms, target.probed_at_ms)
        if now_ms - known_at_ms < PROBE_INTERVAL_MS:
            continue
        target.probed_at_ms = now_ms
        entry = target.entry
        path = health_path(service)
        out.append(SendProbe(service.name, entry.target_id, entry.address, path))
    return out
