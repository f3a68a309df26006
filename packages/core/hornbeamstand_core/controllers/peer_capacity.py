"""What this VM knows of its peers' spare room for one service."""


class PeerCapacity:
    """The newest news of each peer, less what was handed over since."""

    __slots__ = ("hop_ms", "_reports")

    def __init__(self, hop_ms):
        self.hop_ms = hop_ms
        self._reports = {}

    def note(self, report):
        """Take a peer's news."""
        self._reports[report.member_id] = report

    def add_estimate(self, report):
        """Take a first guess of a peer not heard of yet."""
        self._reports.setdefault(report.member_id, report)

    def keep_only(self, member_ids):
        """Forget peers that left the serving set."""
        self._reports = {
            member_id: report
            for member_id, report in self._reports.items()
            if member_id in member_ids
        }

    def find_free(self):
        """Return the peer with the most free slots, or None."""
        best = max(
            self._reports.values(), key=lambda report: report.n_free, default=None
        )
        if best is None or best.n_free <= 0:
            return None
        return best.member_id

    def find_shorter_wait(self, local_wait_ms):
        """Return a peer whose queue is shorter by more than the way there."""
        best = min(
            self._reports.values(), key=lambda report: report.wait_ms, default=None
        )
        if best is None or best.wait_ms + 2 * self.hop_ms >= local_wait_ms:
            return None
        return best.member_id

    def count_forwarded(self, member_id):
        """Count one request handed to a peer against its last news."""
        report = self._reports[member_id]
        if report.n_free > 0:
            report.n_free -= 1
        else:
            report.n_waiting += 1
