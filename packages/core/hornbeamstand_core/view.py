"""The membership view of a cell: a versioned list of its entry VMs."""

from .records import Record

ACTIVE = "active"
LEAVING = "leaving"
# Maximum number of members that left cleanly whose ids the view keeps, the latest ones.
# A VM that skipped versions of the view can thus tell these members from crashed ones.
N_CLEAN_EXITS_KEPT = 16


class Member(Record):
    """One entry VM of a cell.

    ``lease_id`` is its lease at the platform; a VM that rejoins gets a new
    member id and a new lease.
    """

    __slots__ = (
        "member_id",
        "front_address",
        "peer_address",
        "failure_domain",
        "state",
        "lease_id",
    )

    def __init__(
        self,
        member_id,
        front_address,
        peer_address,
        failure_domain,
        state=ACTIVE,
        lease_id="",
    ):
        self.member_id = member_id
        self.front_address = front_address
        self.peer_address = peer_address
        self.failure_domain = failure_domain
        self.state = state
        self.lease_id = lease_id

    def has_addresses_of(self, other):
        """Return whether this member has the addresses of another one.

        Only one process can have them at a time.
        """
        return (
            self.front_address == other.front_address
            and self.peer_address == other.peer_address
        )

    def with_state(self, state):
        """Return a copy with another state."""
        return Member(
            self.member_id,
            self.front_address,
            self.peer_address,
            self.failure_domain,
            state,
            self.lease_id,
        )


class View(Record):
    """The members of one cell; ``version`` grows by one with each change.

    ``clean_exits`` are the ids of the latest members that left in a planned stop.
    """

    __slots__ = ("version", "members", "clean_exits")

    def __init__(self, version, members, clean_exits=()):
        self.version = version
        self.members = members
        self.clean_exits = tuple(clean_exits)

    @classmethod
    def empty(cls):
        """Return the view without members: version 0."""
        return cls(0, {})

    def active_members(self):
        """Return the members that accept new requests, ordered by id."""
        return [m for _, m in sorted(self.members.items()) if m.state == ACTIVE]

    def with_member(self, member):
        """Return the next view, with one member added or replaced."""
        members = {**self.members, member.member_id: member}
        return View(self.version + 1, members, self.clean_exits)

    def without(self, member_ids, is_clean):
        """Return the next view, without some members.

        ``is_clean`` is set if they leave in a planned stop, and not if they crashed.
        """
        members = {
            member_id: member
            for member_id, member in self.members.items()
            if member_id not in member_ids
        }
        exits = self.clean_exits
        if is_clean:
            exits = (*exits, *member_ids)[-N_CLEAN_EXITS_KEPT:]
        return View(self.version + 1, members, exits)

    @property
    def n_majority(self):
        """The number of members that form a majority."""
        return len(self.members) // 2 + 1


class Epoch(Record):
    """The versions of view and configuration that determine the owners of targets."""

    __slots__ = ("view_version", "config_version")

    def __init__(self, view_version, config_version):
        self.view_version = view_version
        self.config_version = config_version
