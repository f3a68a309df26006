"""Selection of a new version's target for a request of the canary.

Few targets are used at a time, and of these the fast one with most requests: if the
canary were spread over all targets, a version that fails only under load would pass.
"""

from ...edge_messages import FIRST
from ..load.outcomes import grant
from ..load.placing import FAST, SLOW, eligible_targets, speed_class
from ..targets.load_probing import request_probes, targets_to_probe

# Number of targets that a pulse of canary requests goes to. The next pulse takes the
# next ones, so that one that is ill doesn't speak for its version.
N_TARGETS = 3


def acquire_canary(service, message, now_ms):
    """Grant a slot of the new version, ask for load probes, or return None.

    None stands for a request that isn't the canary's.
    """
    versions = service.versions
    if message.kind != FIRST or not versions.is_canary_running():
        return None
    rollout = versions.rollout
    if not rollout.may_send(now_ms):
        return None
    usable = new_targets(service, rollout.target_version, now_ms)
    if not usable or not rollout.opens_for(usable[0].n_usable_slots, now_ms):
        return None
    chosen = pulse_targets(usable, rollout.quota.n_pulses)
    eligible = eligible_targets(
        chosen, message.excluded_ids, service.is_within_cold_rate, now_ms
    )
    to_probe = targets_to_probe(service, eligible, message, now_ms)
    if to_probe:
        return request_probes(service, message, to_probe)
    target = fullest_target(eligible, now_ms)
    return None if target is None else grant(service, message, target, now_ms)


def new_targets(service, version, now_ms):
    """Return the usable targets of a version, those of this failure domain if any."""
    usable = [
        target
        for target in service.targets.values()
        if target.entry.version == version
        and target.is_offered
        and now_ms >= target.paused_until_ms
        and target.entry.failure_domain not in service.out_of_service_domains
    ]
    local_domain = service.local_domain
    local = [item for item in usable if item.entry.failure_domain == local_domain]
    return sorted(local or usable, key=lambda target: target.entry.target_id)


def pulse_targets(usable, n_pulses):
    """Return the targets of a pulse: the next few in turn."""
    first = n_pulses * N_TARGETS
    n_chosen = min(N_TARGETS, len(usable))
    return [usable[(first + i) % len(usable)] for i in range(n_chosen)]


def fullest_target(eligible, now_ms):
    """Return the target with most requests, fast ones first, or None if all are slow.

    A slow target says nothing of its version.
    """

    def preference(target):
        is_fast = speed_class(target, now_ms) == FAST
        return (is_fast, target.n_in_flight(now_ms))

    able = [item for item in eligible if speed_class(item, now_ms) != SLOW]
    return max(able, key=preference, default=None)
