"""One order as a holder of its key records it."""

from ...order_messages import DONE, DROPPED, OPEN, StoredOrder


class Order:
    """One order at one of its holders, with the attempts that may run it.

    ``state`` is OPEN, or DONE once an attempt has ended that may have run; ``outcome``
    is then its Answer or Refusal. ``attempts`` maps each VM that may run the order to
    the number of its latest attempt. It is empty once the order is DONE: no attempt
    changes that. ``backup_id`` is the latest of ``n_backups_tried`` backups.
    ``reservation`` is the ReserveOrder that is answered once a backup has stored the
    order, then None. ``replication`` is the SendOrders to that backup, whose end the
    reservation awaits. ``waiters`` are the ReserveOrder messages of resends that wait
    for the outcome.
    """

    __slots__ = (
        "service_name",
        "key",
        "state",
        "outcome",
        "recorded_at_ms",
        "attempts",
        "backup_id",
        "n_backups_tried",
        "reservation",
        "replication",
        "waiters",
    )

    def __init__(self, service_name, key, recorded_at_ms):
        self.service_name = service_name
        self.key = key
        self.state = OPEN
        self.outcome = None
        self.recorded_at_ms = recorded_at_ms
        self.attempts = {}
        self.backup_id = None
        self.n_backups_tried = 0
        self.reservation = None
        self.replication = None
        self.waiters = []

    def note_attempt(self, runner_id, attempt):
        """Record an attempt, unless a later one of the same VM is recorded.

        A VM begins an attempt of a key only after its earlier ones ended without a run.
        """
        self.attempts[runner_id] = max(attempt, self.attempts.get(runner_id, attempt))

    def withdraw(self, runner_id, attempt):
        """Remove an attempt that did not run, and the earlier ones of the same VM.

        Returns whether any was recorded. A later attempt, or one of another VM, stays.
        """
        recorded = self.attempts.get(runner_id)
        if recorded is None or recorded > attempt:
            return False
        del self.attempts[runner_id]
        return True

    def complete(self, outcome):
        """Record the outcome of an attempt that may have run."""
        self.state = DONE
        self.outcome = outcome
        self.attempts.clear()

    def copies(self, now_ms):
        """Return what another holder has to store, as StoredOrder messages."""
        if self.state == DONE:
            return [self._copy(DONE, self.outcome, "", 0, now_ms)]
        return [
            self._copy(OPEN, None, runner_id, attempt, now_ms)
            for runner_id, attempt in self.attempts.items()
        ]

    def withdrawal(self, runner_id, attempt, outcome, now_ms):
        """Return the StoredOrder that withdraws an attempt at another holder."""
        return self._copy(DROPPED, outcome, runner_id, attempt, now_ms)

    def _copy(self, state, outcome, runner_id, attempt, now_ms):
        age_ms = now_ms - self.recorded_at_ms
        return StoredOrder(
            self.service_name, self.key, state, outcome, age_ms, runner_id, attempt
        )
