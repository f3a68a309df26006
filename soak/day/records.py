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
    lesser of its deadline and its route's timeout. ``form`` is that of its request.
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


class DayJournal:
    """All records of a day.

    ``planned`` and ``unplanned`` have its Events, ``arrivals`` maps an attempt id to
    the ids of the targets that it reached, ``runs`` to its Runs. ``findings`` has what
    is found during the day, ``lags`` (time, lag in s) of the event loop.
    """

    __slots__ = (
        "attempts",
        "planned",
        "unplanned",
        "arrivals",
        "runs",
        "findings",
        "lags",
    )

    def __init__(self):
        self.attempts = []
        self.planned = []
        self.unplanned = []
        self.arrivals = {}
        self.runs = {}
        self.findings = []
        self.lags = []

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
