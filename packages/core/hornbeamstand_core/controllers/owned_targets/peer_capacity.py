"""The free capacity of this VM's peers for one service."""


class PeerCapacity:
    """The last capacity report of each peer, adjusted by the requests forwarded since.

    ``hop_ms`` is the expected one-way time to a peer.
    """

    __slots__ = ("hop_ms", "_reports")

    def __init__(self, hop_ms):
        self.hop_ms = hop_ms
        self._reports = {}

    def note(self, report):
        """Record a peer's capacity report."""
        self._reports[report.member_id] = report

    def add_estimate(self, report):
        """Record an estimate for a peer that has not sent a report yet."""
        self._reports.setdefault(report.member_id, report)

    def keep_only(self, member_ids):
        """Discard the reports of peers that left the serving set."""
        self._reports = {
            member_id: report
            for member_id, report in self._reports.items()
            if member_id in member_ids
        }

    def find_free(self):
        """Return the id of the peer with the most free slots, or None without any."""
        best = max(
            self._reports.values(), key=lambda report: report.n_free, default=None
        )
        if best is None or best.n_free <= 0:
            return None
        return best.member_id

    def find_shorter_wait(self, local_wait_ms):
        """Return the id of the peer with the shortest wait, or None.

        The result is None unless forwarding saves time. Forwarding takes two hops, so
        the peer's wait must be shorter than the local one by more than that.
        """
        best = min(
            self._reports.values(), key=lambda report: report.wait_ms, default=None
        )
        if best is None or best.wait_ms + 2 * self.hop_ms >= local_wait_ms:
            return None
        return best.member_id

    def count_forwarded(self, member_id):
        """Adjust a peer's last report by one request forwarded to it."""
        report = self._reports[member_id]
        if report.n_free > 0:
            report.n_free -= 1
        else:
            report.n_waiting += 1
