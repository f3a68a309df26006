"""The task that watches the platform's store."""

from random import random

import gevent
from hornbeamstand_core.discovery import (
    KeyRemoved,
    StoreAvailable,
    StoreChanges,
    StoreSnapshot,
    StoreUnavailable,
)
from hornbeamstand_core.edge_node_messages import WATCH_ALL, WATCH_NOTHING

from ..tasks.failures import spawn_supervised
from .dialect import StorePage

# Maximum time for which the store may hold a watch that has no changes.
WATCH_WAIT_MS = 28_000.0
# The same limit for the watch after a read that may be stale. That watch only returns
# the changes that the read lacks, so it need not wait for new ones.
CATCH_UP_WATCH_WAIT_MS = 1.0
# The same limit for a VM that owns a service. It is short because a connection may go
# silent, and the VM must have noticed that, and read the changes since, within 3 s. A
# delay before the watch, in which the connection is not used, counts towards it.
SHORT_WATCH_WAIT_MS = 1800.0
# The same limit after a failed call or a Resync, short for the same reason.
RETRY_WATCH_WAIT_MS = 300.0
# Delay before the next watch after one that returned changes, so that changes in quick
# succession are read by one call.
BATCH_DELAY_MS = 500.0
# Minimum and maximum delay before a failed call is repeated. The delay doubles with
# every failure.
BACKOFF_MIN_MS = 60.0
BACKOFF_MAX_MS = 1200.0
# Maximum number of revisions before the first read of an era in which the removals
# since the store's return are looked for. It bounds the answer.
N_HISTORY_REVISIONS = 500
# Status of a watch from a revision whose later changes the store no longer keeps.
STATUS_HISTORY_GONE = 410
# Maximum delay, a random one for each VM, before the read that begins an era.
ERA_READ_SPREAD_MS = 200.0
MS_PER_S = 1000.0


