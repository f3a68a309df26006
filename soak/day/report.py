"""The result of a day, as lines of text."""

from collections import Counter

from hornbeamstand_core.records import Record


class DayReport(Record):
    """The result of a day; ``losses`` has a Loss for each clause and attempt.

    ``statuses`` and ``ends`` map each status and end of an attempt to their number,
    and ``beside`` has a line about the attempts beside each piece of planned work that
    starts many VMs, or beside which the system answered itself.
    """

    __slots__ = (
        "seed",
        "n_events",
        "statuses",
        "ends",
        "losses",
        "findings",
        "beside",
        "lag_s",
        "folder",
    )

    def __init__(
        self,
        seed,
        n_events,
        statuses,
        ends,
        losses,
        findings,
        beside,
        lag_s,
        folder,
    ):
        self.seed = seed
        self.n_events = n_events
        self.statuses = statuses
        self.ends = ends
        self.losses = losses
        self.findings = findings
        self.beside = beside
        self.lag_s = lag_s
        self.folder = folder

    def counted(self):
        """Return the losses without an excuse."""
        return [loss for loss in self.losses if not loss.excuse]

    def lines(self):
        """Return the report as lines of text."""
        yield (
            f"day {self.seed}: {self.n_events} events, answers {self.statuses},"
            f" ends {self.ends},"
            f" lag of the trial {1000 * self.lag_s:.0f} ms, logs in {self.folder}"
        )
        for line in self.beside:
            yield f"  {line}"
        for finding in self.findings:
            yield f"  FINDING {finding}"
        counts = Counter((loss.clause, loss.excuse) for loss in self.losses)
        for (clause, excuse), n in sorted(counts.items()):
            count = f"{n} excused ({excuse})" if excuse else f"{n} COUNTED"
            yield f"  LOST {clause}: {count}"
        for loss in self.losses:
            if loss.excuse.startswith("kill"):
                continue
            yield f"    {loss.clause[0]} [{loss.excuse}] {loss.details}"
