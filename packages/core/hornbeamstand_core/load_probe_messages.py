"""Messages of the load probes that a request sends before it gets a slot."""

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
