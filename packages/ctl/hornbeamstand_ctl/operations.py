"""The operations behind the commands, as functions that return a Result."""

from hornbeamstand_wire.folder import merge_texts, read_folder
from hornbeamstand_wire.published import plan_publish, publish_plan
from result import Ok

from .base import apply_published_changes, read_base, write_base


def check_folder(folder):
    """Return Ok of the Configuration in a folder, or Err if the folder is invalid."""
    return read_folder(folder).and_then(merge_texts)


def plan_folder(folder, platform):
    """Return Ok of the Plan of what a publish would change, or Err."""
    texts = read_folder(folder)
    if texts.is_err():
        return texts
    base = read_base(folder)
    if base.is_err():
        return base
    return plan_publish(platform, texts.ok_value, base.ok_value)


def publish_folder(folder, platform):
    """Publish a folder; return Ok of (Plan, Head), or Err.

    Files that only other publishers have changed since the base are updated in the
    folder.
    """
    planned = plan_folder(folder, platform)
    if planned.is_err():
        return planned
    plan = planned.ok_value
    published = publish_plan(platform, plan)
    if published.is_err():
        return published
    head = published.ok_value
    apply_published_changes(folder, plan)
    write_base(folder, head.digests())
    return Ok((plan, head))
