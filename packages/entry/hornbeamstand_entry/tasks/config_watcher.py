"""The task that keeps this VM's copy of the published configuration up to date.

A cell's renewers, the members that renew the leases of all, watch the configuration in
the platform's store. The other members learn of a newer version from a heartbeat and
fetch it from a peer, so the number of watches grows with the number of cells and not of
VMs. While the platform is unavailable, the last valid configuration stays in force.
"""

import gevent
from hornbeamstand_core.controllers.node import AdoptConfiguration
from hornbeamstand_core.records import Record
from hornbeamstand_wire.folder import MergeCache
from hornbeamstand_wire.published import (
    HEAD_KEY,
    Head,
    fetch_texts,
    merge_version,
    read_head,
)

from .failures import spawn_supervised
from .task import Task

# Maximum time for which the platform may hold a watch that has no change.
WATCH_WAIT_MS = 10_000.0
# Delay after a failed call, and interval at which a VM that does not watch checks
# whether it has to.
RETRY_DELAY_MS = 250.0


class PeerFiles(Record):
    """Configuration files that were fetched from a peer, and their version."""

    __slots__ = ("version", "texts")

    def __init__(self, version, texts):
        self.version = version
        self.texts = texts


class ConfigWatcher:
    """Holds the newest configuration files that were accepted.

    Parameters
    ----------
    platform : PlatformClient
        The client for reads.
    watch_client : PlatformClient
        The client for the watch, with a timeout above ``WATCH_WAIT_MS``.
    membership : Membership
        Tells whether this VM calls the platform itself.
    control_task : ControlTask
        Takes each accepted configuration.
    log : structlog logger
        Logs accepted and rejected versions.

    Attributes
    ----------
    version : int
        The version of the files; 0 until the first ones are accepted.
    texts : dict
        File name to text.
    """

    __slots__ = (
        "platform",
        "watch_client",
        "membership",
        "control_task",
        "log",
        "task",
        "version",
        "texts",
        "_digests",
        "_cache",
    )

    def __init__(self, platform, watch_client, membership, control_task, log):
        self.platform = platform
        self.watch_client = watch_client
        self.membership = membership
        self.control_task = control_task
        self.log = log
        self.task = Task("config-watcher")
        self.version = 0
        self.texts = {}
        self._digests = {}
        self._cache = MergeCache()

    def start(self, stack):
        """Start to watch the platform and to receive files from peers."""
        self.task.start(self._receive_peer_files, stack)
        watch_greenlet = spawn_supervised("config-watcher", self._watch)
        stack.callback(watch_greenlet.kill, block=False)

    def _watch(self):
        revision = 0
        while True:
            if not self._should_watch():
                gevent.sleep(RETRY_DELAY_MS / 1000.0)
            elif self._fetch_published():
                revision = self._wait_for_newer_head(revision)
            else:
                gevent.sleep(RETRY_DELAY_MS / 1000.0)

    def _should_watch(self):
        return self.membership.calls_platform(self.control_task.clock.now_ms())

    def _wait_for_newer_head(self, revision):
        stored = self.watch_client.watch(HEAD_KEY, revision, WATCH_WAIT_MS)
        if stored.is_err():
            gevent.sleep(RETRY_DELAY_MS / 1000.0)
            return revision
        return stored.ok_value.revision

    def _fetch_published(self):
        read = read_head(self.platform)
        if read.is_err():
            return False
        head = read.ok_value
        if head.version <= self.version:
            return True
        fetched = fetch_texts(self.platform, head, self._texts_by_digest())
        if fetched.is_err():
            return False
        self._accept(head.version, fetched.ok_value, head)
        return True

    def _texts_by_digest(self):
        return {
            (name, self._digests[name]): text
            for name, text in self.texts.items()
            if name in self._digests
        }

    def _receive_peer_files(self):
        while True:
            files = self.task.mailbox.get()
            if files.version > self.version:
                self._accept(files.version, files.texts, None)

    def _accept(self, version, texts, head):
        merged = merge_version(texts, version, self._cache)
        if merged.is_err():
            self.log.error(
                "config: version rejected, the last good one stays",
                version=version,
                error=str(merged.err_value),
            )
            return
        self.version = version
        self.texts = texts
        self._digests = head.digests() if isinstance(head, Head) else {}
        self.log.info("config: version accepted", version=version)
        self.control_task.task.post(AdoptConfiguration(merged.ok_value))
