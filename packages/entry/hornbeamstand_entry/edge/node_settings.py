"""Builds the controllers of an entry VM from its settings."""

import time

from hornbeamstand_core.controllers.edge import EdgeNode
from hornbeamstand_core.edge_node_messages import RetryLimits
from hornbeamstand_core.identity import EdgeIdentity
from hornbeamstand_core.rollout_messages import RolloutBounds

MS_PER_S = 1000.0


def make_node(settings, clock):
    """Return the controllers of this VM."""
    me = EdgeIdentity(
        settings.vm_id,
        # The start id, which differs between successive processes of one VM.
        int(time.time() * MS_PER_S),
        settings.ip,
        settings.failure_domain,
        clock.now_ms(),
        settings.capacity,
    )
    retry_limits = read_retry_limits(settings)
    bounds = read_rollout_bounds(settings)
    node = EdgeNode(me, retry_limits, settings.n_named, settings.seed_ips, bounds)
    node.quotas.limits = settings.quota_limits
    return node


def read_rollout_bounds(settings):
    """Return the RolloutBounds of the settings, or None without roll-outs."""
    if settings.rollback_ms is None:
        return None
    return RolloutBounds(
        settings.canary_share, settings.canary_slack, settings.rollback_ms
    )


def read_retry_limits(settings):
    """Return the RetryLimits of the settings."""
    return RetryLimits(
        settings.retry_ratio,
        settings.retry_slack,
        settings.retry_window_ms,
        settings.n_domains,
    )
