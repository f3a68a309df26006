"""When the store served again after it came back from an older copy.

A VM may notice the return late: its watch waits on a connection that the store knows
nothing of any more. Targets write themselves again from the return on, so what is kept
for that is kept from the first read that any VM has made in the era.
"""

from math import inf


class StoreReturn:
    """The first read of an era, by this VM or as the heartbeats of its peers tell it.

    Parameters
    ----------
    peers : PeerView
        Holds the era that this VM knows, and the peers to tell of it.
    """

    __slots__ = ("_peers", "_peer_era", "_peer_read_at_ms", "_is_unread")

    def __init__(self, peers):
        self._peers = peers
        # The latest era in which a peer has read the store, and when that was heard.
        self._peer_era = 0
        self._peer_read_at_ms = inf
        # Set from the begin of an era until this VM has read the store in it.
        self._is_unread = False

    def note_peer(self, heartbeat, now_ms):
        """Note whether a peer is the first one heard to have read in a later era.

        A revision of 0 means that it has not: an error of the store states its era too.
        """
        if not heartbeat.is_watching or heartbeat.revision == 0:
            return
        if heartbeat.era > max(self._peers.era, self._peer_era):
            self._peer_era = heartbeat.era
            self._peer_read_at_ms = now_ms

    def begin(self, now_ms):
        """Begin the era that this VM knows; return when the store served in it."""
        self._is_unread = True
        if self._peer_era == self._peers.era:
            return min(now_ms, self._peer_read_at_ms)
        return now_ms

    def note_read(self):
        """Make heartbeats to peers due in the next round after an era's first read.

        Those that follow the store get one if they have not stated the era. They say
        that they don't watch it while it is unavailable to them.
        """
        if not self._is_unread:
            return
        self._is_unread = False
        for peer in self._peers.peers.values():
            follows = peer.heartbeat.is_watching or peer.heartbeat.is_preferred
            if follows and peer.heartbeat.era < self._peers.era:
                peer.sent_at_ms = -inf
