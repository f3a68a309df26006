"""Records of one run for the checks. All times are in seconds on one clock."""

from hornbeamstand_core.records import Record


class Attempt(Record):
    """One request of a caller and its response.

    ``status`` is 0 if no response came. ``seal`` is the Server-Seal header that the
    server set, or None.
    """

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
    """One request to a VM for the route of a configuration version.

    ``n_starts`` is the number of starts of the VM's process so far.
    """

    __slots__ = ("vm", "n_starts", "version", "sent_s", "ended_s", "status")

    def __init__(self, vm, n_starts, version, sent_s, ended_s, status):
        self.vm = vm
        self.n_starts = n_starts
        self.version = version
        self.sent_s = sent_s
        self.ended_s = ended_s
        self.status = status


class Span(Record):
    """A period of time and its subject: a kind of fault, a server or a domain."""

    __slots__ = ("subject", "start_s", "end_s")

    def __init__(self, subject, start_s, end_s=float("inf")):
        self.subject = subject
        self.start_s = start_s
        self.end_s = end_s


class Journal:
    """All records of one run.

    ``unplanned_faults`` has the spans of unplanned faults, ``drained`` those in which
    servers were draining or removed, ``cold`` those of their cold starts, and
    ``out_of_service`` those in which failure domains were out of service. ``outages``
    has the spans in which the process of a VM was paused, stopped or killed, until it
    ran again, ``leaving`` those in which servers said that they leave, and
    ``cold_notices`` those in which servers were cold and only their health answers said
    so. ``senders`` maps a server id and the port of a connection to the name of the VM
    that opened it. ``published_s`` maps a configuration version to the time at which
    the store acknowledged it. ``findings`` has the findings made during the run.
    """

    __slots__ = (
        "attempts",
        "version_probes",
        "unplanned_faults",
        "drained",
        "out_of_service",
        "cold",
        "outages",
        "leaving",
        "cold_notices",
        "senders",
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
        self.outages = []
        self.leaving = []
        self.cold_notices = []
        self.senders = {}
        self.published_s = {}
        self.findings = []