class StoreWatcher:
    """Reads the whole store once, then watches the keys that SetWatch asks for.

    A SetWatch that comes before the first read has begun takes its place.

    Parameters
    ----------
    store : StoreClient
        Client of the store.
    control_task : EdgeControlTask
        Receives snapshots and changes, and whether the store is available.
    log : EdgeLog
        Logs failed calls.
    first_read_delay_ms : float
        Time from the start until the first read.
    """

    __slots__ = (
        "store",
        "control_task",
        "log",
        "first_read_delay_ms",
        "_scope",
        "_revision",
        "_targets_revision",
        "_wait_ms",
        "_delayed_ms",
        "_is_retrying",
        "_may_read_stale",
        "_lacks_removals",
        "_is_first_read_due",
        "_has_first_read",
        "_pending_watch",
        "_backoff_ms",
        "_greenlet",
    )

    def __init__(self, store, control_task, log, first_read_delay_ms=0.0):
        self.store = store
        self.control_task = control_task
        self.log = log
        self.first_read_delay_ms = first_read_delay_ms
        # The first read covers all keys.
        self._scope = WATCH_ALL
        self._revision = None
        # Revision up to which the control task knows the targets, or None if it lacks
        # them.
        self._targets_revision = None
        self._wait_ms = WATCH_WAIT_MS
        # Time since the last answer in which the connection was deliberately not used.
        self._delayed_ms = 0.0
        # Set after a failed call or a Resync, until a call succeeds.
        self._is_retrying = False
        self._may_read_stale = True
        # Set from the begin of an era until the keys are read in it.
        self._lacks_removals = False
        self._is_first_read_due = first_read_delay_ms <= 0.0
        self._has_first_read = False
        self._pending_watch = None
        self._backoff_ms = BACKOFF_MIN_MS
        self._greenlet = None

    def start(self, stack):
        """Start the first read; the stack ends the task."""
        self._greenlet = spawn_supervised("store-watcher", self._run_first_read)
        stack.callback(self._stop)

    def _stop(self):
        """Let the greenlet end, at the latest after its current call."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
            self._greenlet = None

    def resync(self, message):
        """Restart the watch: a peer has a revision that the watch did not deliver."""
        self.log.info("store: resync", revision=self._revision)
        if not self._has_first_read:
            return
        self._is_retrying = True
        self._backoff_ms = BACKOFF_MIN_MS
        self._restart()

    def begin_era(self):
        """Read what is watched again: revisions of an earlier era mean nothing now."""
        self._revision = None
        self._targets_revision = None
        self._may_read_stale = False
        self._lacks_removals = self.store.codec.decode_removals is not None
        self._backoff_ms = BACKOFF_MIN_MS
        delay_ms = random() * ERA_READ_SPREAD_MS
        if self._has_first_read:
            self._restart(delay_ms)
        elif self._is_first_read_due:
            self.first_read_delay_ms = delay_ms
            self._stop()
            self._greenlet = spawn_supervised("store-watcher", self._run_first_read)

    def delay_first_read(self, message):
        """Wait for another time, if the wait for the first read is not over."""
        if not self._is_first_read_due:
            self._stop()
            self.first_read_delay_ms = max(0.0, message.delay_ms)
            self._greenlet = spawn_supervised("store-watcher", self._run_first_read)

    def set_watch(self, message):
        """Set what is watched: all keys, only the operators' keys, or nothing.

        While the controllers still hold the targets of the first read, all keys are
        watched from its revision on and not read a second time.
        """
        if not self._is_first_read_due:
            self._skip_first_read()
        if not self._has_first_read:
            self._pending_watch = message
            return
        self._wait_ms = (
            SHORT_WATCH_WAIT_MS if message.uses_short_watch else WATCH_WAIT_MS
        )
        if message.scope == self._scope:
            return
        if not message.has_targets:
            self._targets_revision = None
        if message.scope == WATCH_ALL:
            self._revision = self._targets_revision
        elif self._scope == WATCH_ALL:
            self._targets_revision = None
        self._scope = message.scope
        self._restart()

    def _restart(self, delay_ms=0.0):
        self._stop()
        self._greenlet = spawn_supervised("store-watcher", self._run, delay_ms)

    def _skip_first_read(self):
        self._stop()
        self._is_first_read_due = True
        self._scope = WATCH_NOTHING
        self._has_first_read = True

    def _run_first_read(self):
        """Read all keys; a SetWatch decides what is watched afterwards."""
        gevent.sleep(self.first_read_delay_ms / MS_PER_S)
        self._is_first_read_due = True
        self._retry_until_ok(self._read_all)
        self._scope = WATCH_NOTHING
        self._has_first_read = True
        if self._pending_watch is not None:
            self.set_watch(self._pending_watch)

    def _run(self, delay_ms):
        gevent.sleep(delay_ms / MS_PER_S)
        while self._scope != WATCH_NOTHING:
            self._retry_until_ok(
                self._read_all if self._revision is None else self._watch
            )

    def _retry_until_ok(self, call):
        while True:
            result = call()
            if result.is_ok():
                break
            if result.err_value.status == STATUS_HISTORY_GONE:
                # The store is available, so the keys are read again without a delay.
                self._forget_history(result.err_value)
                call = self._read_all
                continue
            if self._may_concern_connection_only(result.err_value):
                self._log_failure(result.err_value, "retrying on another connection")
                self._is_retrying = True
                continue
            follows = f"retrying in {self._backoff_ms:.0f} ms"
            self._log_failure(result.err_value, follows)
            self.control_task.post(StoreUnavailable(str(result.err_value)))
            gevent.sleep(self._backoff_ms / MS_PER_S)
            self._backoff_ms = min(BACKOFF_MAX_MS, 2.0 * self._backoff_ms)
            self._is_retrying = True
        self._is_retrying = False
        self._backoff_ms = BACKOFF_MIN_MS

    def _call(self, method, *args):
        """Return the result of a call of the store.

        The greenlet ends here if it was stopped meanwhile: a kill takes effect later,
        and what the call was for has changed.
        """
        result = method(*args)
        if gevent.getcurrent() is not self._greenlet:
            raise gevent.GreenletExit
        return result

    def _prefix(self):
        return "" if self._scope == WATCH_ALL else self.store.codec.operator_prefix

    def _read_all(self):
        """Read the keys that are watched; return the result, or a call's error.

        A read that may be stale is cheap. The changes after its revision are read
        before the controllers use it.
        """
        prefix = self._prefix()
        result = self._call(self.store.read_all, prefix, self._may_read_stale)
        if result.is_err():
            # A replica may be in an earlier era than the store.
            self._may_read_stale = False
            return result
        page = result.ok_value
        if self._may_read_stale:
            changes = self._call(
                self.store.watch, prefix, page.revision, CATCH_UP_WATCH_WAIT_MS
            )
            if changes.is_err():
                self._may_read_stale = False
                return changes
            page = apply_changes(page, changes.ok_value)
        self._may_read_stale = True
        self._post_read(page, self._read_removals(prefix, page.revision))
        return result

    def _read_removals(self, prefix, revision):
        """Return the removals of the store's history up to the first read of an era.

        Without them, a key that was removed since the return can't be told from one
        that the copy lacks. Returns None if the store does not tell them.
        """
        lacks_removals, self._lacks_removals = self._lacks_removals, False
        if not lacks_removals or self._scope != WATCH_ALL:
            return None
        after = max(0, revision - N_HISTORY_REVISIONS)
        result = self._call(
            self.store.read_removals, prefix, after, CATCH_UP_WATCH_WAIT_MS
        )
        if result.is_ok():
            return result.ok_value
        self._log_failure(result.err_value, "going on without the removals")
        return None

    def _post_read(self, page, removed_revisions):
        self._revision = page.revision
        has_targets = self._scope == WATCH_ALL
        if has_targets:
            self._targets_revision = self._revision
        self.control_task.post(StoreAvailable())
        snapshot = StoreSnapshot(
            page.records, page.revision, has_targets, removed_revisions
        )
        self.control_task.post(snapshot)

    def _watch(self):
        wait_ms = max(RETRY_WATCH_WAIT_MS, self._wait_ms - self._delayed_ms)
        if self._is_retrying:
            wait_ms = RETRY_WATCH_WAIT_MS
        self._delayed_ms = 0.0
        result = self._call(self.store.watch, self._prefix(), self._revision, wait_ms)
        if result.is_err():
            return result
        page = result.ok_value
        self._revision = max(self._revision, page.revision)
        if self._scope == WATCH_ALL:
            self._targets_revision = self._revision
        self.control_task.post(StoreAvailable())
        self.control_task.post(StoreChanges(page.records, page.revision))
        if page.records:
            gevent.sleep(BATCH_DELAY_MS / MS_PER_S)
            self._delayed_ms = BATCH_DELAY_MS
        return result

    def _may_concern_connection_only(self, error):
        """Return whether a failure may concern only the connection that it came on.

        A single connection that is silent or reset doesn't show that the store is away:
        entries that are removed meanwhile were removed by their targets. The next call
        uses a connection that has answered within the last second, or a new one.
        """
        return error.status == 0 and not self._is_retrying

    def _forget_history(self, error):
        self._log_failure(error, "reading all keys again")
        self._may_read_stale = False
        self._revision = None
        self._targets_revision = None

    def _log_failure(self, error, follows):
        self.log.info("store: call failed", error=f"{error}; {follows}")


def apply_changes(page, changes):
    """Return the StorePage of a read with the later changes applied.

    The controllers never see the older state: a request that waits for targets would be
    sent to one that has left since.
    """
    by_key = {record.key: record for record in page.records}
    for record in changes.records:
        by_key.pop(record.key, None)
        if type(record) is not KeyRemoved:
            by_key[record.key] = record
    revision = max(page.revision, changes.revision)
    return StorePage(list(by_key.values()), revision)
