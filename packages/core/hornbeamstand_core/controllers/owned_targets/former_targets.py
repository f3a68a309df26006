"""The targets that a VM has passed to other VMs, with its requests still in flight."""

from ...peer_messages import HandOverRecord
from .results import may_still_run


def target_key(service_name, target_id):
    """Return the key of a target in the messages between entry VMs."""
    return f"{service_name}/{target_id}"


class FormerTarget:
    """A target that this VM no longer owns, and its requests still in flight there.

    ``owner_id`` is the new owner, or None if the target has none. ``state`` is the
    TargetState at the end of the ownership, in which this VM still counts its requests.
    """

    __slots__ = ("service_name", "owner_id", "state")

    def __init__(self, service_name, owner_id, state):
        self.service_name = service_name
        self.owner_id = owner_id
        self.state = state


class FormerTargets:
    """The former targets of this VM, and their hand-over records.

    ``_by_key`` maps ``service/target`` to a FormerTarget, and ``_records`` to a
    HandOverRecord of the current epoch that the new owner has not accepted yet.
    """

    __slots__ = ("_by_key", "_records")

    def __init__(self):
        self._by_key = {}
        self._records = {}

    def add(self, service_name, state, owner_id, epoch, now_ms):
        """Add a target that this VM owned until now, and record its hand-over.

        ``owner_id`` is the owner in the new epoch ``epoch``, or None.
        """
        key = target_key(service_name, state.target_id)
        self._by_key[key] = FormerTarget(service_name, owner_id, state)
        self._records[key] = HandOverRecord(
            service_name,
            state.target_id,
            epoch.view_version,
            epoch.config_version,
            state.n_own(now_ms),
            dict(state.inherited_counts),
            state.phase,
            state.limit,
            state.latency_ms,
            state.start_id,
        )

    def drop_records(self):
        """Drop the records, which belong to an earlier epoch."""
        self._records = {}

    def update_owners(self, owners_by_service, now_ms):
        """Adopt the new owners; forget targets without requests and without a record.

        ``owners_by_service`` maps a service's name to a dict of target id to owner id.
        """
        for key, former in list(self._by_key.items()):
            owners = owners_by_service.get(former.service_name, {})
            former.owner_id = owners.get(former.state.target_id)
            if former.state.n_own(now_ms) == 0 and key not in self._records:
                del self._by_key[key]

    def remove_accepted(self, heartbeat):
        """Remove the records that the sender of a current heartbeat has accepted."""
        for key in list(self._records):
            owner_id = self._by_key[key].owner_id
            if owner_id == heartbeat.sender_id and key not in heartbeat.pending:
                del self._records[key]

    def take_state(self, key):
        """Forget a target that this VM owns again; return its last state, or None."""
        former = self._by_key.pop(key, None)
        return former.state if former is not None else None

    def records_for(self, member_id):
        """Return the hand-over records that the new owner has not accepted yet."""
        return [
            record
            for key, record in self._records.items()
            if self._by_key[key].owner_id == member_id
        ]

    def draining_for(self, member_id, now_ms):
        """Return the counts of this VM's requests in flight on a peer's targets."""
        draining = {}
        for key, former in self._by_key.items():
            n_left = former.state.n_own(now_ms)
            if former.owner_id == member_id and n_left > 0:
                draining[key] = n_left
        return draining

    def note_release(self, message, now_ms):
        """Record the Release of a request on a target that this VM no longer owns."""
        permit = message.permit
        former = self._by_key.get(target_key(permit.service_name, permit.target_id))
        if former is not None:
            is_abandoned = may_still_run(message.result)
            former.state.end_request(permit.request_id, is_abandoned, now_ms)

    def awaits_owner(self, is_gone, now_ms):
        """Return whether a new owner has yet to accept a hand-over record.

        An owner of which ``is_gone(member_id)`` holds is only awaited while requests of
        this VM are in flight on its target.
        """
        for key in self._records:
            former = self._by_key[key]
            if former.owner_id is None:
                continue
            if former.state.n_own(now_ms) > 0 or not is_gone(former.owner_id):
                return True
        return False
