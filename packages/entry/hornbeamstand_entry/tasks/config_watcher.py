"""The task that follows the published configuration.

A cell's renewers are woken by a watch at the platform; the other members hear of a
newer version by heartbeat and fetch it from a peer, so that watches grow with cells.
While the platform is down the last good configuration stays in force.
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

from .task import Task

WATCH_MS = 10_000.0
RETRY_DELAY_MS = 250.0


class PeerFiles(Record):
    """A peer's configuration files and their version."""

    __slots__ = ("version", "texts")

    def __init__(self, version, texts):
        self.version = version
        self.texts = texts


class ConfigWatcher:
    """The newest accepted configuration files.

    Parameters
    ----------
    platform, watcher : PlatformClient
        For reads, and for the watch, which waits longer.
    membership : Membership
        Read for whether this VM watches for its cell.
    control_task : ControlTask
        Told of each accepted configuration.
    log : structlog logger
        The config part's log.
    """

    __slots__ = (
        "platform",
        "watcher",
        "membership",
        "control_task",
        "log",
        "task",
        "version",
        "texts",
        "_digests",
        "_cache",
    )

    def __init__(self, platform, watcher, membership, control_task, log):
        self.platform = platform
        self.watcher = watcher
        self.membership = membership
        self.control_task = control_task
        self.log = log
        self.task = Task("config-watcher")
        self.version = 0
        self.texts = {}
        self._digests = {}
        self._cache = MergeCache()

    def start(self, stack):
        """Start to follow the platform and to take peers' files."""
        self.task.start(self._receive_peer_files, stack)
        watch_greenlet = gevent.spawn(self._watch)
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
        stored = self.watcher.watch(HEAD_KEY, revision, WATCH_MS)
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
