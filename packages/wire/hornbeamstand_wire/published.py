"""The published configuration: a head and one immutable piece per file.

The head maps file names to the version that last changed them and to their
digest. A publish writes the changed files under the next version, then moves
the head by compare-and-swap; nothing reads a piece before the head names it.
"""

from hornbeamstand_core.errors import ConflictError, PlatformError
from hornbeamstand_core.records import Record
from result import Err, Ok

from .folder import digest, merge_texts

HEAD_KEY = "config/head"


def file_key(name, version, file_digest):
    """Return the key of one file's content; equal keys hold equal text."""
    return f"config/file/{name}/{version}-{file_digest}"


class HeadEntry(Record):
    """One file of the head."""

    __slots__ = ("version", "digest")

    def __init__(self, version, digest):
        self.version = version
        self.digest = digest


class Head(Record):
    """The published files of one version; ``revision`` is the platform's."""

    __slots__ = ("version", "files", "revision")

    def __init__(self, version, files, revision):
        self.version = version
        self.files = files
        self.revision = revision

    @classmethod
    def from_stored(cls, stored):
        """Build from the platform's value; an absent one is version 0."""
        raw = stored.value or {"version": 0, "files": {}}
        files = {n: HeadEntry(v, d) for n, (v, d) in raw["files"].items()}
        return cls(raw["version"], files, stored.revision)

    def to_value(self):
        """Return the value to store."""
        files = {n: [e.version, e.digest] for n, e in self.files.items()}
        return {"version": self.version, "files": files}

    def digests(self):
        """Return a dict of file name to digest."""
        return {name: entry.digest for name, entry in self.files.items()}


def read_head(platform):
    """Return Ok of the published Head."""
    return platform.get(HEAD_KEY).map(Head.from_stored)


def fetch_texts(platform, head, cached_texts=None):
    """Return Ok of the head's files; ``known`` maps (name, digest) to text."""
    texts = {}
    for name, entry in head.files.items():
        text = (cached_texts or {}).get((name, entry.digest))
        if text is None:
            key = file_key(name, entry.version, entry.digest)
            stored = platform.get(key)
            if stored.is_err():
                return stored
            if stored.ok_value.value is None:
                return Err(PlatformError("config.fetch", key, "is missing"))
            text = stored.ok_value.value["text"]
        texts[name] = text
    return Ok(texts)


class Plan(Record):
    """What a publish would do: files to write, and files taken over."""

    __slots__ = ("head", "texts", "changed", "removed", "taken_over")

    def __init__(self, head, texts, changed, removed, taken_over):
        self.head = head
        self.texts = texts
        self.changed = changed
        self.removed = removed
        self.taken_over = taken_over


def plan_publish(platform, texts, base):
    """Compare a folder with the published files, file by file.

    Parameters
    ----------
    platform : PlatformClient
        Where the published files are.
    texts : dict
        The folder's files.
    base : dict
        File name to digest when the folder was last in step with the platform.

    Returns
    -------
    Result
        ``Ok`` of a Plan; ``Err`` of a ConflictError that names a file which
        both sides changed since the base.
    """
    read = read_head(platform)
    if read.is_err():
        return read
    head = read.ok_value
    fetched = fetch_texts(platform, head)
    if fetched.is_err():
        return fetched
    published = fetched.ok_value
    planned_texts = dict(published)
    changed, removed, taken_over = [], [], []
    for name in sorted({*texts, *published, *base}):
        ours = digest(texts[name]) if name in texts else None
        theirs = digest(published[name]) if name in published else None
        if ours == theirs:
            continue
        if ours == base.get(name):
            taken_over.append(name)
        elif theirs != base.get(name):
            detail = describe_conflict(name, ours, theirs, head)
            return Err(ConflictError("publish", name, detail))
        elif ours is None:
            removed.append(name)
            del planned_texts[name]
        else:
            changed.append(name)
            planned_texts[name] = texts[name]
    return Ok(Plan(head, planned_texts, changed, removed, taken_over))


def describe_conflict(name, ours, theirs, head):
    """Return a sentence that names both sides of a conflict."""
    entry = head.files.get(name)
    published = f"version {entry.version} ({theirs})" if entry else "removed"
    folder_side = f"this folder ({ours})" if ours else "this folder (removed)"
    return f"changed both in {folder_side} and by the published {published}"


def publish(platform, texts, base):
    """Publish a folder; returns Ok of the new Head, or Err."""
    planned = plan_publish(platform, texts, base)
    if planned.is_err():
        return planned
    return publish_plan(platform, planned.ok_value)


def publish_plan(platform, plan):
    """Publish what was planned; returns Ok of the new Head, or Err.

    Nothing is written unless the merged result passes every check.
    """
    merged = merge_texts(plan.texts)
    if merged.is_err():
        return merged
    if not plan.changed and not plan.removed:
        return Ok(plan.head)
    return write_plan(platform, plan)


def write_plan(platform, plan):
    """Write the changed pieces, then the head; returns Ok of the new Head."""
    version = plan.head.version + 1
    files = dict(plan.head.files)
    for name in plan.removed:
        del files[name]
    for name in plan.changed:
        text = plan.texts[name]
        entry = HeadEntry(version, digest(text))
        key = file_key(name, version, entry.digest)
        written = platform.put(key, {"text": text}, 0)
        is_already_written = written.is_err() and isinstance(
            written.err_value, ConflictError
        )
        if written.is_err() and not is_already_written:
            return written
        files[name] = entry
    head = Head(version, files, plan.head.revision)
    written_head = platform.put_and_verify(
        HEAD_KEY, head.to_value(), plan.head.revision
    )
    if written_head.is_err():
        return written_head
    head.revision = written_head.ok_value
    return Ok(head)


def merge_version(texts, version, cache=None):
    """Return Ok of the files' Configuration with its version set."""
    merged = merge_texts(texts, cache)
    if merged.is_err():
        return merged
    configuration = merged.ok_value
    configuration.version = version
    return Ok(configuration)
