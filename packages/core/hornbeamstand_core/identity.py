"""What identifies an entry VM."""

from .records import Record


class EdgeIdentity(Record):
    """What identifies one VM: its name, start, address, failure domain and size.

    ``start_id`` differs between two starts of its process; ``capacity`` is its size
    class, greater for larger VMs.
    """

    __slots__ = (
        "vm_id",
        "start_id",
        "ip",
        "failure_domain",
        "started_at_ms",
        "capacity",
    )

    def __init__(self, vm_id, start_id, ip, failure_domain, started_at_ms, capacity=0):
        self.vm_id = vm_id
        self.start_id = start_id
        self.ip = ip
        self.failure_domain = failure_domain
        self.started_at_ms = started_at_ms
        self.capacity = capacity
