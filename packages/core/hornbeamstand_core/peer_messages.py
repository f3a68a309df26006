"""Messages between the entry VMs of one cell."""

from .records import Record


class HandOverRecord(Record):
    """What an owner passes on with a target: counts and learned state.

    ``n_in_flight`` requests of the old owner, and ``inherited_counts`` of
    owners before it, still run on the target.
    """

    __slots__ = (
        "service_name",
        "target_id",
        "view_version",
        "config_version",
        "n_in_flight",
        "inherited_counts",
        "phase",
        "limit",
        "latency_ms",
        "start_id",
    )

    def __init__(
        self,
        service_name,
        target_id,
        view_version,
        config_version,
        n_in_flight,
        inherited_counts,
        phase,
        limit,
        latency_ms,
        start_id,
    ):
        self.service_name = service_name
        self.target_id = target_id
        self.view_version = view_version
        self.config_version = config_version
        self.n_in_flight = n_in_flight
        self.inherited_counts = inherited_counts
        self.phase = phase
        self.limit = limit
        self.latency_ms = latency_ms
        self.start_id = start_id


class Heartbeat(Record):
    """One VM's regular message to one peer.

    Attributes
    ----------
    sender_id, receiver_id : str
        Member ids.
    view_version, config_version : int
        The sender's epoch.
    sent_at_ms : float
        The sender's clock; only ever compared with itself.
    echo_at_ms : float or None
        The receiver's newest ``sent_at_ms`` that the sender has seen, if both
        are members of the sender's view.
    platform_echo_at_ms : float or None
        The receiver's ``sent_at_ms`` for which the sender renewed its lease.
    silent_ms : dict
        By member id: how long ago the sender last echoed it, for members not
        heard lately and for members that vanished from the view.
    pending : list of str
        ``service/target`` that the sender owns but may not use yet.
    records : list of HandOverRecord
        For targets that pass to the receiver.
    draining : dict
        By ``service/target``: the sender's requests still in flight on targets
        that the receiver owns.
    rooms : list of CapacityReport
        The sender's spare room.
    """

    __slots__ = (
        "sender_id",
        "receiver_id",
        "view_version",
        "config_version",
        "sent_at_ms",
        "echo_at_ms",
        "platform_echo_at_ms",
        "silent_ms",
        "pending",
        "records",
        "draining",
        "capacity_reports",
    )

    def __init__(
        self,
        sender_id,
        receiver_id,
        view_version,
        config_version,
        sent_at_ms,
        echo_at_ms=None,
        platform_echo_at_ms=None,
        silent_ms=None,
        pending=(),
        records=(),
        draining=None,
        capacity_reports=(),
    ):
        self.sender_id = sender_id
        self.receiver_id = receiver_id
        self.view_version = view_version
        self.config_version = config_version
        self.sent_at_ms = sent_at_ms
        self.echo_at_ms = echo_at_ms
        self.platform_echo_at_ms = platform_echo_at_ms
        self.silent_ms = silent_ms or {}
        self.pending = pending
        self.records = records
        self.draining = draining or {}
        self.capacity_reports = capacity_reports
