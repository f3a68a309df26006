"""The peers that requests are not relayed to, because relays to them have failed.

A peer whose process is dead may still accept connections, through a proxy or a full
listen queue. Until its heartbeats are missed, only the failed relays tell.
"""

from ...edge_messages import StateChange

# Number of relays to a peer that fail one after another, from which on the peer is
# passed over.
N_FAILURES_MIN = 3
# Minimum and maximum time for which a peer is passed over before one request is relayed
# to it as a trial. The time doubles with every failed trial.
PAUSE_MIN_MS = 250.0
PAUSE_MAX_MS = 4000.0
# Additional time before an order may be the trial. A failed trial costs an order its
# outcome, but an idempotent request only one of its attempts.
ORDER_TRIAL_DELAY_MS = 1000.0


class FailedPeer:
    """The consecutive failed relays to one peer.

    From ``trial_at_ms`` on, one request may be relayed to it. ``is_tried`` is set while
    the outcome of that trial is unknown.
    """

    __slots__ = ("n_failures", "pause_ms", "trial_at_ms", "is_tried")

    def __init__(self):
        self.n_failures = 0
        self.pause_ms = PAUSE_MIN_MS
        self.trial_at_ms = float("-inf")
        self.is_tried = False

    @property
    def is_passed_over(self):
        """Whether requests are not relayed to the peer, except for trials."""
        return self.n_failures >= N_FAILURES_MIN


class PeerFailures:
    """The peers to which relays have failed since the last one that was answered."""

    __slots__ = ("_by_ip",)

    def __init__(self):
        self._by_ip = {}

    def note_relay_end(self, message, now_ms):
        """Record a RelayEnded; return messages."""
        if message.is_answered:
            return self.forget(message.peer_id)
        return self.note_failure(message.peer_id, now_ms)

    def note_failure(self, ip, now_ms):
        """Record a failed relay; return a StateChange if the peer is passed over now.

        Relays that began before the peer was passed over don't lengthen its pause.
        """
        failed = self._by_ip.setdefault(ip, FailedPeer())
        was_passed_over = failed.is_passed_over
        failed.n_failures += 1
        if failed.is_tried:
            failed.is_tried = False
            failed.pause_ms = min(PAUSE_MAX_MS, 2.0 * failed.pause_ms)
            failed.trial_at_ms = now_ms + failed.pause_ms
        if was_passed_over or not failed.is_passed_over:
            return []
        failed.trial_at_ms = now_ms + failed.pause_ms
        detail = f"{failed.n_failures} relays failed"
        return [StateChange("peer", "passed over", ip, detail)]

    def forget(self, ip):
        """Forget the failures of a peer that has answered or has started again.

        Returns a StateChange if it was passed over.
        """
        failed = self._by_ip.pop(ip, None)
        if failed is None or not failed.is_passed_over:
            return []
        return [StateChange("peer", "relayed to again", ip)]

    def keep_only(self, ips):
        """Forget the failures of all other peers: heartbeats tell that they ended."""
        for ip in [ip for ip in self._by_ip if ip not in ips]:
            del self._by_ip[ip]

    def passed_over_ips(self):
        """Return the addresses of the peers that requests are not relayed to."""
        return tuple(ip for ip, failed in self._by_ip.items() if failed.is_passed_over)

    def begin_relay(
        self, ip, is_idempotent, now_ms, order_delay_ms=ORDER_TRIAL_DELAY_MS
    ):
        """Return whether a request may be relayed to a peer now, also as a trial.

        ``order_delay_ms`` is the additional time before an order may be the trial.
        """
        failed = self._by_ip.get(ip)
        if failed is None or not failed.is_passed_over:
            return True
        delay_ms = 0.0 if is_idempotent else order_delay_ms
        if now_ms < failed.trial_at_ms + delay_ms:
            return False
        failed.is_tried = True
        failed.trial_at_ms = now_ms + failed.pause_ms
        return True
