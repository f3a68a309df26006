"""The task that keeps this VM's entry in the platform's store."""

from random import random

import gevent
from hornbeamstand_core.edge_node_messages import WATCH_ALL

from ..tasks.failures import spawn_supervised

# Time for which a VM watches the targets before it registers itself.
REGISTRATION_DELAY_MS = 1500.0
# Time after which the store removes the entry of a VM that does not renew its lease.
LEASE_MS = 60_000.0
# Interval between two renewals of the lease.
LEASE_RENEWAL_MS = 20_000.0
# Minimum and maximum delay before a failed registration is repeated. The delay doubles
# with every failure.
BACKOFF_MIN_MS = 60.0
BACKOFF_MAX_MS = 12_000.0
# Maximum delay, a random one for each VM, before the entry is written in a new era.
ERA_WRITE_SPREAD_MS = 400.0
STATUS_LEASE_NOT_FOUND = 404
MS_PER_S = 1000.0


class Registration:
    """Keeps this VM's entry in the store while it watches all keys.

    New VMs find this one by its entry. They find VMs without an entry through the VMs
    that have one, and through the seeds.

    Parameters
    ----------
    store : StoreClient
        Client of the store.
    key : str
        Key of the entry.
    value : bytes
        Value of the entry.
    log : EdgeLog
        Logs failed registrations and ended leases.
    """

    __slots__ = ("store", "key", "value", "log", "_greenlet")

    def __init__(self, store, key, value, log):
        self.store = store
        self.key = key
        self.value = value
        self.log = log
        self._greenlet = None

    def start(self, stack):
        """Let the stack end the greenlet that ``set_watch`` starts."""
        stack.callback(self._stop)

    def set_watch(self, message):
        """Keep the entry while all keys are watched; otherwise let it expire."""
        if message.scope != WATCH_ALL:
            self._stop()
        elif self._greenlet is None:
            self._begin(REGISTRATION_DELAY_MS)

    def begin_era(self):
        """Write the entry again with a new lease.

        The id of the earlier lease may be that of another VM by now.
        """
        if self._greenlet is not None:
            self._stop()
            self._begin(random() * ERA_WRITE_SPREAD_MS)

    def _begin(self, delay_ms):
        self._greenlet = spawn_supervised("registration", self._run, delay_ms)

    def _stop(self):
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
            self._greenlet = None

    def _run(self, delay_ms):
        gevent.sleep(delay_ms / MS_PER_S)
        backoff_ms = BACKOFF_MIN_MS
        while True:
            result = self._register()
            if result.is_ok():
                backoff_ms = BACKOFF_MIN_MS
                self._renew_until_ended(result.ok_value)
                continue
            detail = f"{result.err_value}; retrying in {backoff_ms:.0f} ms"
            self.log.info("store: registration failed", error=detail)
            gevent.sleep(backoff_ms / MS_PER_S)
            backoff_ms = min(BACKOFF_MAX_MS, 2.0 * backoff_ms)

    def _register(self):
        lease = self.store.grant_lease(LEASE_MS)
        if lease.is_err():
            return lease
        written = self.store.put(self.key, self.value, lease.ok_value)
        return lease if written.is_ok() else written

    def _renew_until_ended(self, lease_id):
        """Renew the lease until the store reports that it has ended."""
        while True:
            gevent.sleep(LEASE_RENEWAL_MS / MS_PER_S)
            renewed = self.store.renew_lease(lease_id)
            if renewed.is_err() and renewed.err_value.status == STATUS_LEASE_NOT_FOUND:
                self.log.info("store: lease ended", lease=lease_id)
                return
