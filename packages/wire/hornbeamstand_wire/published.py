"""The published configuration: a head, and one key for each version of a file.

The head maps each file name to the version that last changed the file and to the
digest of its content. A publish writes the changed files under the next version and
then replaces the head by compare-and-swap. A file's content is never overwritten,
and nothing reads it before the head refers to it.
"""

from typing import TypedDict

from hornbeamstand_core.errors import ConflictError, PlatformError
from hornbeamstand_core.records import Record
from result import Err, Ok

from .folder import digest, merge_texts
from .json_text import check_type

HEAD_KEY = "config/head"


def file_key(name, version, file_digest):
    """Return the key of a file's content; equal keys hold equal text."""
    return f"config/file/{name}/{version}-{file_digest}"


class HeadFields(TypedDict):
    """The JSON object of a Head: its files are pairs of version and digest."""

    version: int
    files: dict[str, tuple[int, str]]


class FileFields(TypedDict):
    """The JSON object of a file's content."""

    text: str


class HeadEntry(Record):
    """The version that last changed a file, and the digest of its content."""

    __slots__ = ("version", "digest")

    def __init__(self, version, digest):
        self.version = version
        self.digest = digest


class Head(Record):
    """The files of one published version.

    ``files`` maps a file name to a HeadEntry. ``revision`` is the revision of the
    head's key in the platform's store.
    """

    __slots__ = ("version", "files", "revision")

    def __init__(self, version, files, revision):
        self.version = version
        self.files = files
        self.revision = revision

    @classmethod
    def from_stored(cls, stored):
        """Build from a StoredValue; an absent head is version 0 without files.

        Raises ValueError if the value is not that of a head.
        """
        raw = check_type(stored.value or {"version": 0, "files": {}}, HeadFields)
        files = {n: HeadEntry(v, d) for n, (v, d) in raw["files"].items()}
        return cls(raw["version"], files, stored.revision)

    def to_value(self):
        """Return the JSON value of the head."""
        files = {n: [e.version, e.digest] for n, e in self.files.items()}
        return {"version": self.version, "files": files}

    def digests(self):
        """Return a dict of file name to digest."""
        return {name: entry.digest for name, entry in self.files.items()}


def read_head(platform):
    """Read the published Head; returns Ok of it, or Err."""
    stored = platform.get(HEAD_KEY)
    if stored.is_err():
        return stored
    try:
        return Ok(Head.from_stored(stored.ok_value))
    except ValueError as error:
        return Err(PlatformError("config.head", HEAD_KEY, f"is malformed: {error}"))


def fetch_texts(platform, head, cached_texts=None):
    """Fetch the files of a head; returns Ok of a dict of file name to text, or Err.

    ``cached_texts`` maps (file name, digest) to texts that need no fetch.
    """
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
            try:
                text = check_type(stored.ok_value.value, FileFields)["text"]
            except ValueError as error:
                detail = f"is malformed: {error}"
                return Err(PlatformError("config.fetch", key, detail))
        texts[name] = text
    return Ok(texts)


class Plan(Record):
    """The effects of a publish.

    ``head`` is the head before the publish. ``texts`` maps file names to texts, for
    all files after the publish. ``changed``, ``removed`` and ``taken_over`` list file
    names. A file is taken over if only the published version changed since the base,
    that is since the folder last equalled the published configuration. The folder then
    gets that version.
    """

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
        Client of the store that holds the published files.
    texts : dict
        File name to text, for the files of the folder.
    base : dict
        File name to digest, for the files as they were when the folder last equalled
        the published configuration.

    Returns
    -------
    Result
        ``Ok`` of a Plan, or ``Err`` of a ConflictError that names a file that both
        sides changed since the base, or of the error of a read.
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
    """Return the detail of a ConflictError, which names both versions of a file."""
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
    """Publish a plan; returns Ok of the new Head, or Err.

    Nothing is written unless the merged configuration passes every check.
    """
    merged = merge_texts(plan.texts)
    if merged.is_err():
        return merged
    if not plan.changed and not plan.removed:
        return Ok(plan.head)
    return write_plan(platform, plan)


def write_plan(platform, plan):
    """Write the changed files, then the head; returns Ok of the new Head, or Err."""
    version = plan.head.version + 1
    files = dict(plan.head.files)
    for name in plan.removed:
        del files[name]
    for name in plan.changed:
        text = plan.texts[name]
        entry = HeadEntry(version, digest(text))
        key = file_key(name, version, entry.digest)
        # After a conflict the key holds the same text, because the key contains the
        # digest of the text.
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
    """Merge files; returns Ok of their Configuration with its version set, or Err."""
    merged = merge_texts(texts, cache)
    if merged.is_err():
        return merged
    configuration = merged.ok_value
    configuration.version = version
    return Ok(configuration)
