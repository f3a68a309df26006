"""The store's records, applied to the routes, targets, services and peers of a VM."""

from ..discovery import (
    ConfigEntry,
    DomainOutOfService,
    InvalidEntry,
    KeyRemoved,
    TargetEntry,
    VmEntry,
)
from ..edge_messages import StateChange


class StoreRecords:
    """The controller that applies the records read from the store.

    ``_domains_by_key`` maps the store's key of each domain that is out of service to
    the domain.

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
        Gets the addresses of other VMs.
    note_config : callable
        Takes the ConfigEntry of a configuration that was adopted, and the time.
    """

    __slots__ = (
        "_routing",
        "_table",
        "_services",
        "_peers",
        "_note_config",
        "_domains_by_key",
    )

    def __init__(self, routing, table, services, peers, note_config):
        self._routing = routing
        self._table = table
        self._services = services
        self._peers = peers
        self._note_config = note_config
        self._domains_by_key = {}

    def out_of_service_domains(self):
        """Return the set of the failure domains that are out of service."""
        return frozenset(self._domains_by_key.values())

    def domains_out(self):
        """Return a DomainOutOfService for each domain that is out of service."""
        return [DomainOutOfService(*item) for item in self._domains_by_key.items()]

    def apply_domains(self, domains_out, now_ms):
        """Take over which domains are out of service; return state changes."""
        keys = {record.key for record in domains_out}
        out = []
        for record in domains_out:
            out += self._note_domain_out_of_service(record)
        for key in [key for key in self._domains_by_key if key not in keys]:
            out += self._note_domain_in_service(key, now_ms)
        return out

    def begin_era(self, now_ms):
        """Begin an era of the store, which has lost changes; return messages."""
        return []

    def apply_changes(self, message, now_ms):
        """Apply the records of StoreChanges; return state changes for the log."""
        out = []
        for record in message.records:
            out += self._apply(record, now_ms)
        return out

    def apply_snapshot(self, message, now_ms):
        """Apply the records of a StoreSnapshot; return state changes for the log.

        Domains that are missing from it are in service again, and missing targets are
        removed if it has the targets.
        """
        out = []
        entries = []
        out_of_service_keys = []
        for record in message.records:
            if type(record) is TargetEntry:
                entries.append(record)
                continue
            if type(record) is DomainOutOfService:
                out_of_service_keys.append(record.key)
            out += self._apply(record, now_ms)
        for key in [
            key for key in self._domains_by_key if key not in out_of_service_keys
        ]:
            out += self._note_domain_in_service(key, now_ms)
        if message.has_targets:
            out += self._table.replace_all(entries, now_ms)
        return out

    def _apply(self, record, now_ms):
        if type(record) is TargetEntry:
            return self._table.put(record, now_ms)
        if type(record) is ConfigEntry:
            return self._adopt_config(record, now_ms)
        if type(record) is DomainOutOfService:
            return self._note_domain_out_of_service(record)
        if type(record) is VmEntry:
            self._peers.note_contact(record.ip)
            return []
        if type(record) is InvalidEntry:
            self._table.close(record.key)
            return [StateChange("store", "unreadable entry", record.key, record.detail)]
        return self._apply_removal(record, now_ms)

    def _apply_removal(self, record: KeyRemoved, now_ms):
        if record.key in self._domains_by_key:
            return self._note_domain_in_service(record.key, now_ms)
        return self._table.remove(record.key, now_ms)

    def _adopt_config(self, record, now_ms):
        out = self._routing.adopt(record.config)
        if not out:
            return []
        self._note_config(record, now_ms)
        for service in self._services.values():
            service.rules = self._routing.config.services.get(service.name)
        return out

    def _note_domain_out_of_service(self, record):
        if record.key in self._domains_by_key:
            return []
        self._domains_by_key[record.key] = record.failure_domain
        self._publish_out_of_service_domains()
        return [StateChange("domain", "out", record.failure_domain)]

    def _note_domain_in_service(self, key, now_ms):
        failure_domain = self._domains_by_key.pop(key)
        self._table.begin_cold(failure_domain, now_ms)
        self._publish_out_of_service_domains()
        return [StateChange("domain", "in", failure_domain)]

    def _publish_out_of_service_domains(self):
        for service in self._services.values():
            service.out_of_service_domains = self.out_of_service_domains()
