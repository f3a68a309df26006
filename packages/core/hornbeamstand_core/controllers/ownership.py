"""Which targets this VM owns, may use, waits for or has passed on.

A target that this VM gains is pending until its old owner's hand-over record
for the same epoch arrives, or until every member of the view was heard at that
epoch and the lease and the longest request of each crashed member are over.
"""

from ..assignment import assign_owners, serving_set
from ..messages import RoomNews
from ..peer_messages import HandOverRecord
from ..records import Record
from ..view import Epoch, View
from .fence import DRIFT_RATIO


def target_key(service_name, target_id):
    """Return the name of a target in peer messages."""
    return f"{service_name}/{target_id}"


class Pending(Record):
    """One gained target that may not be used yet."""

    __slots__ = ("service_name", "target_id")

    def __init__(self, service_name, target_id):
        self.service_name = service_name
        self.target_id = target_id


class Departed(Record):
    """A member that vanished without a clean exit."""

    __slots__ = ("last_echo_at_ms",)

    def __init__(self, last_echo_at_ms):
        self.last_echo_at_ms = last_echo_at_ms


class Ownership:
    """Hold the balancer's targets to the owners of the current epoch.

    Parameters
    ----------
    member_id : str
        This VM.
    balancer : Balancer
        Gains and loses targets.
    lease_ms : float
        The members' lease time.
    started_at_ms : float
        When this VM joined; what came before it is unknown to it.
    """

    __slots__ = (
        "member_id",
        "balancer",
        "lease_ms",
        "view",
        "configuration",
        "owners",
        "serving_sets",
        "pending",
        "departed",
        "_started_at_ms",
        "_heard_epochs",
        "_records",
        "_lost_in_flight",
        "_heard_draining",
    )

    def __init__(self, member_id, balancer, lease_ms, configuration, started_at_ms):
        self.member_id = member_id
        self.balancer = balancer
        self.lease_ms = lease_ms
        self.view = View.empty()
        self.configuration = configuration
        self.owners = {}
        self.serving_sets = {}
        self.pending = {}
        self.departed = {}
        self._started_at_ms = started_at_ms
        self._heard_epochs = {}
        self._records = {}
        self._lost_in_flight = {}
        self._heard_draining = {}

    @property
    def epoch(self):
        """Return the epoch that the owners belong to."""
        return Epoch(self.view.version, self.configuration.version)

    # Adopting an epoch.

    def adopt_view(self, view, last_echo_at_ms, now_ms):
        """Take a newer view; ``last_echo_at_ms`` maps members to times."""
        for member_id in self.view.members:
            is_clean = member_id in view.clean_exits
            if member_id in view.members or is_clean:
                continue
            at_ms = last_echo_at_ms.get(member_id, now_ms)
            self.departed[member_id] = Departed(at_ms)
        was_member = self.member_id in self.view.members
        self.view = view
        if not was_member:
            self._started_at_ms = now_ms
        self._reassign(now_ms)

    def adopt_configuration(self, configuration, now_ms):
        """Take a newer configuration."""
        self.configuration = configuration
        self._reassign(now_ms)

    def _reassign(self, now_ms):
        self._records = {}
        wanted = self._compute_owners()
        self._lose_targets(wanted)
        self._redirect_lost(wanted)
        self.owners = wanted
        self.pending = {}
        for name, spec in self.configuration.services.items():
            service = self.balancer.add_service(name, spec)
            service.adopt_spec(spec, self.configuration.is_open)
            self._note_peers(service, spec)
            self._want_targets(service)
        self.settle(now_ms)

    def _compute_owners(self):
        self.serving_sets = {}
        owners = {}
        for name, spec in self.configuration.services.items():
            members = serving_set(self.view, name, spec.serving_set_size)
            self.serving_sets[name] = members
            owners[name] = assign_owners(self.view, name, spec)
        return owners

    def _lose_targets(self, wanted):
        for name, service in self.balancer.services.items():
            new_owners = wanted.get(name, {})
            for target_id in list(service.targets):
                if new_owners.get(target_id) != self.member_id:
                    state = service.lose_target(target_id)
                    self._keep_record(name, state, new_owners.get(target_id))

    def _redirect_lost(self, wanted):
        owner_by_key = {
            target_key(name, target_id): owner_id
            for name, owners in wanted.items()
            for target_id, owner_id in owners.items()
        }
        for key, (_, started) in list(self._lost_in_flight.items()):
            if started:
                self._lost_in_flight[key] = (owner_by_key.get(key), started)
            elif key not in self._records:
                del self._lost_in_flight[key]

    def _keep_record(self, name, state, new_owner_id):
        key = target_key(name, state.target_id)
        self._lost_in_flight[key] = (new_owner_id, state.started_at_ms)
        epoch = self.epoch
        self._records[key] = HandOverRecord(
            name,
            state.target_id,
            epoch.view_version,
            epoch.config_version,
            len(state.started_at_ms),
            dict(state.inherited_counts),
            state.phase,
            state.limit,
            state.latency_ms,
            state.start_id,
        )

    def _note_peers(self, service, spec):
        members = [m for m in self.serving_sets[service.name] if m != self.member_id]
        service.peers.keep_only(members)
        for member_id in members:
            service.peers.introduce(RoomNews(service.name, member_id, 0, 0, 1.0))

    def _want_targets(self, service):
        for target_id, owner_id in self.owners[service.name].items():
            if owner_id == self.member_id and target_id not in service.targets:
                key = target_key(service.name, target_id)
                self.pending[key] = Pending(service.name, target_id)

    # Heartbeats.

    def note_heartbeat(self, heartbeat, now_ms):
        """Take a peer's epoch, records and counts."""
        epoch = Epoch(heartbeat.view_version, heartbeat.config_version)
        self._heard_epochs[heartbeat.sender_id] = epoch
        self._heard_draining[heartbeat.sender_id] = heartbeat.draining
        self._forget_records(heartbeat)
        for member_id, silent_ms in heartbeat.silent_ms.items():
            self._note_silence(member_id, now_ms - silent_ms)
        if epoch != self.epoch:
            return
        self._note_draining(heartbeat)
        for record in heartbeat.records:
            self._accept(record, heartbeat.sender_id, now_ms)
        self.settle(now_ms)

    def _note_silence(self, member_id, echo_at_ms):
        departed = self.departed.get(member_id)
        if departed is not None:
            departed.last_echo_at_ms = max(departed.last_echo_at_ms, echo_at_ms)

    def _note_draining(self, heartbeat):
        sender_id = heartbeat.sender_id
        for service in self.balancer.services.values():
            for target_id, state in service.targets.items():
                key = target_key(service.name, target_id)
                n_left = heartbeat.draining.get(key, 0)
                state.set_inherited(sender_id, n_left)

    def _accept(self, record, sender_id, now_ms):
        key = target_key(record.service_name, record.target_id)
        is_current = (record.view_version, record.config_version) == (
            self.view.version,
            self.configuration.version,
        )
        if key not in self.pending or not is_current:
            return
        state = self._start(key)
        for member_id, n_left in record.inherited_counts.items():
            state.set_inherited(member_id, n_left)
        state.set_inherited(sender_id, record.n_in_flight)
        state.phase = record.phase
        state.limit = record.limit
        state.latency_ms = record.latency_ms
        state.sampled_at_ms = now_ms
        state.start_id = record.start_id

    def _start(self, key):
        pending = self.pending.pop(key)
        service = self.balancer.services[pending.service_name]
        spec = service.spec.targets[pending.target_id]
        is_open = self.configuration.is_open(spec)
        state = service.gain_target(pending.target_id, is_open)
        _, still_started = self._lost_in_flight.pop(key, (None, {}))
        state.started_at_ms.update(still_started)
        for member_id, draining in self._heard_draining.items():
            # A peer may have reached this epoch, and said so, before this VM.
            if self._heard_epochs[member_id] == self.epoch:
                state.set_inherited(member_id, draining.get(key, 0))
        return state

    def _forget_records(self, heartbeat):
        is_same = heartbeat.view_version == self.view.version
        if not is_same or heartbeat.config_version != self.configuration.version:
            return
        for key in list(self._records):
            owner_id, _ = self._lost_in_flight[key]
            if owner_id == heartbeat.sender_id and key not in heartbeat.pending:
                del self._records[key]

    def records_for(self, member_id):
        """Return the hand-over records that a peer has not taken yet."""
        return [
            record
            for key, record in self._records.items()
            if self._lost_in_flight[key][0] == member_id
        ]

    def draining_for(self, member_id):
        """Return this VM's requests in flight on targets that a peer owns."""
        return {
            key: len(started)
            for key, (owner_id, started) in self._lost_in_flight.items()
            if owner_id == member_id and started
        }

    def note_release(self, permit):
        """Count the end of a request on a target that was passed on."""
        key = target_key(permit.service_name, permit.target_id)
        if key in self._lost_in_flight:
            self._lost_in_flight[key][1].pop(permit.request_id, None)

    # Taking pending targets.

    def settle(self, now_ms):
        """Start pending targets whose old owners are known to have stopped."""
        self._forget_departed(now_ms)
        if not self.pending or not self._is_epoch_agreed():
            return
        for key, pending in list(self.pending.items()):
            spec = self.configuration.services[pending.service_name]
            if now_ms >= self._safe_at_ms(spec.deadline_max_ms):
                self._start(key)

    def _forget_departed(self, now_ms):
        for member_id, departed in list(self.departed.items()):
            over_ms = departed.last_echo_at_ms + self.longest_wait_ms()
            if now_ms < over_ms:
                continue
            del self.departed[member_id]
            for service in self.balancer.services.values():
                for state in service.targets.values():
                    state.set_inherited(member_id, 0)

    def longest_wait_ms(self):
        """Return how long after its last echo a vanished member's work may run."""
        specs = self.configuration.services.values()
        deadline_max_ms = max((spec.deadline_max_ms for spec in specs), default=0)
        return self.lease_ms * (1.0 + DRIFT_RATIO) + deadline_max_ms

    def _is_epoch_agreed(self):
        if self.member_id not in self.view.members:
            return False
        others = [m for m in self.view.members if m != self.member_id]
        epoch = self.epoch
        return all(self._heard_epochs.get(member_id) == epoch for member_id in others)

    def _safe_at_ms(self, deadline_max_ms):
        last_ms = [d.last_echo_at_ms for d in self.departed.values()]
        last_ms.append(self._started_at_ms)
        wait_ms = self.lease_ms * (1.0 + DRIFT_RATIO) + deadline_max_ms
        return max(last_ms) + wait_ms

    def has_records(self):
        """Tell whether a hand-over record has not been taken yet."""
        return any(self._lost_in_flight[key][0] for key in self._records)
