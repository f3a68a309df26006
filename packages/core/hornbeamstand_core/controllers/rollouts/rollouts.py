"""The roll-outs of all services: orders, statuses and reports, as one VM handles them.

Each owner judges by its own answers and by those that the others report, and acts at
once. The first owner of a service writes the status, and the next ones do if it hasn't.
"""

from ...edge_messages import StateChange
from ...rollout_messages import (
    InvalidRolloutOrder,
    RolloutOrder,
    RolloutReport,
    RolloutStatus,
    RolloutWriteEnded,
    WriteRolloutStatus,
)
from .participants import Participants
from .rollout import Rollout
from .state import (
    OrderRemoved,
    OrderSeen,
    RolloutState,
    StatusSeen,
    continues,
    status_to_write,
)
from .versions import ServiceVersions

# Interval of the reports of a roll-out between VMs.
REPORT_INTERVAL_MS = 200.0
# Time for which the end of a roll-out is still reported.
END_REPORT_MS = 2000.0
# Time that each VM leaves to the one before it to write a status.
STAND_BY_MS = 1000.0
# Delay before a write that failed is tried again.
WRITE_RETRY_MS = 300.0
RECORD_TYPES = (RolloutOrder, RolloutStatus, InvalidRolloutOrder)


class Rollouts:
    """The roll-outs of all services.

    ``by_service`` maps a service to its latest Rollout.

    Parameters
    ----------
    bounds : RolloutBounds or None
        What a bad version may get; without bounds, orders are left alone.
    me : EdgeIdentity
        This VM.
    services : dict
        The ServiceCapacity by name.
    peers : PeerView
        The other VMs, and the owners among them.
    routing : Routing
        The routes and services of the configuration.
    n_owners : int
        Number of VMs that own a service.
    """

    __slots__ = (
        "bounds",
        "me",
        "services",
        "routing",
        "n_owners",
        "by_service",
        "_participants",
        "_ignored",
        "_writing",
        "_retry_at_ms",
        "_report_at_ms",
    )

    def __init__(self, bounds, me, services, peers, routing, n_owners):
        self.bounds = bounds
        self.me = me
        self.services = services
        self.routing = routing
        self.n_owners = n_owners
        self.by_service = {}
        self._participants = Participants(me, peers)
        # Maps the key of an order that can't be carried out to why.
        self._ignored = {}
        # Services whose status is being written, and when failed writes are due again.
        self._writing = set()
        self._retry_at_ms = {}
        self._report_at_ms = 0.0

    def handlers(self):
        """Return the handlers of the messages that this controller takes."""
        return {
            RolloutReport: self._take_report,
            RolloutWriteEnded: self._note_write_end,
        }

    def attach(self, service):
        """Let a ServiceCapacity choose by version."""
        if self.bounds is not None:
            service.versions.find_route = self._route_name
            service.versions.rollout = self.by_service.get(service.name)

    def _route_name(self, host, path):
        config = self.routing.config
        route = config.find(host, path) if config else None
        return route.name if route else ""

    # Records of the store.

    def note_record(self, record, now_ms, is_late=False):
        """Apply an order or a status; return state changes for the log.

        ``is_late`` is set if it was found in a read of the whole store.
        """
        if self.bounds is None:
            return []
        if type(record) is InvalidRolloutOrder:
            out = self._drop(record.key, now_ms)
            return out + self._ignore(record.key, record.detail)
        if type(record) is RolloutOrder:
            return self._note_order(record, now_ms, is_late)
        return self._note_status(record, now_ms)

    def apply_snapshot(self, records, now_ms):
        """Apply the orders and statuses of a read; those that it lacks are gone."""
        if self.bounds is None:
            return []
        keys = {record.key for record in records}
        out = []
        for rollout in list(self.by_service.values()):
            for key in keys_of(rollout.state) - keys:
                out += self.note_removed(key, now_ms)
        # An order comes before its status, which may have ended it.
        for record in sorted(records, key=lambda item: type(item) is RolloutStatus):
            out += self.note_record(record, now_ms, is_late=True)
        for rollout in self.by_service.values():
            if rollout.order is not None and not rollout.order.key:
                # Only peers knew of it, and it is over.
                out += rollout.take(OrderRemoved(), now_ms)
        for service in self.services.values():
            service.versions.update_in_force()
        return out

    def note_removed(self, key, now_ms):
        """Apply the removal of a key; return state changes for the log."""
        self._ignored.pop(key, None)
        return self._drop(key, now_ms)

    def _drop(self, key, now_ms):
        out = []
        for name, rollout in self.by_service.items():
            order, stored = rollout.order, rollout.state.stored
            if order is not None and order.key == key:
                detail = rollout.describe(now_ms)
                out += rollout.take(OrderRemoved(), now_ms)
                out.append(StateChange("rollout", "order removed", name, detail))
            if stored is not None and stored.key == key:
                out += rollout.take(StatusSeen(None), now_ms)
        return out

    def _ignore(self, key, detail):
        """Log once why an order is not carried out."""
        if self._ignored.get(key) == detail:
            return []
        self._ignored[key] = detail
        return [StateChange("rollout", "order ignored", key, detail)]

    def _note_order(self, order, now_ms, is_late):
        name = order.service_name
        rollout = self.by_service.get(name)
        if rollout is not None and continues(rollout.state, order):
            return rollout.take(OrderSeen(order), now_ms)
        stored = rollout.state.stored if rollout else None
        rollout = self._make(name, now_ms, is_late)
        rollout.state = RolloutState(None, stored)
        out = rollout.take(OrderSeen(order), now_ms)
        detail = (
            f"version={order.target_version} duration_ms={order.duration_ms:.0f}"
            f" revision={order.revision}"
        )
        return [StateChange("rollout", "ordered", name, detail), *out]

    def _note_status(self, status, now_ms):
        name = status.service_name
        rollout = self.by_service.get(name) or self._make(name, now_ms, True)
        out = rollout.take(StatusSeen(status), now_ms)
        if rollout.is_late and rollout.is_judging and status.started_wall_ms:
            elapsed_ms = self._wall_ms(now_ms) - status.started_wall_ms
            rollout.note_elapsed(max(0.0, elapsed_ms), now_ms)
        return out

    def _make(self, name, now_ms, is_late):
        rollout = Rollout(self.bounds, self.n_owners, now_ms, is_late)
        self.by_service[name] = rollout
        if name in self.services:
            self.services[name].versions.rollout = rollout
        return rollout

    def _wall_ms(self, now_ms):
        return self.me.start_id + now_ms - self.me.started_at_ms

    # Reports of other VMs.

    def _take_report(self, report, now_ms):
        if self.bounds is None:
            return []
        name = report.service_name
        if not self._is_known(name):
            # Peers may name any number of services.
            return []
        rollout = self.by_service.get(name)
        known = rollout.known_revision if rollout else 0
        out = []
        if known < report.order_revision:
            # The store has not told this VM of the order. It has no key to write to.
            args = (name, report.target_version, float("inf"), report.order_revision)
            out += self._note_order(RolloutOrder("", "", *args), now_ms, True)
        return out + self.by_service[name].note_report(report, now_ms)

    # Time.

    def tick(self, is_store_unavailable, now_ms):
        """Run the periodic work; return messages."""
        if self.bounds is None:
            return []
        out = []
        for service in self.services.values():
            service.versions.update_in_force()
        is_report_due = now_ms >= self._report_at_ms
        if is_report_due:
            self._report_at_ms = now_ms + REPORT_INTERVAL_MS
        for name, rollout in self.by_service.items():
            if not is_store_unavailable:
                rollout.informed_at_ms = now_ms
            if not self._is_active(rollout, now_ms):
                continue
            if not self._is_known(name):
                out += self._ignore_unknown(name, rollout)
                continue
            rank = self._participants.rank(name, now_ms)
            out += self._update(name, rollout, rank, now_ms)
            if rank is not None and not is_store_unavailable:
                out += self._write(name, rollout, rank, now_ms)
            if is_report_due and rollout.order is not None:
                out += self._report(name, rollout, rank, now_ms)
        self._forget_unknown()
        return out

    def _forget_unknown(self):
        """Forget services of which neither configuration nor store has anything."""
        for name, rollout in list(self.by_service.items()):
            has_record = rollout.order is not None or rollout.state.stored is not None
            if not has_record and not self._is_known(name):
                if name not in self._writing:
                    del self.by_service[name]

    def _is_active(self, rollout, now_ms):
        """Return whether a roll-out goes on, or has ended a moment ago."""
        if now_ms - rollout.changed_at_ms < END_REPORT_MS:
            return True
        status = status_to_write(rollout.state, 0)
        return rollout.is_judging or status is not None

    def _is_known(self, name):
        """Return whether the configuration has a service."""
        config = self.routing.config
        return config is not None and name in config.services

    def _ignore_unknown(self, name, rollout):
        if rollout.order is None or self.routing.config is None:
            return []
        return self._ignore(rollout.order.key, f"no service {name}")

    def _update(self, name, rollout, rank, now_ms):
        """Let a roll-out decide; return state changes for the log.

        There are none unless this VM takes part and knows the service's targets.
        """
        rollout.is_owner = self._participants.is_owner(name, now_ms)
        if rollout.order is None or rank is None:
            return []
        rollout.longest_ms = self.routing.config.longest_timeout_ms(name)
        versions = self._versions(name)
        if not versions.targets:
            return []
        owner_ips = self._participants.other_owners(name, now_ms)
        return rollout.decide(versions, owner_ips, now_ms)

    def _versions(self, name):
        service = self.services.get(name)
        return service.versions if service else ServiceVersions({})

    def _report(self, name, rollout, rank, now_ms):
        """Return the messages of a report, if this VM sends to the service's targets.

        One that no longer takes part says what it still has at old targets.
        """
        n_old = self._versions(name).n_in_flight_beside(rollout.target_version)
        has_part = rank is not None and rollout.quota.n_sent > 0
        if not (rollout.is_owner or has_part or n_old):
            return []
        report = rollout.report(n_old, now_ms)
        return self._participants.tell(name, report, now_ms)

    # Writes.

    def _write(self, name, rollout, rank, now_ms):
        """Return the write of a status that the store lacks, if it is this VM's turn.

        The result is a list of a WriteRolloutStatus, or an empty one.
        """
        if name in self._writing or now_ms < self._retry_at_ms.get(name, 0.0):
            return []
        order, stored = rollout.order, rollout.state.stored
        if now_ms - rollout.changed_at_ms < rank * STAND_BY_MS:
            return []
        started_wall_ms = self._wall_ms(now_ms) - rollout.elapsed_ms(now_ms)
        status = status_to_write(rollout.state, int(started_wall_ms))
        if status is None:
            return []
        self._writing.add(name)
        revision = stored.revision if stored else 0
        order_revision = order.revision if order else 0
        return [WriteRolloutStatus(status, revision, order_revision)]

    def _note_write_end(self, message, now_ms):
        """Apply what the store has after a write, which may have failed."""
        name = message.service_name
        self._writing.discard(name)
        written = message.written
        if written is not None:
            out = self.note_record(written, now_ms)
            detail = f"phase={written.phase} version={written.target_version}"
            return [*out, StateChange("rollout", "status written", name, detail)]
        self._retry_at_ms[name] = now_ms + WRITE_RETRY_MS
        out = [StateChange("rollout", "write failed", name, message.detail)]
        if message.found is None:
            return out
        keys = {record.key for record in message.found}
        for key in keys_of(self.by_service[name].state) - keys:
            out += self.note_removed(key, now_ms)
        for record in message.found:
            out += self.note_record(record, now_ms)
        return out

    # Metrics.

    def answer_counts(self):
        """Return the number of answers by service, version and judgement."""
        return {
            (service.name, *key): count
            for service in self.services.values()
            for key, count in service.versions.counts.items()
        }


def keys_of(state):
    """Return the keys of the order and of the status that a RolloutState has."""
    records = (state.order, state.stored)
    return {record.key for record in records if record is not None and record.key}
