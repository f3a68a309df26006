"""The store's records, applied to the routes, targets, services and peers of a VM.

After the store came back from an older copy, what was known is not shown wrong by what
the copy lacks; ``era_targets`` and ``failure_domains`` have the rules.
"""

from ...discovery import (
    ConfigEntry,
    DomainOutOfService,
    InvalidEntry,
    KeyRemoved,
    StoreSnapshot,
    TargetEntry,
    VmEntry,
)
from ...edge_messages import StateChange
from ..rollouts.rollouts import RECORD_TYPES as ROLLOUT_TYPES
from ..targets.era_targets import EraTargets
from ..targets.target_table import REREGISTER_MS
from .failure_domains import FailureDomains
from .store_return import StoreReturn


class StoreRecords:
    """The controller that applies the records read from the store.

    Parameters
    ----------
    routing : Routing
        Adopts configurations.
    table : TargetTable
        Holds the targets.
    services : dict
        By name: the ServiceCapacity, which gets the service's rules and the domains
        that are out of service.
    peers : PeerView
        Gets the addresses of other VMs, and what this VM has seen of the store.
    rollouts : Rollouts
        Applies the orders and statuses of roll-outs.
    note_config : callable
        Takes the ConfigEntry of a configuration that was adopted, and the time.
    """

    __slots__ = (
        "_routing",
        "_table",
        "_services",
        "_peers",
        "_rollouts",
        "_note_config",
        "_targets",
        "_domains",
        "_return",
        "_has_outdated_config",
    )

    def __init__(self, routing, table, services, peers, rollouts, note_config):
        self._routing = routing
        self._table = table
        self._services = services
        self._peers = peers
        self._rollouts = rollouts
        self._note_config = note_config
        self._return = StoreReturn(peers)
        self._targets = EraTargets(table)
        self._domains = FailureDomains(
            self._targets.is_provisional,
            self._publish_out_of_service_domains,
            table.begin_cold,
        )
        # Set while the newest configuration is missing in the store's copy.
        self._has_outdated_config = False

    def out_of_service_domains(self):
        """Return the set of the failure domains that are out of service."""
        return self._domains.out_of_service()

    def domains_out(self):
        """Return a DomainOutOfService for each domain that is out of service."""
        return self._domains.records()

    def apply_domains(self, domains_out, now_ms):
        """Take over which domains are out of service; return state changes."""
        return self._domains.apply_snapshot(domains_out, now_ms)

    # Eras.

    def note_peer(self, heartbeat, now_ms):
        """Note from a peer's heartbeat when the store served in a later era."""
        self._return.note_peer(heartbeat, now_ms)

    def note_era(self, message, now_ms):
        """Begin an era of the store: revisions seen before it mean nothing in it.

        What is known now is kept provisionally. Returns state changes for the log.
        """
        # Without an answer before, a peer's copy may have stated an era.
        earlier_era = message.earlier_era or self._peers.era
        self._peers.era = message.era
        if earlier_era in (0, message.era):
            return []
        eras = f"era={message.era} from={earlier_era}"
        seen = f"{eras} seen={self._peers.revision}"
        self._peers.revision = 0
        served_at_ms = self._return.begin(now_ms)
        left_ms = max(0.0, served_at_ms + REREGISTER_MS - now_ms)
        targets = self._targets.begin(served_at_ms, now_ms)
        known = (
            f"{targets} {self._domains.begin_era(now_ms)}"
            f" config=r{self._routing.version} for_ms={left_ms:.0f}"
        )
        return [
            StateChange("store", "new era", "", seen),
            StateChange("store", "known before", "", known),
        ]

    def expire(self, now_ms):
        """End what is kept provisionally; return state changes for the log."""
        out = self._domains.expire(now_ms) + self._targets.expire(now_ms)
        return out + self._table.expire_earlier_starts(now_ms)

    # Records.

    def apply(self, message, now_ms):
        """Apply StoreChanges or a StoreSnapshot; return state changes for the log."""
        if type(message) is StoreSnapshot:
            out = self._apply_snapshot(message, now_ms)
        else:
            out = self._apply_changes(message, now_ms)
        self._peers.revision = max(self._peers.revision, message.revision)
        self._peers.config_version = self._routing.version
        self._return.note_read()
        return out

    def _apply_changes(self, message, now_ms):
        out = []
        for record in message.records:
            out += self._apply_change(record, now_ms)
        return out

    def _apply_snapshot(self, message, now_ms):
        """Apply the records of a StoreSnapshot.

        Domains that are missing from it are in service again, and missing targets are
        removed if it has the targets, unless they are kept provisionally.
        """
        out = []
        by_type = {TargetEntry: [], DomainOutOfService: []}
        for record in message.records:
            if type(record) in by_type:
                by_type[type(record)].append(record)
            elif type(record) is InvalidEntry:
                out += self._note_invalid(record, self._keeps(record.key, now_ms))
            elif type(record) not in ROLLOUT_TYPES:
                out += self._apply(record, now_ms)
        out += self._domains.apply_snapshot(by_type[DomainOutOfService], now_ms)
        if message.has_targets:
            removed_revisions = message.removed_revisions
            out += self._replace_targets(
                by_type[TargetEntry], removed_revisions, now_ms
            )
            rollouts = [item for item in message.records if type(item) in ROLLOUT_TYPES]
            out += self._rollouts.apply_snapshot(rollouts, now_ms)
        return out

    def _replace_targets(self, entries, removed_revisions, now_ms):
        counting, kept_keys, out = self._targets.choose(
            entries, removed_revisions, now_ms
        )
        return out + self._table.replace_all(counting, now_ms, kept_keys)

    def _keeps(self, key, now_ms):
        """Return whether a target stays although its entry can't be read."""
        return key in self._table.by_key and self._targets.is_provisional(now_ms)

    def _apply_change(self, record, now_ms):
        if type(record) is TargetEntry:
            return self._apply_target(record, now_ms)
        if type(record) is DomainOutOfService:
            return self._domains.note_written(record)
        if type(record) is InvalidEntry:
            self._targets.note_removal(record.key)
            return self._note_invalid(record, False)
        if type(record) is KeyRemoved:
            return self._apply_removal(record, now_ms)
        if type(record) in ROLLOUT_TYPES:
            return self._rollouts.note_record(record, now_ms)
        return self._apply(record, now_ms)

    def _apply_target(self, entry, now_ms):
        is_accepted = self._targets.accepts(entry)
        out = self._targets.note_change(entry)
        return out + self._table.put(entry, now_ms) if is_accepted else out

    def _apply(self, record, now_ms):
        if type(record) is ConfigEntry:
            return self._adopt_config(record, now_ms)
        if type(record) is VmEntry:
            self._peers.note_contact(record.ip)
        return []

    def _note_invalid(self, record, is_kept):
        if not is_kept:
            self._table.close(record.key)
        return [StateChange("store", "unreadable entry", record.key, record.detail)]

    def _apply_removal(self, record, now_ms):
        if self._domains.has(record.key):
            return self._domains.note_removed(record.key, now_ms)
        self._targets.note_removal(record.key)
        out = self._rollouts.note_removed(record.key, now_ms)
        return out + self._table.remove(record.key, now_ms)

    def _adopt_config(self, record, now_ms):
        """Adopt a configuration, if it is newer: versions never go back."""
        out = self._routing.adopt(record.config)
        if not out:
            return self._note_known_config(record.config.version)
        self._has_outdated_config = False
        self._note_config(record, now_ms)
        for service in self._services.values():
            service.rules = self._routing.config.services.get(service.name)
        return out

    def _note_known_config(self, version):
        """Record that the store has an older configuration, or the known one again."""
        known = f"r{self._routing.version}"
        is_outdated = version < self._routing.version
        if is_outdated == self._has_outdated_config:
            return []
        self._has_outdated_config = is_outdated
        if is_outdated:
            return [StateChange("config", "kept", known, f"r{version} in the store")]
        return [StateChange("config", "confirmed", known)]

    def _publish_out_of_service_domains(self, failure_domains):
        for service in self._services.values():
            service.out_of_service_domains = failure_domains
