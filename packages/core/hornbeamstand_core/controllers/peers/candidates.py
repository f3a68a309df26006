"""Which entry VMs may own a service or be named in lookups."""

from math import inf

from .settling import SETTLED_SPREAD_MS


class CandidateList:
    """The VMs that may own a service, by their heartbeats.

    ``state`` is that of the peers and of this VM from which the list follows, and
    ``valid_until_ms`` when it may change without a change of that state.
    """

    __slots__ = ("state", "heartbeats", "valid_until_ms")

    def __init__(self, state, heartbeats, valid_until_ms):
        self.state = state
        self.heartbeats = heartbeats
        self.valid_until_ms = valid_until_ms


class Candidates:
    """The candidates among this VM and its peers.

    Parameters
    ----------
    view : PeerView
        The peers, and what this VM says of itself.
    """

    __slots__ = ("view", "_list", "_n_changes", "_has_settled")

    def __init__(self, view):
        self.view = view
        self._list = CandidateList((), (), -inf)
        # Number of changes of peers that may have changed the candidates.
        self._n_changes = 0
        # Whether the last list had settled VMs only.
        self._has_settled = False

    def note_change(self):
        """Record a change of the peers that may have changed the candidates."""
        self._n_changes += 1

    def heartbeats(self, now_ms):
        """Return the heartbeats of the VMs that may own a service.

        VMs that are not settled are among them only if none has been settled for some
        time: those that start together settle together, but hear it of each other with
        their next heartbeats. The same list is returned until a change of the peers or
        of this VM, or until one of the candidates becomes silent.
        """
        view = self.view
        state = (
            self._n_changes,
            view.is_serving,
            view.is_stopping,
            view.is_preferred,
            view.settling.is_settled(now_ms),
        )
        if state != self._list.state or now_ms > self._list.valid_until_ms:
            self._list = self._make_list(state, now_ms)
        return self._list.heartbeats

    def _make_list(self, state, now_ms):
        view = self.view
        peers = [
            peer for peer in view.peers.values() if self._is_candidate(peer, now_ms)
        ]
        heartbeats = [peer.heartbeat for peer in peers]
        settled_at_ms = [peer.settled_at_ms for peer in peers]
        if view.is_serving and not view.is_stopping:
            heartbeats.append(view.own_heartbeat(now_ms))
            settled_at_ms.append(view.settling.settled_at_ms)
        valid_until_ms = min((view.silent_at_ms(peer) for peer in peers), default=inf)
        all_heard_at_ms = min(settled_at_ms, default=inf) + SETTLED_SPREAD_MS
        settled = [heartbeat for heartbeat in heartbeats if heartbeat.is_settled]
        self._has_settled = bool(settled) and (
            self._has_settled or now_ms >= all_heard_at_ms
        )
        if settled and not self._has_settled:
            valid_until_ms = min(valid_until_ms, all_heard_at_ms)
            return CandidateList(state, heartbeats, valid_until_ms)
        return CandidateList(state, settled or heartbeats, valid_until_ms)

    def _is_candidate(self, peer, now_ms):
        """Return whether a peer may own a service or be named in lookups.

        A peer of another failure domain may do so only while both VMs are preferred
        and exchange heartbeats often. The loss of any other would be noticed too late.
        """
        heartbeat = peer.heartbeat
        if not is_serving_on(heartbeat) or self.view.is_silent(peer, now_ms):
            return False
        if heartbeat.failure_domain == self.view.me.failure_domain:
            return True
        return heartbeat.is_preferred and self.view.is_preferred


def is_serving_on(heartbeat):
    """Return whether a VM serves and does not stop, by its heartbeat."""
    return heartbeat.is_serving and not heartbeat.is_stopping


def keeps_candidates(earlier, heartbeat):
    """Return whether a list of candidates holds with a peer's next heartbeat."""
    return candidate_state(earlier) == candidate_state(heartbeat)


def candidate_state(heartbeat):
    """Return the fields of a heartbeat from which the candidates follow."""
    return (
        heartbeat.is_serving,
        heartbeat.is_stopping,
        heartbeat.is_settled,
        heartbeat.is_preferred,
        heartbeat.capacity,
        heartbeat.failure_domain,
    )
