"""Records of one day. All times are in seconds on the clock of the event loop."""

import gevent
from hornbeamstand_core.records import Record

ANSWERED = "answered"
CLOSED = "closed"
SILENT = "silent"
NOT_CONNECTED = "not connected"


def now_s():
    """Return the time on the clock of the day."""
    return gevent.get_hub().loop.now()


class DayAttempt(Record):
    """One attempt of a caller.

    ``sent_s`` is when its last byte was sent, infinite if it was not. ``end`` is how it
    ended: ANSWERED, CLOSED (without a complete answer), SILENT or NOT_CONNECTED.
    ``has_answer_begun`` is set if bytes of an answer came. ``timeout_s`` is the
    lesser of its deadline and its route's timeout when it began, ``late_timeout_s`` the
    route's when it ended. ``has_lasting_route`` is set if all versions of the
    configuration have its route. ``form`` is that of its
    request.
    """

    __slots__ = (
        "attempt_id",
        "kind",
        "vm",
        "is_kept",
        "began_s",
        "sent_s",
        "ended_s",
        "timeout_s",
        "late_timeout_s",
        "has_lasting_route",
        "end",
        "status",
        "seal",
        "is_body_whole",
        "has_answer_begun",
        "form",
    )

    def __init__(self, attempt_id, kind, timeout_s):
        self.attempt_id = attempt_id
        self.kind = kind
        self.timeout_s = timeout_s
        self.late_timeout_s = float("inf")
        self.has_lasting_route = False
        self.vm = ""
        self.is_kept = False
        self.began_s = now_s()
        self.sent_s = float("inf")
        self.ended_s = float("inf")
        self.end = NOT_CONNECTED
        self.status = 0
        self.seal = None
        self.is_body_whole = True
        self.has_answer_begun = False
        self.form = ""


class Run(Record):
    """One request at work at a target; ``is_broken`` if the target broke it off.

    ``service`` is that of the target, if it is known. ``until_s`` is when the time ends
    that the target was given.
    """

    __slots__ = ("server_id", "service", "start_s", "until_s", "end_s", "is_broken")

    def __init__(self, server_id, service=None, left_s=float("inf")):
        self.server_id = server_id
        self.service = service
        self.start_s = now_s()
        self.until_s = self.start_s + left_s
        self.end_s = float("inf")
        self.is_broken = False


class Event(Record):
    """Planned work or an unplanned disruption; ``vm`` is empty if it concerns none."""

    __slots__ = ("kind", "vm", "start_s", "end_s")

    def __init__(self, kind, vm=""):
        self.kind = kind
        self.vm = vm
        self.start_s = now_s()
        self.end_s = float("inf")


class Stray(Record):
    """A request that reached a target out of use, sent by ``vm`` (empty if unknown).

    ``kind`` is ``left`` (the target said so, or its entry was removed) or
    ``domain-out``, acknowledged at ``since_s``.
    """

    __slots__ = ("kind", "since_s", "at_s", "attempt_id", "server_id", "vm")

    def __init__(self, kind, since_s, attempt_id, server_id, vm):
        self.kind = kind
        self.since_s = since_s
        self.at_s = now_s()
        self.attempt_id = attempt_id
        self.server_id = server_id
        self.vm = vm

    def describe(self):
        """Return the request as text."""
        return (
            f"{self.at_s:.2f} {self.attempt_id} at {self.server_id} ({self.kind})"
            f" {self.at_s - self.since_s:.2f} s after its acknowledgement,"
            f" from {self.vm or 'an unknown VM'}"
        )


class DayJournal:
    """All records of a day.

    ``planned`` and ``unplanned`` have its Events, ``arrivals`` maps an attempt id to
    the ids of the targets that it reached, ``runs`` to its Runs. ``findings`` has what
    is found during the day, ``lags`` (time, lag in s) of the event loop. ``starts`` has
    (name of a VM, time) of each start. ``config_acked_s`` maps a version to the time of
    its last acknowledgement, ``left_s`` the id of a target to that of its leaving, and
    ``domains_out`` a failure domain to that from which it is out of service. ``strays``
    has the requests at such targets, and ``n_misdirected`` is the number of those that
    another target had been meant for.
    """

    __slots__ = (
        "attempts",
        "planned",
        "unplanned",
        "arrivals",
        "runs",
        "findings",
        "lags",
        "starts",
        "config_acked_s",
        "left_s",
        "domains_out",
        "strays",
        "n_misdirected",
    )

    def __init__(self):
        self.attempts = []
        self.planned = []
        self.unplanned = []
        self.arrivals = {}
        self.runs = {}
        self.findings = []
        self.lags = []
        self.starts = []
        self.config_acked_s = {}
        self.left_s = {}
        self.domains_out = {}
        self.strays = []
        self.n_misdirected = 0

    def add_planned(self, kind, vm=""):
        """Record the start of planned work; returns its Event."""
        self.planned.append(Event(kind, vm))
        return self.planned[-1]

    def add_unplanned(self, kind, vm=""):
        """Record the start of an unplanned disruption; returns its Event."""
        self.unplanned.append(Event(kind, vm))
        return self.unplanned[-1]

    def lag_s(self, from_s, to_s):
        """Return the greatest lag of the event loop between two times."""
        return max(
            (lag for at, lag in self.lags if from_s <= at <= to_s + lag), default=0
        )
