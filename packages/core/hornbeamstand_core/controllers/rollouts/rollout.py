"""One service's roll-out, as one VM follows and judges it."""

from ...edge_messages import StateChange
from ...rollout_messages import (
    CANARY,
    COMPLETE,
    MOVING,
    REVERTED,
    RolloutReport,
    RouteCounts,
)
from .answers import UsualLatency
from .canary import CanaryQuota
from .judge import VersionJudge
from .state import (
    Braked,
    Finished,
    MoveWanted,
    PhaseHeard,
    RolloutState,
    advance,
    is_final,
)

# Maximum time that the move of a service takes beyond its longest request: all owners
# learn of it and report that they are idle, and the end is written.
MOVE_MARGIN_MS = 1500.0
# Minimum share of an order's time for the canary. With less, hardly any answer would
# come before the move.
CANARY_SHARE_MIN = 0.5
# Minimum time from the start of the move until its end: the other owners hear of it.
MOVING_MIN_MS = 500.0
# Maximum age of a report by which its VM counts as idle.
REPORT_MAX_AGE_MS = 1000.0
# Share of the time in which a bad version must be reverted, for which a VM goes on with
# a canary while it hears neither the store nor a peer.
UNINFORMED_SHARE = 0.5


class HeardReport:
    """The latest report of a peer, and when it came."""

    __slots__ = ("report", "received_at_ms")

    def __init__(self, report, received_at_ms):
        self.report = report
        self.received_at_ms = received_at_ms


