"""Which versions of a service's targets get requests, and how these ended.

Targets register their version. One version is in force; targets of another one get
requests only in a roll-out that names it.
"""

from ...edge_messages import FIRST
from ...records import Record
from ...rollout_messages import CANARY, COMPLETE, MOVING
from .answers import BAD, UNJUDGED, judge_answer

# Share of a request's latency objective up to which its answer is not slow, whatever
# its route's usual latency is: a new connection alone takes longer than some answers.
SLOW_OBJECTIVE_SHARE = 0.25
# Maximum number of label sets of the counts of answers by version.
N_COUNTS_MAX = 20


class Sent(Record):
    """One send in flight: its route, its target's version and its start at ``at_ms``.

    An answer within ``slow_min_ms`` is not slow. ``is_cold`` is whether the target was
    in cold start.
    """

    __slots__ = ("route", "version", "at_ms", "slow_min_ms", "is_cold")

    def __init__(self, route, version, at_ms, slow_min_ms, is_cold):
        self.route = route
        self.version = version
        self.at_ms = at_ms
        self.slow_min_ms = slow_min_ms
        self.is_cold = is_cold


class ServiceVersions:
    """The versions of one service's targets, as one VM uses them.

    ``in_force`` is the version that gets requests apart from a roll-out, or "" before a
    target is known. ``rollout`` is the Rollout of the service, or None. ``find_route``
    takes a host and a path and returns the name of the route. While it is None, the
    deployment has no roll-outs and each target may get requests. ``counts`` maps a
    version and the judgement of an answer to their number.

    Parameters
    ----------
    targets : dict
        The service's DiscoveredTargets by id.
    """

    __slots__ = (
        "targets",
        "in_force",
        "rollout",
        "find_route",
        "counts",
        "_sends",
        "_lacks_completed",
    )

    def __init__(self, targets):
        self.targets = targets
        self.in_force = ""
        self.rollout = None
        self.find_route = None
        self.counts = {}
        self._sends = {}
        # Whether no target is left of the version of a complete roll-out.
        self._lacks_completed = False

    # Which versions get requests.

    def allows(self, target):
        """Return whether a target's version may get any request now."""
        if self.find_route is None:
            return True
        rollout = self.rollout
        if rollout is not None and self._is_only_named(rollout.phase):
            return target.entry.version == rollout.target_version
        if not self.in_force:
            self.update_in_force()
        return target.entry.version == self.in_force

    def _is_only_named(self, phase):
        """Return whether only the version that the roll-out names gets requests."""
        return phase == MOVING or (phase == COMPLETE and not self._lacks_completed)

    def update_in_force(self):
        """Find the version in force if it is unknown or has no target left.

        It is that of a complete roll-out while it has a target. Else it is that of the
        target that started first, apart from the version that the roll-out names.
        """
        rollout = self.rollout
        named = rollout.target_version if rollout is not None else None
        is_complete = rollout is not None and rollout.phase == COMPLETE
        # Without any target, those of the version may just be unknown yet.
        has_others = bool(self.targets) and not self._has_target(named)
        self._lacks_completed = is_complete and has_others
        if is_complete and not has_others:
            self.in_force = named
            return
        if self._has_target(self.in_force):
            return
        entries = [target.entry for target in self.targets.values()]
        others = [entry for entry in entries if entry.version != named]
        if others:
            first = min(others, key=lambda item: (item.started_wall_ms, item.version))
            self.in_force = first.version
        elif entries and not self.in_force:
            self.in_force = named

    def _has_target(self, version):
        targets = self.targets.values()
        return any(target.entry.version == version for target in targets)

    def has_offered(self, version):
        """Return whether a target of a version takes requests."""
        return any(
            target.is_offered and target.entry.version == version
            for target in self.targets.values()
        )

    # Sends.

    def note_sent(self, message, target, now_ms):
        """Record a send that an AcquireSlot was granted."""
        if self.find_route is None:
            return
        rollout = self.rollout
        route, version = "", target.entry.version
        if rollout is not None:
            route = self.find_route(message.host, message.path)
            if message.kind == FIRST:
                rollout.quota.note_sent(version == rollout.target_version)
        slow_min_ms = SLOW_OBJECTIVE_SHARE * message.objective_ms
        is_cold = target.is_cold(now_ms)
        sent = Sent(route, version, now_ms, slow_min_ms, is_cold)
        self._sends[message.dispatch_id] = sent

    def note_end(self, release, now_ms):
        """Judge the end of a send; return the state changes for the log."""
        sent = self._sends.pop(release.permit.request_id, None)
        rollout = self.rollout
        if sent is None or rollout is None or not rollout.is_judging:
            return []
        age_ms = now_ms - sent.at_ms
        slow_ms = max(sent.slow_min_ms, rollout.slow_ms(sent.route))
        verdict = judge_answer(release.result, age_ms, slow_ms, sent.is_cold)
        self._count(sent.version, verdict)
        if verdict == UNJUDGED:
            return []
        is_new = sent.version == rollout.target_version
        latency_ms = age_ms if verdict != BAD or age_ms >= slow_ms else None
        return rollout.note_answer(
            sent.route, is_new, verdict == BAD, latency_ms, now_ms
        )

    def _count(self, version, verdict):
        key = (version, verdict)
        if key in self.counts or len(self.counts) < N_COUNTS_MAX:
            self.counts[key] = self.counts.get(key, 0) + 1

    def n_in_flight_beside(self, version):
        """Return the number of sends in flight to targets of other versions."""
        return sum(sent.version != version for sent in self._sends.values())

    def is_canary_running(self):
        """Return whether a roll-out sends a share of the requests to its version."""
        rollout = self.rollout
        if rollout is None or rollout.order is None:
            return False
        return rollout.phase == CANARY
