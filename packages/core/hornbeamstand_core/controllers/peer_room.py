"""What this VM knows of its peers' spare room for one service."""


class PeerRoom:
    """The newest news of each peer, less what was handed over since."""

    __slots__ = ("hop_ms", "_news")

    def __init__(self, hop_ms):
        self.hop_ms = hop_ms
        self._news = {}

    def note(self, news):
        """Take a peer's news."""
        self._news[news.member_id] = news

    def introduce(self, news):
        """Take a first guess of a peer not heard of yet."""
        self._news.setdefault(news.member_id, news)

    def keep_only(self, member_ids):
        """Forget peers that left the serving set."""
        self._news = {
            member_id: news
            for member_id, news in self._news.items()
            if member_id in member_ids
        }

    def find_free(self):
        """Return the peer with the most free slots, or None."""
        best = max(self._news.values(), key=lambda news: news.n_free, default=None)
        if best is None or best.n_free <= 0:
            return None
        return best.member_id

    def find_shorter(self, local_wait_ms):
        """Return a peer whose queue is shorter by more than the way there."""
        best = min(self._news.values(), key=lambda news: news.wait_ms, default=None)
        if best is None or best.wait_ms + 2 * self.hop_ms >= local_wait_ms:
            return None
        return best.member_id

    def count_handed(self, member_id):
        """Count one request handed to a peer against its last news."""
        news = self._news[member_id]
        if news.n_free > 0:
            news.n_free -= 1
        else:
            news.n_waiting += 1
