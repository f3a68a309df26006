"""What one run wrote down, for its checks. Times are readings of one clock."""

from hornbeamstand_core.records import Record


class Attempt(Record):
    """One request of a caller; ``status`` is 0 if no answer came."""

    __slots__ = (
        "attempt_id",
        "vm",
        "path",
        "is_order",
        "sent_s",
        "ended_s",
        "status",
        "seal",
        "body",
    )

    def __init__(
        self, attempt_id, vm, path, is_order, sent_s, ended_s, status, seal, body
    ):
        self.attempt_id = attempt_id
        self.vm = vm
        self.path = path
        self.is_order = is_order
        self.sent_s = sent_s
        self.ended_s = ended_s
        self.status = status
        self.seal = seal
        self.body = body


class VersionProbe(Record):
    """Whether one start of a VM served a version's own route."""

    __slots__ = ("vm", "n_starts", "version", "sent_s", "ended_s", "status")

    def __init__(self, vm, n_starts, version, sent_s, ended_s, status):
        self.vm = vm
        self.n_starts = n_starts
        self.version = version
        self.sent_s = sent_s
        self.ended_s = ended_s
        self.status = status


class Span(Record):
    """Something that held from one time to another; ``subject`` names what."""

    __slots__ = ("subject", "start_s", "end_s")

    def __init__(self, subject, start_s, end_s=float("inf")):
        self.subject = subject
        self.start_s = start_s
        self.end_s = end_s


class Journal:
    """Everything of one run.

    ``unplanned_faults`` has the unplanned faults, ``drained``, ``out_of_service`` and
    ``cold`` the spans in which servers or failure domains had to be spared;
    ``published_s`` maps a version to its acknowledgement.
    """

    __slots__ = (
        "attempts",
        "version_probes",
        "unplanned_faults",
        "drained",
        "out_of_service",
        "cold",
        "published_s",
        "findings",
    )

    def __init__(self):
        self.attempts = []
        self.version_probes = []
        self.unplanned_faults = []
        self.drained = []
        self.out_of_service = []
        self.cold = []
        self.published_s = {}
        self.findings = []
