"""What a day plays."""

from hornbeamstand_core.records import Record

from .callers import N_KEEPING
from .schedule import draw_events, single_event


class DayPlan(Record):
    """What a day plays.

    ``n_cores`` is the number of cores that all VMs share, of those of this process,
    which then runs on the others; 0 leaves the VMs all of them. ``only`` is the kind of
    the only event, or empty for events that are drawn and an end of all VMs.
    ``n_keeping`` is the number of callers that keep connections. ``has_cuts`` is
    whether paths between VMs are cut, ``has_drills`` whether the store comes back from
    copies.
    """

    __slots__ = (
        "seed",
        "length_s",
        "n_vms",
        "n_cores",
        "only",
        "n_keeping",
        "has_cuts",
        "has_drills",
    )

    def __init__(
        self,
        seed,
        length_s,
        n_vms,
        n_cores=0,
        only="",
        n_keeping=N_KEEPING,
        has_cuts=False,
        has_drills=False,
    ):
        self.seed = seed
        self.length_s = length_s
        self.n_vms = n_vms
        self.n_cores = n_cores
        self.only = only
        self.n_keeping = n_keeping
        self.has_cuts = has_cuts
        self.has_drills = has_drills

    def events(self):
        """Return the events, in order of time."""
        if self.only:
            return single_event(self.only)
        return draw_events(self.seed, self.length_s, self.has_cuts, self.has_drills)
