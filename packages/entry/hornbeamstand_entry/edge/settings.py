"""Settings that an edge process needs before it reads the store."""

from hornbeamstand_core.records import Record


class EdgeSettings(Record):
    """Settings of one process, built by a platform's adapter.

    Addresses are an IP address and a port: ``front_address`` serves callers' requests,
    ``lookup_address`` their lookups, ``ready_address`` readiness checks and
    ``admin_address`` the metrics. ``peer_port`` is the port for requests and heartbeats
    between VMs, the same on every VM, and ``seed_ips`` are the VMs to contact first.
    ``store_address`` is the address of the platform's store.

    ``grace_ms`` is the maximum duration of a planned stop. ``n_named`` is the number of
    VMs in the response to a lookup and ``lookup_ttl_ms`` how long callers may cache it.
    ``retry_ratio``, ``retry_slack`` and ``retry_window_ms`` are the ``ratio``,
    ``slack`` and ``window_ms`` of RetryLimits. ``n_domains`` is the number of failure
    domains; ``capacity`` is the VM's size class, greater for larger VMs.
    ``quota_limits`` is the QuotaLimits of organisations, or None for no quotas.
    ``body_memory_bytes`` is the memory for all that is held for callers together,
    ``n_descriptors`` the number of file descriptors; 0 stands for none stated.
    ``has_strict_revocation`` is set if a VM that can't confirm its configuration should
    refuse keys, which is not implemented: the process only warns.
    ``canary_share``, ``canary_slack`` and ``rollback_ms`` are the RolloutBounds;
    ``rollback_ms`` is None if the deployment has no roll-outs.
    """

    __slots__ = (
        "vm_id",
        "ip",
        "failure_domain",
        "front_address",
        "ready_address",
        "lookup_address",
        "admin_address",
        "peer_port",
        "seed_ips",
        "store_address",
        "grace_ms",
        "lookup_ttl_ms",
        "n_named",
        "retry_ratio",
        "retry_slack",
        "retry_window_ms",
        "n_domains",
        "capacity",
        "body_memory_bytes",
        "n_descriptors",
        "has_strict_revocation",
        "quota_limits",
        "canary_share",
        "canary_slack",
        "rollback_ms",
    )

    def __init__(
        self,
        vm_id,
        ip,
        failure_domain,
        front_address,
        ready_address,
        lookup_address,
        admin_address,
        peer_port,
        seed_ips,
        store_address,
        grace_ms=6000.0,
        lookup_ttl_ms=1000.0,
        n_named=2,
        retry_ratio=0.2,
        retry_slack=20.0,
        retry_window_ms=10_000.0,
        n_domains=1,
        capacity=0,
        body_memory_bytes=100 << 20,
        n_descriptors=0,
        has_strict_revocation=False,
        quota_limits=None,
        canary_share=0.0,
        canary_slack=0.0,
        rollback_ms=None,
    ):
        self.vm_id = vm_id
        self.ip = ip
        self.failure_domain = failure_domain
        self.front_address = front_address
        self.ready_address = ready_address
        self.lookup_address = lookup_address
        self.admin_address = admin_address
        self.peer_port = peer_port
        self.seed_ips = seed_ips
        self.store_address = store_address
        self.grace_ms = grace_ms
        self.lookup_ttl_ms = lookup_ttl_ms
        self.n_named = n_named
        self.retry_ratio = retry_ratio
        self.retry_slack = retry_slack
        self.retry_window_ms = retry_window_ms
        self.n_domains = n_domains
        self.capacity = capacity
        self.body_memory_bytes = body_memory_bytes
        self.n_descriptors = n_descriptors
        self.has_strict_revocation = has_strict_revocation
        self.quota_limits = quota_limits
        self.canary_share = canary_share
        self.canary_slack = canary_slack
        self.rollback_ms = rollback_ms

    @property
    def front_port(self):
        """The port that callers connect to; it is the same on every VM."""
        return int(self.front_address.rpartition(":")[2])
