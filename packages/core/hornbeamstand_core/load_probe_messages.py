"""Messages of load probes, such as those that a request sends to get a slot."""

from .records import Record


class ProbesNeeded(Record):
    """The load probes to send before the slot is requested again, as SendProbes."""

    __slots__ = ("probes",)

    def __init__(self, probes):
        self.probes = probes


class ProbeLoads(Record):
    """Send the load probes of a ProbesNeeded.

    The reply is True once a target that is not slowed down has answered, or all
    targets have, and False if the probes timed out before.
    """

    __slots__ = ("needed",)

    def __init__(self, needed):
        self.needed = needed


class LoadProbeResult(Record):
    """The result of a load probe.

    ``report`` is None if no load figures came; ``is_answered`` distinguishes a target
    that answered without them from one that did not answer. ``notice`` is the
    TargetNotice of the answer, or None. ``started_wall_ms`` is the start of the target
    that was probed, or None if it is unknown.
    """

    __slots__ = (
        "service_name",
        "target_id",
        "report",
        "is_answered",
        "notice",
        "started_wall_ms",
    )

    def __init__(
        self,
        service_name,
        target_id,
        report,
        is_answered=True,
        notice=None,
        started_wall_ms=None,
    ):
        self.service_name = service_name
        self.target_id = target_id
        self.report = report
        self.is_answered = is_answered
        self.notice = notice
        self.started_wall_ms = started_wall_ms