class Rollout:
    """The state, the canary's quota and the judgement of one service's latest order.

    ``state`` is its RolloutState. The order came at ``started_at_ms``, and the state
    changed at ``changed_at_ms``. ``is_owner`` is whether this VM owns the service in
    its failure domain, and ``informed_at_ms`` when it last heard the store or a peer.
    ``longest_ms`` is the longest timeout of the service's routes, and
    ``removed_revision`` the revision of the last order that was taken back, or 0.

    Parameters
    ----------
    bounds : RolloutBounds
        What a bad version may get.
    n_owners : int
        Number of VMs that own the service, one in each failure domain.
    now_ms : float
        The local time.
    is_late : bool
        Whether the order was found in a read, and not seen when it was written.
    """

    __slots__ = (
        "bounds",
        "state",
        "quota",
        "judge",
        "started_at_ms",
        "changed_at_ms",
        "is_late",
        "is_owner",
        "informed_at_ms",
        "longest_ms",
        "removed_revision",
        "_counts",
        "_usual",
        "_heard",
    )

    def __init__(self, bounds, n_owners, now_ms, is_late=False):
        self.bounds = bounds
        self.state = RolloutState()
        self.quota = CanaryQuota.from_bounds(bounds, n_owners, not is_late)
        self.judge = VersionJudge()
        self.started_at_ms = now_ms
        self.changed_at_ms = now_ms
        self.is_late = is_late
        self.is_owner = False
        self.informed_at_ms = now_ms
        self.longest_ms = 0.0
        self.removed_revision = 0
        self._counts = {}
        self._usual = {}
        self._heard = {}

    @property
    def phase(self):
        """The phase that this VM acts by."""
        return self.state.phase

    @property
    def order(self):
        """The order in force, or None."""
        return self.state.order

    @property
    def target_version(self):
        """The version that the order names."""
        return self.order.target_version if self.order else ""

    @property
    def known_revision(self):
        """The revision of the latest order that this VM knows of, or 0."""
        return self.order.revision if self.order else self.removed_revision

    @property
    def is_judging(self):
        """Whether the answers of both versions still decide something."""
        return self.order is not None and not is_final(self.phase)

    def take(self, message, now_ms):
        """Advance the state; return the state changes for the log."""
        before, self.state = self.state, advance(self.state, message)
        if before.order is not None and self.state.order is None:
            self.removed_revision = before.order.revision
        if (before.phase, before.wanted) != (self.state.phase, self.state.wanted):
            self.changed_at_ms = now_ms
        if before.phase == self.state.phase or self.order is None:
            return []
        return [self._describe_phase(now_ms)]

    def describe(self, now_ms):
        """Return the order's version and the counts so far, for the log."""
        return (
            f"version={self.target_version} elapsed_ms={self.elapsed_ms(now_ms):.0f}"
            f" sent={self.quota.n_sent} sent_new={self.quota.n_new}"
            f" {self.judge.describe()}"
        )

    def _describe_phase(self, now_ms):
        detail = f"{self.describe(now_ms)} reason={self.state.reason or 'judged'}"
        name = self.order.service_name
        if self.phase == MOVING:
            return StateChange("rollout", "moving", name, detail)
        if self.phase == COMPLETE:
            return StateChange("rollout", "complete", name, detail)
        return StateChange("rollout", "reverted", name, detail)

    # Time.

    def elapsed_ms(self, now_ms):
        """Return the time since the order."""
        return now_ms - self.started_at_ms

    def note_elapsed(self, elapsed_ms, now_ms):
        """Move the order's start back, if ``elapsed_ms`` ago is before it."""
        elapsed_ms = min(elapsed_ms, self.order.duration_ms)
        self.started_at_ms = min(self.started_at_ms, now_ms - elapsed_ms)

    def canary_ms(self):
        """Return the time from the order to the move."""
        duration_ms = self.order.duration_ms
        move_ms = self.longest_ms + MOVE_MARGIN_MS
        return max(CANARY_SHARE_MIN * duration_ms, duration_ms - move_ms)

    # The canary.

    def may_send(self, now_ms):
        """Return whether this VM may send to the new version at all.

        One that hears nobody would go on after others have reverted.
        """
        silent_ms = now_ms - self.informed_at_ms
        max_ms = UNINFORMED_SHARE * self.bounds.rollback_ms
        return self.is_owner and silent_ms <= max_ms

    def opens_for(self, n_slots, now_ms):
        """Return whether the quota lets the new version have the next request.

        ``n_slots`` is the number of requests that one of its targets runs at once.
        """
        share = self.elapsed_ms(now_ms) / max(1.0, self.canary_ms())
        return self.quota.is_open(max(1, n_slots), min(1.0, share))

    # Answers.

    def slow_ms(self, route):
        """Return the latency from which on an answer on a route counts as bad."""
        usual = self._usual.get(self.judge.route_name(route))
        return usual.slow_ms if usual else float("inf")

    def note_answer(self, route, is_new, is_bad, latency_ms, now_ms):
        """Count an answer; return state changes if it makes this VM revert.

        ``latency_ms`` is None if it says nothing of the usual one.
        """
        name = self.judge.route_name(route)
        if not is_new and latency_ms is not None:
            self._usual.setdefault(name, UsualLatency()).note(latency_ms)
        total = self._counts.setdefault(name, RouteCounts(name))
        one = RouteCounts(name)
        slot = ("n_new_" if is_new else "n_old_") + ("bad" if is_bad else "good")
        setattr(total, slot, getattr(total, slot) + 1)
        setattr(one, slot, 1)
        self.judge.note(one)
        return self._brake_if_bad(now_ms)

    def _brake_if_bad(self, now_ms):
        if not self.is_judging or not self.judge.is_bad:
            return []
        return self.take(Braked("answers"), now_ms)

    # Reports.

    def report(self, n_old_in_flight, now_ms):
        """Return the RolloutReport for the other VMs.

        COMPLETE is reported as MOVING until the store has it.
        """
        phase = self.phase
        if phase == COMPLETE and not self.state.is_settled:
            phase = MOVING
        return RolloutReport(
            "",
            self.order.service_name,
            self.target_version,
            self.order.revision,
            phase,
            self.elapsed_ms(now_ms),
            n_old_in_flight,
            list(self._counts.values()),
        )

    def note_report(self, report, now_ms):
        """Apply a RolloutReport of a peer; return state changes for the log."""
        if self.order is None or report.order_revision != self.order.revision:
            return []
        if is_final(self.phase) and self.state.is_settled:
            return []
        self.informed_at_ms = now_ms
        self.note_elapsed(report.elapsed_ms, now_ms)
        known = self._heard.get(report.ip)
        earlier = known.report.counts if known else ()
        self._heard[report.ip] = HeardReport(report, now_ms)
        for counts in growth(earlier, report.counts):
            self.judge.note(counts)
        out = self.take(PhaseHeard(report.phase), now_ms)
        return out + self._brake_if_bad(now_ms)

    def is_idle(self, ip, now_ms):
        """Return whether a peer reports the move and no request at old targets."""
        heard = self._heard.get(ip)
        if heard is None or now_ms - heard.received_at_ms > REPORT_MAX_AGE_MS:
            return False
        report = heard.report
        return report.phase in (MOVING, COMPLETE) and report.n_old_in_flight == 0

    def _are_others_idle(self, owner_ips, now_ms):
        if not all(self.is_idle(ip, now_ms) for ip in owner_ips):
            return False
        return all(
            self.is_idle(ip, now_ms)
            for ip, heard in self._heard.items()
            if now_ms - heard.received_at_ms <= REPORT_MAX_AGE_MS
        )

    # Decisions that depend on time and on the targets.

    def decide(self, versions, owner_ips, now_ms):
        """Begin the move, end it or revert; return state changes for the log.

        Parameters
        ----------
        versions : ServiceVersions
            The targets and the sends of this VM.
        owner_ips : sequence of str
            The other VMs that own the service.
        now_ms : float
            The local time.
        """
        if not self.is_judging or self.state.wanted in (COMPLETE, REVERTED):
            return []
        version = self.target_version
        if versions.in_force == version:
            return self.take(Finished(), now_ms)
        has_target = versions.has_offered(version)
        if self.phase == MOVING:
            if not has_target:
                return self.take(Braked("no target of the version"), now_ms)
            return self._finish_if_idle(versions, owner_ips, now_ms)
        if self.state.wanted != CANARY or self.elapsed_ms(now_ms) < self.canary_ms():
            return []
        if not has_target:
            return self.take(Braked("no target of the version"), now_ms)
        if not self.judge.may_move:
            return self.take(Braked("answers before the move"), now_ms)
        return self.take(MoveWanted(), now_ms)

    def _finish_if_idle(self, versions, owner_ips, now_ms):
        if now_ms - self.changed_at_ms < MOVING_MIN_MS:
            return []
        if versions.n_in_flight_beside(self.target_version):
            return []
        if not self._are_others_idle(owner_ips, now_ms):
            return []
        return self.take(Finished(), now_ms)


def growth(earlier, counts):
    """Return the RouteCounts by which a peer's counts have grown.

    Counts that are lower than before are those of a peer that has started again.
    """
    known = {item.route: item for item in earlier}
    out = []
    for item in counts:
        before = known.get(item.route, RouteCounts(item.route))
        slots = RouteCounts.__slots__[1:]
        grown = [getattr(item, name) - getattr(before, name) for name in slots]
        if min(grown) < 0:
            grown = [getattr(item, name) for name in slots]
        out.append(RouteCounts(item.route, *grown))
    return out
