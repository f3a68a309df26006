"""Says when a VM is in touch, by the rules."""

from .site import CONTACT_S, READY_S

# Kinds of planned work that disturb no VM.
HARMLESS_KINDS = frozenset(["config", "reload", "add-many"])


# Time from the end of a long absence of the store until a VM that started in it is
# ready.
READY_AFTER_STORE_S = 2.0


def overlaps(work, from_s, to_s):
    """Return whether work took place between two times."""
    return work.start_s <= to_s and work.end_s >= from_s


def is_core_stable(journal, from_s, to_s):
    """Return whether the store was without disruption all the while."""
    return not any(
        work.kind.startswith("store") and overlaps(work, from_s, to_s)
        for work in journal.unplanned
    )


def is_calm(journal, vm, from_s, to_s):
    """Return whether a VM ran all the while, with no start and no disruption."""
    works = [work for work in journal.planned if work.kind not in HARMLESS_KINDS]
    works += [work for work in journal.unplanned if work.kind == "cut-domains"]
    works += [work for work in journal.unplanned if work.vm == vm]
    has_work = any(
        overlaps(work, from_s, to_s) for work in works if work.vm in (vm, "")
    )
    return not has_work and not any(
        name == vm and from_s <= at_s <= to_s for name, at_s in journal.starts
    )


def is_in_touch(journal, vm, at_s):
    """Return whether a VM is in touch at a time."""
    from_s = at_s - CONTACT_S
    return is_core_stable(journal, from_s, at_s) and is_calm(journal, vm, from_s, at_s)


def ready_due_s(journal, started_s):
    """Return the time by which a VM must be ready.

    A VM that starts while the store is down may wait for it, and is ready soon after.
    """
    due_s = started_s + READY_S
    for work in journal.unplanned:
        if work.kind == "store-down" and overlaps(work, started_s, due_s):
            due_s = max(due_s, work.end_s + READY_AFTER_STORE_S)
    return due_s
