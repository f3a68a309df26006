"""Notices of targets that a VM does not hold at the moment.

An entry may be gone for a moment, or may be read later than a peer's notice comes. A
notice is applied if its target is added with the start that the notice is of.
"""

from math import inf

from ...edge_messages import NoticeRelayed, TargetNotice
from .learning import heard_notice
from .notice_sharing import NOTICE_MAX_MS, bounded_notice

# Maximum time for which a notice is kept: the longest duration that it can state.
KEPT_MAX_MS = NOTICE_MAX_MS
# Maximum number of targets whose notices are kept.
N_KEPT_MAX = 1000


class KeptNotice:
    """What one start of a target said of itself, and when that was last heard."""

    __slots__ = (
        "started_wall_ms",
        "is_leaving",
        "paused_until_ms",
        "cold_until_ms",
        "heard_at_ms",
    )

    def __init__(self, started_wall_ms):
        self.started_wall_ms = started_wall_ms
        self.is_leaving = False
        self.paused_until_ms = -inf
        self.cold_until_ms = -inf
        self.heard_at_ms = -inf

    def add(self, notice, now_ms):
        """Add a TargetNotice with bounded durations."""
        self.is_leaving = self.is_leaving or notice.is_leaving
        self.paused_until_ms = max(self.paused_until_ms, now_ms + notice.pause_ms)
        self.cold_until_ms = max(self.cold_until_ms, now_ms + notice.cold_ms)
        self.heard_at_ms = now_ms

    def remaining(self, now_ms):
        """Return the TargetNotice with what remains of its durations."""
        return TargetNotice(
            self.is_leaving,
            max(0.0, self.paused_until_ms - now_ms),
            max(0.0, self.cold_until_ms - now_ms),
        )


class KeptNotices:
    """The kept notices by service and target id, the latest one last."""

    __slots__ = ("_by_target",)

    def __init__(self):
        self._by_target = {}

    def __len__(self):
        return len(self._by_target)

    def keep_heard(self, service, release, now_ms):
        """Keep the notice in a response of a target that a service no longer holds."""
        permit, notice = release.permit, heard_notice(release.result)
        if notice is None:
            return
        if not service.has_start(permit.target_id, permit.started_wall_ms):
            message = NoticeRelayed(
                service.name, permit.target_id, notice, permit.started_wall_ms
            )
            self.keep(message, now_ms)

    def keep(self, message, now_ms):
        """Keep the notice of a NoticeRelayed.

        It is left out if it does not state the start of its target, or if a notice of a
        newer start is kept. The oldest one gives way to one beyond ``N_KEPT_MAX``.
        """
        if not message.started_wall_ms:
            return
        key = (message.service_name, message.target_id)
        kept = self._by_target.get(key)
        if kept is None or kept.started_wall_ms < message.started_wall_ms:
            kept = KeptNotice(message.started_wall_ms)
        elif kept.started_wall_ms > message.started_wall_ms:
            return
        kept.add(bounded_notice(message.notice), now_ms)
        self._by_target.pop(key, None)
        self._by_target[key] = kept
        if len(self._by_target) > N_KEPT_MAX:
            del self._by_target[next(iter(self._by_target))]

    def take(self, entry, now_ms):
        """Return the TargetNotice for a target that is added, or None.

        It is kept on if the entry is of an earlier start, and else no longer.
        """
        key = (entry.service_name, entry.target_id)
        kept = self._by_target.get(key)
        if kept is None or entry.started_wall_ms < kept.started_wall_ms:
            return None
        del self._by_target[key]
        is_expired = now_ms - kept.heard_at_ms > KEPT_MAX_MS
        if is_expired or entry.started_wall_ms > kept.started_wall_ms:
            return None
        return kept.remaining(now_ms)
