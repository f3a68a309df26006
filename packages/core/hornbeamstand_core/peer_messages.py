"""Messages between the entry VMs of one cell."""

from .records import Record


class HandOverRecord(Record):
    """The state of a target that its old owner passes to the new one.

    ``n_in_flight`` requests of the old owner still run on the target, and those in
    ``inherited_counts``, by member id, of the owners before it. The two versions are
    the epoch of the hand-over; the other slots are as in ``TargetState``.
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
    """The periodic message of one VM to one peer.

    Attributes
    ----------
    sender_id, receiver_id : str
        Member ids.
    view_version, config_version : int
        The sender's epoch.
    sent_at_ms : float
        Time on the sender's clock; compared only with other times of that clock.
    echo_at_ms : float or None
        The ``sent_at_ms`` of the receiver's latest heartbeat that the sender got, if
        both are members of the sender's view.
    platform_echo_at_ms : float or None
        The ``sent_at_ms`` of the receiver's heartbeat upon which the sender renewed
        the receiver's lease.
    silent_ms : dict
        By member id: how long ago the sender last echoed it, for members whose
        heartbeats have been missing for some time and for members that are no longer
        in the view.
    pending : list of str
        ``service/target`` of the targets that the sender owns but may not use yet.
    records : list of HandOverRecord
        Records of the targets that pass to the receiver.
    draining : dict
        By ``service/target``: the number of the sender's requests still in flight
        on targets that the receiver owns.
    capacity_reports : list of CapacityReport
        The sender's free capacity by service.
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
