"""Test helper: the VMs of a failure domain and their store, on a virtual clock."""

from heapq import heappop, heappush

from tests.edge_nodes import make_config, make_serving_node

from hornbeamstand_core.discovery import (
    ConfigEntry,
    StoreAvailable,
    StoreChanges,
    StoreUnavailable,
)
from hornbeamstand_core.edge_node_messages import (
    WATCH_NOTHING,
    CheckStore,
    Contacts,
    EdgeTick,
    FetchConfig,
    Resync,
    SendEdgeHeartbeat,
    SetWatch,
    StoreChecked,
)

TICK_MS = 100.0
LINK_MS = 2.0
CALL_MS = 10.0
# Time after which a VM finds that the store answers none of its calls.
SILENT_CALL_MS = 2200.0


class StoreCell:
    """VMs that follow a store, or learn of it from each other.

    ``cut`` has the addresses of the VMs that can't reach the store. ``checked_at_ms``
    and ``watched_at_ms`` have the address and the time of each check and watch.
    """

    def __init__(self, n_vms):
        self.now_ms = 0.0
        self.version = 1
        self.cut = set()
        self.scopes = {}
        self.checked_at_ms = []
        self.watched_at_ms = []
        self._events = []
        self._n_events = 0
        ips = [f"10.0.0.{i}" for i in range(1, 1 + n_vms)]
        self.nodes = {ip: make_serving_node(ip=ip) for ip in ips}
        for i, ip in enumerate(ips):
            self._handle(ip, Contacts(ips))
            self._at(i * TICK_MS / n_vms, self._tick, ip)
        self._handlers = {
            SendEdgeHeartbeat: self._send_heartbeat,
            CheckStore: self._check,
            SetWatch: self._set_watch,
            Resync: lambda ip, message: self._watch(ip),
            FetchConfig: self._fetch,
        }

    def run(self, for_ms):
        """Let time pass."""
        until_ms = self.now_ms + for_ms
        while self._events[0][0] <= until_ms:
            self.now_ms, _, function, arguments = heappop(self._events)
            function(*arguments)
        self.now_ms = until_ms

    def publish(self):
        """Let the operators publish a version."""
        self.version += 1
        for ip, scope in self.scopes.items():
            if scope != WATCH_NOTHING:
                self._at(CALL_MS, self._answer, ip)

    def answer_watches(self):
        """Let the store answer each watch at once."""
        for ip in self.watching():
            self._answer(ip)

    def watching(self):
        """Return the addresses of the VMs that watch the store."""
        return {ip for ip, scope in self.scopes.items() if scope != WATCH_NOTHING}

    def outdated(self):
        """Return the addresses of the VMs that reach the store and lack its version."""
        return [
            ip
            for ip, node in self.nodes.items()
            if ip not in self.cut and node.routing.version < self.version
        ]

    def _at(self, delay_ms, function, *arguments):
        self._n_events += 1
        event = (self.now_ms + delay_ms, self._n_events, function, arguments)
        heappush(self._events, event)

    def _tick(self, ip):
        self._handle(ip, EdgeTick())
        self._at(TICK_MS, self._tick, ip)

    def _handle(self, ip, message):
        for out in self.nodes[ip].handle(message, self.now_ms):
            handler = self._handlers.get(type(out))
            if handler is not None:
                handler(ip, out)

    def _send_heartbeat(self, ip, message):
        if message.ip in self.nodes:
            self._at(LINK_MS, self._handle, message.ip, message.heartbeat)

    def _check(self, ip, message):
        self.checked_at_ms.append((ip, self.now_ms))
        is_answered = ip not in self.cut
        delay_ms = CALL_MS if is_answered else message.timeout_ms
        self._at(delay_ms, self._handle, ip, StoreChecked(is_answered))

    def _set_watch(self, ip, message):
        self.scopes[ip] = message.scope
        if message.scope != WATCH_NOTHING:
            self._watch(ip)

    def _watch(self, ip):
        self.watched_at_ms.append((ip, self.now_ms))
        self._at(CALL_MS, self._answer, ip)
        self._at(SILENT_CALL_MS, self._give_up, ip)

    def _answer(self, ip):
        if ip not in self.cut:
            config = ConfigEntry("op/config", make_config(self.version))
            self._handle(ip, StoreAvailable())
            self._handle(ip, StoreChanges([config], self.version))

    def _give_up(self, ip):
        if ip in self.cut and self.scopes[ip] != WATCH_NOTHING:
            self._handle(ip, StoreUnavailable("no answer"))

    def _fetch(self, ip, message):
        config = ConfigEntry("op/config", self.nodes[message.ip].routing.config)
        self._at(2 * LINK_MS, self._handle, ip, StoreChanges([config], 0))
