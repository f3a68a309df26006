"""The targets that a VM has dropped, to be used again if nobody else holds any.

Most VMs need no targets and keep none up to date. What they read at their start grows
old, so each target is asked whether it is still the same one before it is used.
"""

from ...target_copy_messages import (
    ConfirmTarget,
    ConfirmTargets,
    HeldTarget,
    with_cold_start,
)
from .load_probing import HEALTH_PATH_DEFAULT

# Maximum number of targets that are asked in one round, and the interval of the rounds.
N_CONFIRMED_MAX = 64
CONFIRM_INTERVAL_MS = 1000.0


class DroppedTargets:
    """The HeldTargets that were dropped last, by key.

    ``held_at_ms`` is when they were last known to be current.
    """

    __slots__ = ("held_at_ms", "_by_key", "_asked_at_ms", "_is_asking")

    def __init__(self):
        self.held_at_ms = 0.0
        self._by_key = {}
        self._asked_at_ms = float("-inf")
        self._is_asking = False

    def __len__(self):
        return len(self._by_key)

    def keep(self, targets, held_at_ms):
        """Keep HeldTargets and forget all earlier ones."""
        self.held_at_ms = held_at_ms
        self._by_key = {held.entry.key: held for held in targets}
        self._asked_at_ms = float("-inf")

    def add(self, targets):
        """Keep HeldTargets beside those that are kept."""
        self._by_key.update({held.entry.key: held for held in targets})

    def forget(self):
        """Forget all targets: the store has told of the present ones."""
        self._by_key.clear()

    def request(self, config, failure_domain, now_ms):
        """Return a list with a ConfirmTargets if a round is due.

        Targets of ``failure_domain`` come first, and then those that were not asked in
        the round before.
        """
        if self._is_asking or not self._by_key:
            return []
        if now_ms - self._asked_at_ms < CONFIRM_INTERVAL_MS:
            return []
        self._is_asking = True
        self._asked_at_ms = now_ms
        entries = sorted(
            (held.entry for held in self._by_key.values()),
            key=lambda entry: entry.failure_domain != failure_domain,
        )[:N_CONFIRMED_MAX]
        for entry in entries:
            self._by_key[entry.key] = self._by_key.pop(entry.key)
        targets = [
            ConfirmTarget(entry, health_path(config, entry.service_name))
            for entry in entries
        ]
        return [ConfirmTargets(targets)]

    def take_confirmed(self, message, now_ms):
        """Return the HeldTargets that a TargetsConfirmed names, and forget these.

        A target that says that it leaves is forgotten too, and is not returned.
        """
        self._is_asking = False
        confirmed = []
        for key in message.keys:
            held = self._by_key.pop(key, None)
            notice = message.notices.get(key)
            if held is None or (notice is not None and notice.is_leaving):
                continue
            confirmed.append(confirm(held, notice, now_ms - self.held_at_ms))
        return confirmed


def confirm(held, notice, age_ms):
    """Return a HeldTarget of ``age_ms`` before with what the target says now.

    A cold start that began before has gone on meanwhile.
    """
    cold_ms = max(0.0, held.entry.cold_remaining_ms - age_ms)
    pause_ms = max(0.0, held.pause_ms - age_ms)
    if notice is not None:
        cold_ms = max(cold_ms, notice.cold_ms)
        pause_ms = max(pause_ms, notice.pause_ms)
    return HeldTarget(with_cold_start(held.entry, cold_ms), False, pause_ms)


def health_path(config, service_name):
    """Return the path of the health endpoint of a service's targets."""
    rules = config.services.get(service_name) if config else None
    return rules.health_path if rules else HEALTH_PATH_DEFAULT
