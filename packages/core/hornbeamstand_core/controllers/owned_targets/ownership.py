"""The targets that this VM owns or waits for.

A target that is newly assigned to the VM is pending until it may be used. It may be
used once the old owner's hand-over record for the same epoch has arrived. Without a
record, it may be used once every member of the view has sent a heartbeat at that epoch,
and the lease and the longest possible request of each crashed member have ended.
"""

from ...assignment import assign_owners, serving_set
from ...balancer_messages import CapacityReport, OwnershipChange
from ...records import Record
from ...view import Epoch, View
from ..cell.fence import DRIFT_RATIO
from .former_targets import FormerTargets, target_key


class PendingTarget(Record):
    """A target that is assigned to this VM, which may not use it yet."""

    __slots__ = ("service_name", "target_id")

    def __init__(self, service_name, target_id):
        self.service_name = service_name
        self.target_id = target_id


class CrashedMember(Record):
    """A member that was removed from the view without a clean exit.

    It may have crashed or be cut off from the others. ``last_echo_at_ms`` is the latest
    known time at which a member echoed it.
    """

    __slots__ = ("last_echo_at_ms",)

    def __init__(self, last_echo_at_ms):
        self.last_echo_at_ms = last_echo_at_ms


class Ownership:
    """The controller that aligns the balancer's targets with the current epoch.

    Parameters
    ----------
    member_id : str
        This VM.
    balancer : Balancer
        The controller that gains and loses the targets.
    lease_ms : float
        Lease time of every member.
    configuration : Configuration
        The configuration in force at the start.
    joined_at_ms : float
        When this VM joined. Events before that time are unknown to it.

    Attributes
    ----------
    owners : dict
        By service: a dict of target id to owner id.
    serving_sets : dict
        By service: the ids of the members that serve it.
    pending : dict
        By ``service/target``: the PendingTarget.
    crashed : dict
        By member id: the CrashedMember whose requests may still run.
    ownership_changes : list of OwnershipChange
        Changes that have not been logged yet.

    former_targets : FormerTargets
        The targets that this VM has passed on.

    ``_heartbeats`` maps a member id to the member's latest heartbeat.
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
        "crashed",
        "ownership_changes",
        "former_targets",
        "_joined_at_ms",
        "_heartbeats",
    )

    def __init__(self, member_id, balancer, lease_ms, configuration, joined_at_ms):
        self.member_id = member_id
        self.balancer = balancer
        self.lease_ms = lease_ms
        self.view = View.empty()
        self.configuration = configuration
        self.owners = {}
        self.serving_sets = {}
        self.pending = {}
        self.crashed = {}
        self.ownership_changes = []
        self.former_targets = FormerTargets()
        self._joined_at_ms = joined_at_ms
        self._heartbeats = {}

    @property
    def epoch(self):
        """The epoch that determines the current owners."""
        return Epoch(self.view.version, self.configuration.version)

    # Adopting an epoch.

    def adopt_view(self, view, last_echo_at_ms, now_ms):
        """Adopt a newer view and reassign the targets.

        ``last_echo_at_ms`` maps a member id to the time of this VM's last echo.
        """
        for member_id in self.view.members:
            is_clean = member_id in view.clean_exits
            if member_id in view.members or is_clean:
                continue
            at_ms = last_echo_at_ms.get(member_id, now_ms)
            self.crashed[member_id] = CrashedMember(at_ms)
        was_member = self.member_id in self.view.members
        self._heartbeats = {
            m: h for m, h in self._heartbeats.items() if m in view.members
        }
        self.view = view
        if not was_member:
            self._joined_at_ms = now_ms
        self._reassign(set(self.configuration.services), now_ms)

    def adopt_configuration(self, configuration, now_ms):
        """Adopt a newer configuration and reassign the targets that it concerns."""
        changed = self._changed_services(configuration)
        self.configuration = configuration
        self._reassign(changed, now_ms)

    def _changed_services(self, configuration):
        earlier = self.configuration
        if configuration.failure_domains != earlier.failure_domains:
            return set(configuration.services)
        return {
            name
            for name, spec in configuration.services.items()
            if earlier.services.get(name) is not spec or name not in self.owners
        }

    def _reassign(self, changed, now_ms):
        self.former_targets.drop_records()
        next_owners = self._compute_owners(changed)
        self._release_targets(next_owners, now_ms)
        self.former_targets.update_owners(next_owners, now_ms)
        self.owners = next_owners
        self.pending = {}
        for name, spec in self.configuration.services.items():
            service = self.balancer.add_service(name, spec)
            if name in changed:
                service.adopt_spec(spec, self.configuration.is_open)
                self._update_peers(service, spec)
            self._add_pending(service)
        self.activate_pending(now_ms)

    def _compute_owners(self, changed):
        serving_sets = {}
        owners = {}
        for name, spec in self.configuration.services.items():
            if name not in changed:
                serving_sets[name] = self.serving_sets[name]
                owners[name] = self.owners[name]
                continue
            members = serving_set(self.view, name, spec.serving_set_size)
            serving_sets[name] = members
            owners[name] = assign_owners(self.view, name, spec)
        self.serving_sets = serving_sets
        return owners

    def _release_targets(self, next_owners, now_ms):
        for name, service in self.balancer.services.items():
            new_owners = next_owners.get(name, {})
            for target_id in list(service.targets):
                if new_owners.get(target_id) != self.member_id:
                    state = service.lose_target(target_id)
                    to = new_owners.get(target_id) or "nobody"
                    self._note_ownership_change(name, target_id, "release", f"to {to}")
                    self.former_targets.add(
                        name, state, new_owners.get(target_id), self.epoch, now_ms
                    )

    def _update_peers(self, service, spec):
        members = [m for m in self.serving_sets[service.name] if m != self.member_id]
        service.peers.keep_only(members)
        # Before its first report, a peer counts as having no free slot and an expected
        # wait of 1 ms.
        for member_id in members:
            service.peers.add_estimate(
                CapacityReport(service.name, member_id, 0, 0, 1.0)
            )

    def _add_pending(self, service):
        for target_id, owner_id in self.owners[service.name].items():
            if owner_id == self.member_id and target_id not in service.targets:
                key = target_key(service.name, target_id)
                self.pending[key] = PendingTarget(service.name, target_id)

    # Heartbeats.

    def note_heartbeat(self, heartbeat, now_ms):
        """Record the epoch, hand-over records and counts in a peer's heartbeat."""
        self._heartbeats[heartbeat.sender_id] = heartbeat
        if self._is_current(heartbeat):
            self.former_targets.remove_accepted(heartbeat)
        for member_id, silent_ms in heartbeat.silent_ms.items():
            self._note_last_echo(member_id, now_ms - silent_ms)
        if self._is_current(heartbeat):
            self._note_draining(heartbeat)
        self.activate_pending(now_ms)

    def _is_current(self, message):
        """Return whether a heartbeat or record belongs to the current epoch."""
        return Epoch(message.view_version, message.config_version) == self.epoch

    def _note_last_echo(self, member_id, echo_at_ms):
        crashed = self.crashed.get(member_id)
        if crashed is not None:
            crashed.last_echo_at_ms = max(crashed.last_echo_at_ms, echo_at_ms)

    def _note_draining(self, heartbeat):
        sender_id = heartbeat.sender_id
        for service in self.balancer.services.values():
            for target_id, state in service.targets.items():
                key = target_key(service.name, target_id)
                n_left = heartbeat.draining.get(key, 0)
                state.set_inherited(sender_id, n_left)

    def _accept_record(self, record, sender_id, now_ms):
        key = target_key(record.service_name, record.target_id)
        if key not in self.pending or not self._is_current(record):
            return
        state = self._activate_target(key, f"handed over by {sender_id}")
        for member_id, n_left in record.inherited_counts.items():
            state.set_inherited(member_id, n_left)
        state.set_inherited(sender_id, record.n_in_flight)
        state.phase = record.phase
        state.limit = record.limit
        state.latency_ms = record.latency_ms
        state.sampled_at_ms = now_ms
        state.start_id = record.start_id

    def _note_ownership_change(self, service_name, target_id, action, detail):
        self.ownership_changes.append(
            OwnershipChange(service_name, target_id, action, detail)
        )

    def take_ownership_changes(self):
        """Return the ownership changes since the last call, for the log."""
        ownership_changes, self.ownership_changes = self.ownership_changes, []
        return ownership_changes

    def _activate_target(self, key, detail):
        pending = self.pending.pop(key)
        service = self.balancer.services[pending.service_name]
        spec = service.spec.targets[pending.target_id]
        is_open = self.configuration.is_open(spec)
        state = service.gain_target(pending.target_id, is_open)
        self._note_ownership_change(
            pending.service_name, pending.target_id, "own", detail
        )
        former_state = self.former_targets.take_state(key)
        if former_state is not None:
            state.started_at_ms = former_state.started_at_ms
            state.lingering_until_ms = former_state.lingering_until_ms
        for member_id, heartbeat in self._heartbeats.items():
            if self._is_current(heartbeat):
                state.set_inherited(member_id, heartbeat.draining.get(key, 0))
        return state

    # Activation of pending targets.

    def activate_pending(self, now_ms):
        """Begin to use the pending targets whose old owners may no longer use them."""
        self._expire_crashed(now_ms)
        if not self.pending:
            return
        self._accept_records(now_ms)
        if not self._is_epoch_agreed():
            return
        for key, pending in list(self.pending.items()):
            spec = self.configuration.services[pending.service_name]
            if now_ms >= self._takeover_at_ms(spec.deadline_max_ms):
                self._activate_target(key, "all members agree; cold start")

    def _accept_records(self, now_ms):
        # A peer may have adopted this epoch earlier than this VM, so that records
        # from earlier heartbeats become acceptable only now.
        for sender_id, heartbeat in self._heartbeats.items():
            for record in heartbeat.records:
                self._accept_record(record, sender_id, now_ms)

    def _expire_crashed(self, now_ms):
        for member_id, crashed in list(self.crashed.items()):
            work_end_at_ms = crashed.last_echo_at_ms + self.takeover_wait_max_ms()
            if now_ms < work_end_at_ms:
                continue
            del self.crashed[member_id]
            for service in self.balancer.services.values():
                for state in service.targets.values():
                    state.set_inherited(member_id, 0)

    def takeover_wait_max_ms(self):
        """Return how long a removed member's requests may run after its last echo."""
        specs = self.configuration.services.values()
        deadline_max_ms = max((spec.deadline_max_ms for spec in specs), default=0)
        return self.lease_ms * (1.0 + DRIFT_RATIO) + deadline_max_ms

    def _is_epoch_agreed(self):
        if self.member_id not in self.view.members:
            return False
        others = [m for m in self.view.members if m != self.member_id]
        heartbeats = [self._heartbeats.get(member_id) for member_id in others]
        return all(h is not None and self._is_current(h) for h in heartbeats)

    def _takeover_at_ms(self, deadline_max_ms):
        last_ms = [member.last_echo_at_ms for member in self.crashed.values()]
        last_ms.append(self._joined_at_ms)
        wait_ms = self.lease_ms * (1.0 + DRIFT_RATIO) + deadline_max_ms
        return max(last_ms) + wait_ms
