"""Which notices of a target a VM passes on to the owners of the target's service.

A VM that heard a notice from the target itself tells the owners in all failure domains.
A notice that came from a peer is not passed on: the peer has told them. A pause is not
passed on either: the target asks for it from the VM that it answered.
"""

from math import inf

from ...edge_messages import NoticeRelayed, TargetNotice
from ...edge_node_messages import SendNotice

# Minimum extension of a cold start that is passed on. The same end, stated
# in two answers, differs by the time that they took.
EXTENSION_MIN_MS = 100.0
# Minimum interval between two datagrams about one target to the same owner. The first
# one that states that the target leaves is sent at once.
SHARE_INTERVAL_MS = 100.0
# Maximum duration that is taken from a peer's notice.
NOTICE_MAX_MS = 120_000.0


class SharedNotices:
    """What the owners of a target's service were told about the target.

    ``sent_at_ms`` is when this VM last tried to tell them. Times that they were never
    told are -inf.
    """

    __slots__ = ("is_leaving", "cold_until_ms", "sent_at_ms")

    def __init__(self):
        self.is_leaving = False
        self.cold_until_ms = -inf
        self.sent_at_ms = -inf

    def note_shared(self, target):
        """Record that the owners know the present state of the target."""
        self.is_leaving = target.is_leaving
        self.cold_until_ms = target.cold_until_ms

    def is_due(self, target, now_ms):
        """Return whether the owners have to be told the present state of the target."""
        if target.is_leaving and not self.is_leaving:
            return True
        if now_ms - self.sent_at_ms < SHARE_INTERVAL_MS:
            return False
        return is_extended(self.cold_until_ms, target.cold_until_ms, now_ms)


def is_extended(shared_until_ms, until_ms, now_ms):
    """Return whether a time ends notably later than now and than was told."""
    return until_ms - max(shared_until_ms, now_ms) >= EXTENSION_MIN_MS


def share_notices(target, owner_ips, now_ms):
    """Return the messages that tell owners what a target has just said of itself.

    Times are stated as durations from now, because the clocks of VMs differ. Without
    any owner that could be told, the next answer of the target tries again.
    """
    shared = target.shared_notices
    shared.sent_at_ms = now_ms
    if owner_ips:
        shared.note_shared(target)
    entry = target.entry
    cold_ms = max(0.0, target.cold_until_ms - now_ms)
    notice = TargetNotice(target.is_leaving, cold_ms=cold_ms)
    message = NoticeRelayed(
        entry.service_name, entry.target_id, notice, entry.started_wall_ms
    )
    return [SendNotice(ip, message) for ip in owner_ips]


def bounded_notice(notice):
    """Return a peer's TargetNotice with durations from 0 to ``NOTICE_MAX_MS``."""
    return TargetNotice(
        notice.is_leaving,
        bounded_duration_ms(notice.pause_ms),
        bounded_duration_ms(notice.cold_ms),
        notice.ignored,
    )


def bounded_duration_ms(duration_ms):
    """Return a duration from 0 to ``NOTICE_MAX_MS``; 0 if it is not a number."""
    return min(NOTICE_MAX_MS, max(0.0, duration_ms))
