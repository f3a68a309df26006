"""The failure domains that operators took out of service.

After the store came back from an older copy, a domain stays as it was known for a
provisional time, unless it is written or removed meanwhile.
"""

from ...discovery import DomainOutOfService
from ...edge_messages import StateChange

# Time for which a domain is known to have been put back into service.
RETURNED_MAX_AGE_MS = 60_000.0
# Maximum number of domains that are known for as long.
N_RETURNED_MAX = 100


class FailureDomains:
    """The domains out of service by the store's key, and what is known of others.

    ``_returned_at_ms`` maps the key of a domain that is in service again to when it
    came back, ``_missing_keys`` has the domains that stay out although the store's copy
    lacks them, and ``_outdated`` the records of those that stay in service although the
    copy has them out.

    Parameters
    ----------
    is_provisional : callable
        Takes the time, and returns whether what was known holds against the store.
    publish : callable
        Takes the frozenset of the domains out of service when it changes.
    begin_cold : callable
        Takes a domain that is in service again, and the time.
    """

    __slots__ = (
        "_is_provisional",
        "_publish",
        "_begin_cold",
        "_by_key",
        "_returned_at_ms",
        "_known_in_keys",
        "_missing_keys",
        "_outdated",
    )

    def __init__(self, is_provisional, publish, begin_cold):
        self._is_provisional = is_provisional
        self._publish = publish
        self._begin_cold = begin_cold
        self._by_key = {}
        self._returned_at_ms = {}
        # Keys of domains that were known to be in service again as the era began.
        self._known_in_keys = set()
        self._missing_keys = set()
        self._outdated = {}

    def out_of_service(self):
        """Return the set of the failure domains that are out of service."""
        return frozenset(self._by_key.values())

    def records(self):
        """Return a DomainOutOfService for each domain that is out of service."""
        return [DomainOutOfService(*item) for item in self._by_key.items()]

    def begin_era(self, now_ms):
        """Keep what is known now; return text for the log about it.

        What was known before an era whose provisional time is not over still counts.
        """
        self._known_in_keys |= {
            key
            for key, returned_at_ms in self._returned_at_ms.items()
            if now_ms - returned_at_ms < RETURNED_MAX_AGE_MS
        }
        self._missing_keys.clear()
        self._outdated.clear()
        return f"domains_out={len(self._by_key)}"

    def apply_snapshot(self, records, now_ms):
        """Apply the DomainOutOfService records of a snapshot; return state changes."""
        out = []
        earlier_outdated = self._outdated
        self._outdated = {}
        for record in records:
            if not self._is_known_in(record.key, now_ms):
                out += self._take_out(record)
                continue
            self._outdated[record.key] = record
            if record.key not in earlier_outdated:
                out.append(kept(record.failure_domain, "in service, out in the copy"))
        named = {record.key for record in records}
        for key in [key for key in self._by_key if key not in named]:
            out += self._note_missing(key, now_ms)
        return out

    def _is_known_in(self, key, now_ms):
        return key in self._known_in_keys and self._is_provisional(now_ms)

    def _note_missing(self, key, now_ms):
        if not self._is_provisional(now_ms):
            return self._put_back(key, now_ms)
        if key in self._missing_keys:
            return []
        self._missing_keys.add(key)
        return [kept(self._by_key[key], "out of service, missing in the copy")]

    def note_written(self, record):
        """Take a domain out of service; return state changes."""
        self._known_in_keys.discard(record.key)
        self._outdated.pop(record.key, None)
        return self._take_out(record)

    def note_removed(self, key, now_ms):
        """Put the domain of a key, if any, back into service; return state changes."""
        self._missing_keys.discard(key)
        record = self._outdated.pop(key, None)
        if record is not None:
            return [StateChange("domain", "confirmed", record.failure_domain)]
        return self._put_back(key, now_ms) if key in self._by_key else []

    def has(self, key):
        """Return whether a key is that of a domain out of service, or was in a copy."""
        return key in self._by_key or key in self._outdated

    def expire(self, now_ms):
        """Do what the store says after the provisional time; return state changes."""
        if self._is_provisional(now_ms):
            return []
        out = []
        for key in sorted(self._missing_keys):
            out += self._put_back(key, now_ms)
        for record in self._outdated.values():
            out += self._take_out(record)
        self._known_in_keys.clear()
        self._missing_keys.clear()
        self._outdated.clear()
        return out

    def _take_out(self, record):
        is_confirmed = record.key in self._missing_keys
        self._missing_keys.discard(record.key)
        if is_confirmed:
            return [StateChange("domain", "confirmed", record.failure_domain)]
        if record.key in self._by_key:
            return []
        self._returned_at_ms.pop(record.key, None)
        self._by_key[record.key] = record.failure_domain
        self._publish(self.out_of_service())
        return [StateChange("domain", "out", record.failure_domain)]

    def _put_back(self, key, now_ms):
        failure_domain = self._by_key.pop(key)
        self._note_returned(key, now_ms)
        self._begin_cold(failure_domain, now_ms)
        self._publish(self.out_of_service())
        return [StateChange("domain", "in", failure_domain)]

    def _note_returned(self, key, now_ms):
        self._returned_at_ms.pop(key, None)
        self._returned_at_ms[key] = now_ms
        if len(self._returned_at_ms) > N_RETURNED_MAX:
            del self._returned_at_ms[next(iter(self._returned_at_ms))]


def kept(failure_domain, detail):
    """Return the StateChange of a domain that provisionally stays as it was known."""
    return StateChange("domain", "kept", failure_domain, detail)
