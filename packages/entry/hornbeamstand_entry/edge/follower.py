"""The tasks that follow the platform's store and keep this VM's entry in it."""

import gevent
from hornbeamstand_core.discovery import (
    StoreAway,
    StoreBack,
    StoreChanges,
    StoreSnapshot,
)

# How long the store may hold a watch that sees nothing.
WATCH_MS = 28_000.0
# The same for the first VM of a failure domain, and after a failed call: a watch
# may have been taken by a store that never answers it.
FIRST_WATCH_MS = 2000.0
RETRY_WATCH_MS = 300.0
# Changes that come in quick succession are read by one call.
BATCH_MS = 500.0
BACKOFF_MIN_MS = 60.0
BACKOFF_MAX_MS = 1200.0
STATUS_HISTORY_GONE = 410
STATUS_NO_LEASE = 404
LEASE_MS = 60_000.0
KEEP_MS = 20_000.0
MS_PER_S = 1000.0


class Follower:
    """Reads the whole store once, then its changes.

    A VM that does not follow the targets reads only what operators write.

    Parameters
    ----------
    store : StoreClient
        The store.
    decider : EdgeDecider
        Takes snapshots and changes.
    log : structlog logger
        For errors.
    """

    __slots__ = (
        "store",
        "decider",
        "log",
        "_revision",
        "_all_revision",
        "_is_first",
        "_prefix",
        "_wait_ms",
        "_has_failed",
        "_backoff_ms",
        "_watcher",
    )

    def __init__(self, store, decider, log):
        self.store = store
        self.decider = decider
        self.log = log
        self._revision = None
        self._all_revision = None
        self._is_first = True
        self._wait_ms = WATCH_MS
        self._has_failed = False
        self._prefix = store.codec.operator_prefix
        self._backoff_ms = BACKOFF_MIN_MS
        self._watcher = None

    def start(self, stack):
        """Start to follow; the stack ends it."""
        self._watcher = gevent.spawn(self._run)
        stack.callback(self._watcher.kill, block=False)

    def resync(self, message):
        """Read everything again: a peer has seen what the watch did not bring."""
        self.log.info("store: resync", revision=self._revision)
        self._revision = None
        self._all_revision = None
        self._restart()

    def follow(self, message):
        """Follow the targets too, or what operators write alone.

        What the first read brought needs no second one if it is still recent.
        """
        self._wait_ms = FIRST_WATCH_MS if message.is_first else WATCH_MS
        if message.is_on and self._prefix == "":
            return
        if message.is_on:
            self._prefix = ""
            self._revision = self._all_revision
        else:
            self._prefix = self.store.codec.operator_prefix
        self._all_revision = None
        self._restart()

    def _restart(self):
        self._watcher.kill(block=False)
        self._watcher = gevent.spawn(self._run)

    def _run(self):
        while True:
            result = self._read_all() if self._revision is None else self._watch()
            if result.is_err():
                self._note_error(result.err_value)
                gevent.sleep(self._backoff_ms / MS_PER_S)
                self._backoff_ms = min(BACKOFF_MAX_MS, 2.0 * self._backoff_ms)
                self._has_failed = True
                continue
            self._has_failed = False
            self._backoff_ms = BACKOFF_MIN_MS

    def _read_all(self):
        result = self.store.read_all("" if self._is_first else self._prefix)
        if result.is_ok():
            page = result.ok_value
            self._revision = page.revision
            if self._is_first:
                self._is_first = False
                self._all_revision = page.revision
            self.decider.post(StoreBack())
            self.decider.post(StoreSnapshot(page.records, page.revision))
        return result

    def _watch(self):
        wait_ms = RETRY_WATCH_MS if self._has_failed else self._wait_ms
        result = self.store.watch(self._prefix, self._revision, wait_ms)
        if result.is_err():
            return result
        page = result.ok_value
        self._revision = max(self._revision, page.revision)
        self.decider.post(StoreBack())
        self.decider.post(StoreChanges(page.records, page.revision))
        if page.records:
            gevent.sleep(BATCH_MS / MS_PER_S)
        return result

    def _note_error(self, error):
        self.log.info("store: call failed", error=str(error))
        if error.status == STATUS_HISTORY_GONE:
            self._revision = None
            self._all_revision = None
            return
        self.decider.post(StoreAway(str(error)))


class Registration:
    """Keeps this VM's entry in the store, so that peers find it."""

    __slots__ = ("store", "key", "value", "log")

    def __init__(self, store, key, value, log):
        self.store = store
        self.key = key
        self.value = value
        self.log = log

    def start(self, stack):
        """Start to register; the stack ends it."""
        greenlet = gevent.spawn(self._run)
        stack.callback(greenlet.kill, block=False)

    def _run(self):
        backoff_ms = BACKOFF_MIN_MS
        while True:
            result = self._register()
            if result.is_ok():
                backoff_ms = BACKOFF_MIN_MS
                self._keep(result.ok_value)
                continue
            self.log.info("store: registration failed", error=str(result.err_value))
            gevent.sleep(backoff_ms / MS_PER_S)
            backoff_ms = min(10 * BACKOFF_MAX_MS, 2.0 * backoff_ms)

    def _register(self):
        lease = self.store.grant_lease(LEASE_MS)
        if lease.is_err():
            return lease
        written = self.store.put(self.key, self.value, lease.ok_value)
        return lease if written.is_ok() else written

    def _keep(self, lease_id):
        """Renew the lease until it is found to have ended."""
        while True:
            gevent.sleep(KEEP_MS / MS_PER_S)
            kept = self.store.keep_lease(lease_id)
            if kept.is_err() and kept.err_value.status == STATUS_NO_LEASE:
                self.log.info("store: lease ended", lease=lease_id)
                return
