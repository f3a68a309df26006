"""How long a VM without targets may expect to get them, and when it is cut off."""

from ...edge_messages import StateChange

# Maximum time for which a VM that hears no peer, or can't reach the store, lets
# requests wait for the targets. A read of the store takes a fraction of it.
TARGET_WAIT_MAX_MS = 300.0


class TargetWait:
    """Since when this VM has had no targets, and a reason not to get them.

    ``since_ms`` is None while it has them, or nothing shows that they won't come. Once
    nobody can give them, ``is_fruitless`` is set, and the wait is over.

    Parameters
    ----------
    ip : str
        This VM's address.
    owner_paths : OwnerPaths
        The paths from this VM to the owners.
    table : TargetTable
        The targets that were read.
    """

    __slots__ = (
        "ip",
        "owner_paths",
        "table",
        "since_ms",
        "is_fruitless",
        "_was_cut_off",
    )

    def __init__(self, ip, owner_paths, table):
        self.ip = ip
        self.owner_paths = owner_paths
        self.table = table
        self.since_ms = None
        self.is_fruitless = False
        # Whether this VM was cut off at its last tick.
        self._was_cut_off = False

    def note(self, is_hindered, now_ms):
        """Record whether something other than a lack of owners hinders the targets."""
        is_hindered = is_hindered or self.owner_paths.are_lacking(now_ms)
        if not is_hindered or self.table.is_filled:
            self.since_ms = None
        elif self.since_ms is None:
            self.since_ms = now_ms

    def reset(self):
        """Begin a new wait with the next reason not to get the targets."""
        self.since_ms = None

    def is_over(self, now_ms):
        """Return whether requests should not wait for the targets any more."""
        if self.since_ms is None:
            return False
        return self.is_fruitless or now_ms - self.since_ms >= TARGET_WAIT_MAX_MS

    def is_awaiting(self, now_ms):
        """Return whether this VM lacks the targets but may still get them."""
        return not self.table.is_filled and not self.is_over(now_ms)

    def is_cut_off(self, now_ms):
        """Return whether this VM can't serve, since it can use no owner.

        A VM that holds targets can serve. So some VM is ready also while the store is
        down, or while all VMs are cut off from each other.
        """
        return self.owner_paths.are_all_lacking(now_ms) and self.is_over(now_ms)

    def note_cut_off(self, now_ms):
        """Return a StateChange if this VM is cut off now, or no longer."""
        is_cut_off = self.is_cut_off(now_ms)
        if is_cut_off == self._was_cut_off:
            return []
        self._was_cut_off = is_cut_off
        event = "cut off" if is_cut_off else "reached again"
        return [StateChange("vm", event, self.ip)]
