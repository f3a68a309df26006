"""Builds the tasks of one edge process and runs them until the process stops."""

import gc
import socket
import time
from contextlib import ExitStack

import gevent
from hornbeamstand_core.balancer_messages import SendProbe
from hornbeamstand_core.controllers.edge import EdgeNode
from hornbeamstand_core.controllers.stop_limit import StopLimit
from hornbeamstand_core.edge_node_messages import (
    FetchConfig,
    Resync,
    RetryLimits,
    SendContacts,
    SendEdgeHeartbeat,
    SetWatch,
    StopEdge,
)
from hornbeamstand_core.filters.edge_chain import build_edge_chain
from hornbeamstand_core.identity import EdgeIdentity
from hornbeamstand_core.routes import CallerLimits

from ..clock import make_process_clock
from ..closing import close_bounded
from ..tasks.byte_budget import ByteBudget
from ..tasks.connections import ConnectionRules
from ..tasks.pools import Pools
from ..tasks.response_parser import HEAD_MAX_BYTES
from .addresses import wait_until_free
from .config_copies import ConfigCopies
from .control_task import EdgeControlTask
from .front import EdgeFront, respond
from .heartbeats import HeartbeatTask
from .load_probes import LoadProber
from .logs import EdgeLog
from .metrics import EdgeMetrics
from .performers import make_performers
from .servers import (
    close_idle_connections,
    has_requests,
    start_server,
    stop_accepting,
)
from .signals import Signals
from .store_client import StoreClient
from .store_watcher import Registration, StoreWatcher

# Timeouts for opening a connection.
TARGET_CONNECT_MS = 250.0
PEER_CONNECT_MS = 150.0
STORE_CONNECT_MS = 500.0
# Maximum size of the head of a response that another VM relays: it has added headers to
# that of a target.
RELAYED_HEAD_MAX_BYTES = 2 * HEAD_MAX_BYTES
# Maximum wait for the store's answer, in addition to the time that a watch may be held.
STORE_TIMEOUT_MS = 800.0
# Maximum time for which sent bytes may stay unacknowledged.
TCP_USER_TIMEOUT_MS = 1500
# Maximum idle time after which a connection to a target is still reused.
TARGET_IDLE_MS = 8000.0
# Maximum age of the last answer on a connection to a target that a request reuses, if
# the request may run only once.
TARGET_RESPONSE_MAX_AGE_MS = 1500.0
# Maximum time for which a planned stop still accepts connections. Callers may use the
# address from an earlier lookup for that long. A longer time would leave the accepted
# requests too little of the grace period.
STOP_LISTEN_MAX_MS = 2900.0
# Interval at which a planned stop checks whether the requests have ended.
STOP_POLL_INTERVAL_MS = 50.0
# Part of the grace period that is reserved for the exit of the process: after the grace
# period, the platform kills it.
STOP_MARGIN_MS = 600.0
# Timeout for closing the tasks' resources. Greenlets that have not ended by then end
# with the process.
CLOSE_TIMEOUT_MS = 150.0
MS_PER_S = 1000.0
# Thresholds of the garbage collector: net allocations before a collection of the
# youngest generation, collections of the youngest before one of the middle generation,
# and collections of the middle before one of the oldest.
GC_YOUNG_THRESHOLD = 20_000
GC_MIDDLE_THRESHOLD = 50
GC_OLD_THRESHOLD = 100
# Time for which callers' connections may be idle beyond the limit that callers are
# told, so that no connection is closed while a request is on its way.
IDLE_MARGIN_MS = 2000.0
# Least limit of the headers of a request that another VM relays.
RELAYED_HEADER_MIN_BYTES = 1 << 20


class EdgeProcess:
    """The tasks of one edge process.

    ``body_budget`` limits the bytes of all bodies of requests and responses, and
    ``stop_limit`` is the end of a planned stop.
    ``peer_pools`` holds the connections to other entry VMs. ``caller_servers`` are the
    HTTP servers for callers' requests, which a planned stop closes first, and
    ``peer_server`` is that for the requests that other VMs relay.
    """

    __slots__ = (
        "settings",
        "dialect",
        "clock",
        "log",
        "metrics",
        "node",
        "control_task",
        "front",
        "store",
        "store_watcher",
        "registration",
        "body_budget",
        "stop_limit",
        "peer_pools",
        "caller_servers",
        "peer_server",
    )

    @classmethod
    def from_config(cls, settings, dialect, log, stack):
        """Build the tasks and start them; the exit stack stops and closes them."""
        self = cls()
        self.settings = settings
        self.dialect = dialect
        self.clock = make_process_clock()
        self.log = log
        self.metrics = EdgeMetrics()
        self.node = make_node(settings, self.clock)
        self.control_task = EdgeControlTask(self.node, self.clock, self.log)
        self.body_budget = ByteBudget(settings.body_memory_bytes)
        rules = ConnectionRules(
            PEER_CONNECT_MS,
            TCP_USER_TIMEOUT_MS,
            answer_budget=self.body_budget,
            head_max_bytes=RELAYED_HEAD_MAX_BYTES,
        )
        self.peer_pools = Pools(self.clock, stack, rules)
        self._build_store(stack)
        self._build_front(stack)
        return self

    def _build_store(self, stack):
        """Build and start the tasks of the store, the peers and the controllers."""
        settings, dialect = self.settings, self.dialect
        rules = ConnectionRules(STORE_CONNECT_MS, TCP_USER_TIMEOUT_MS, keepalive_s=1)
        pools = Pools(self.clock, stack, rules)
        self.store = StoreClient(
            settings.store_address, dialect.store, pools, self.clock, STORE_TIMEOUT_MS
        )
        self.store_watcher = StoreWatcher(
            self.store,
            self.control_task,
            self.log,
            self.node.watch_scope.first_read_delay_ms,
        )
        key, value = dialect.vm_item(settings.vm_id, settings.ip)
        self.registration = Registration(self.store, key, value, self.log)
        heartbeats = HeartbeatTask(
            settings.ip, settings.peer_port, self.control_task, self.log
        )
        self.control_task.connect(SendEdgeHeartbeat, heartbeats.post)
        self.control_task.connect(Resync, self.store_watcher.resync)
        self.control_task.connect(SetWatch, self.set_watch)
        self.control_task.connect(SendContacts, heartbeats.post)
        copies = ConfigCopies(
            self.peer_pools,
            settings.peer_port,
            dialect.store.decode_config_copy,
            self.control_task,
            self.clock,
            self.log,
        )
        self.control_task.connect(FetchConfig, copies.post)
        heartbeats.start(stack)
        self.control_task.start(stack)
        copies.start(stack)
        self.registration.start(stack)
        self.store_watcher.start(stack)

    def set_watch(self, message):
        """Pass a SetWatch to the tasks that depend on what is watched."""
        self.store_watcher.set_watch(message)
        self.registration.set_watch(message)

    def _build_front(self, stack):
        """Build the load prober, the performers, the front end and the gauges."""
        body_budget = self.body_budget
        self.stop_limit = StopLimit()
        target_pools = Pools(
            self.clock,
            stack,
            ConnectionRules(
                TARGET_CONNECT_MS,
                TCP_USER_TIMEOUT_MS,
                id_header=self.dialect.headers.request_id,
                requires_id=True,
                accepts_unframed=True,
                last_response_max_age_ms=TARGET_RESPONSE_MAX_AGE_MS,
                idle_max_ms=TARGET_IDLE_MS,
                answer_budget=body_budget,
            ),
        )
        prober = LoadProber(target_pools, self.control_task, self.dialect, self.clock)
        self.control_task.connect(SendProbe, prober.post)
        prober.start(stack)
        self.metrics.gauges["looks"] = lambda: (
            prober.n_sent + self.metrics.n_load_probes
        )
        performers = make_performers(
            self.control_task,
            target_pools,
            self.peer_pools,
            self.dialect,
            self.metrics,
            self.log,
            self.clock,
            self.settings,
            self.stop_limit,
        )
        self.front = EdgeFront(
            self.node,
            build_edge_chain(),
            performers,
            self.dialect,
            self.clock,
            self.settings,
            body_budget,
            self.log,
        )
        self.metrics.gauges["body_bytes"] = lambda: body_budget.n_used_bytes
        self.metrics.gauges["requests_inside"] = lambda: self.front.n_requests
        self.metrics.gauges["store_calls"] = lambda: self.store.n_calls
        self.metrics.gauges["config_version"] = lambda: self.node.routing.version
        self.metrics.gauges["log_lines_left_out"] = lambda: self.log.lines.n_dropped

    def serve_admin(self, environ, start_response):
        """Serve the metrics (WSGI)."""
        if environ["PATH_INFO"] != "/metrics":
            return respond(start_response, 404, b"", [("Content-Type", "text/plain")])
        body = self.metrics.render()
        return respond(start_response, 200, body, [("Content-Type", "text/plain")])

    def listen(self, stack):
        """Start the HTTP servers."""
        settings, front = self.settings, self.front
        peer_address = f"{settings.ip}:{settings.peer_port}"

        def listen_at(address, app, limits=self.caller_limits):
            return start_server(address, app, stack, self.idle_ms, limits)

        self.caller_servers = [listen_at(settings.front_address, front.serve_caller)]
        self.peer_server = listen_at(peer_address, front.serve_peer, self.peer_limits)
        listen_at(settings.ready_address, front.serve_ready)
        listen_at(settings.lookup_address, front.serve_lookup)
        listen_at(settings.admin_address, self.serve_admin)

    def caller_limits(self):
        """Return the CallerLimits in force."""
        config = self.node.routing.config
        return config.limits if config else CallerLimits()

    def peer_limits(self):
        """Return the CallerLimits of requests that other VMs relay.

        The VM that took the request from its caller has held it to the callers' limits,
        and has added headers since. It may know a newer configuration.
        """
        limits = self.caller_limits()
        header_max_bytes = max(RELAYED_HEADER_MIN_BYTES, 2 * limits.header_max_bytes)
        return CallerLimits(
            header_max_bytes,
            limits.body_max_bytes,
            limits.header_ms,
            limits.idle_ms,
        )

    def idle_ms(self):
        """Return the maximum idle time of a connection in milliseconds."""
        return self.caller_limits().idle_ms + IDLE_MARGIN_MS


def make_node(settings, clock):
    """Return the controllers of this VM."""
    me = EdgeIdentity(
        settings.vm_id,
        # The start id, which differs between successive processes of one VM.
        int(time.time() * MS_PER_S),
        settings.ip,
        settings.failure_domain,
        clock.now_ms(),
        settings.capacity,
    )
    retry_limits = read_retry_limits(settings)
    return EdgeNode(me, retry_limits, settings.n_named, settings.seed_ips)


def read_retry_limits(settings):
    """Return the RetryLimits of the settings."""
    return RetryLimits(
        settings.retry_ratio,
        settings.retry_slack,
        settings.retry_window_ms,
        settings.n_domains,
    )


def run_edge(settings, dialect, reload_settings, is_reload_requested=False):
    """Run one edge process until its planned stop is complete.

    Parameters
    ----------
    settings : EdgeSettings
        Settings of the process.
    dialect : Dialect
        The platform's headers and codecs.
    reload_settings : callable
        Reads the settings again; returns ``Ok`` with them, or ``Err``.
    is_reload_requested : bool
        Whether the settings were to be read again after they had been read.
    """
    signals = Signals(is_reload_requested)
    signals.install()
    with ExitStack() as stack:
        log = EdgeLog.from_config(settings.vm_id, make_process_clock())
        log.start(stack)
        if not wait_for_addresses(settings, log, signals):
            log.info("process: stopped", reason="stop requested before the start")
            return
        process = EdgeProcess.from_config(settings, dialect, log, stack)
        process.listen(stack)
        tune_garbage_collector()
        process.log.info("process: started", front=settings.front_address)
        wait_for_stop(process, reload_settings, signals)
        stop(process)
        process.log.info("process: stopped")
        close_bounded(stack, CLOSE_TIMEOUT_MS)


def tune_garbage_collector():
    """Keep garbage collection pauses short, and enable the collector.

    The objects that exist by now are frozen: they live as long as the process. The
    platform's entry point disables the collector during the start.
    """
    gc.freeze()
    gc.set_threshold(GC_YOUNG_THRESHOLD, GC_MIDDLE_THRESHOLD, GC_OLD_THRESHOLD)
    gc.enable()


def wait_for_addresses(settings, log, signals):
    """Wait until all addresses are free; return False if a stop is requested first."""
    peer_address = f"{settings.ip}:{settings.peer_port}"
    stream_addresses = (
        settings.front_address,
        peer_address,
        settings.ready_address,
        settings.lookup_address,
        settings.admin_address,
    )
    clock = make_process_clock()

    def are_free(addresses, kind):
        return wait_until_free(addresses, kind, clock, log, signals.wait)

    return are_free(stream_addresses, socket.SOCK_STREAM) and are_free(
        [peer_address], socket.SOCK_DGRAM
    )


def wait_for_stop(process, reload_settings, signals):
    """Wait until a stop is requested; reload the settings whenever that is."""
    while True:
        if signals.is_reload_requested:
            signals.is_reload_requested = False
            reload(process, reload_settings)
        if signals.wait():
            return


def reload(process, reload_settings):
    """Read the settings again and apply them."""
    loaded = reload_settings()
    if loaded.is_err():
        detail = f"{loaded.err_value}; the earlier settings stay in force"
        process.log.warning("process: reload failed", error=detail)
        return
    adopt_settings(process, loaded.ok_value)


def adopt_settings(process, settings):
    """Apply the settings that may change while the process runs."""
    process.control_task.post(read_retry_limits(settings))
    process.settings.grace_ms = settings.grace_ms
    process.settings.lookup_ttl_ms = settings.lookup_ttl_ms
    process.log.info("process: settings reloaded", grace_ms=settings.grace_ms)


def stop(process):
    """Perform the planned stop.

    The VM first leaves the lookup responses, but still accepts connections. Then the
    listener closes, and the function waits for the requests in progress, at the latest
    until ``STOP_MARGIN_MS`` before the end of the grace period. Requests that may take
    longer are refused from the beginning.
    """
    process.log.info("process: planned stop")
    began_at_ms = process.clock.now_ms()
    end_at_ms = began_at_ms + process.settings.grace_ms - STOP_MARGIN_MS
    process.stop_limit.begin(end_at_ms, began_at_ms)
    process.front.is_stopping = True
    process.control_task.post(StopEdge())
    gevent.sleep(min(STOP_LISTEN_MAX_MS, process.settings.grace_ms / 2) / MS_PER_S)
    servers = process.caller_servers
    stop_accepting(servers)
    close_idle_connections(servers)
    while process.clock.now_ms() < end_at_ms:
        # An answer is part of its request until the peer or caller has got it.
        if not has_requests([*servers, process.peer_server]):
            return
        gevent.sleep(STOP_POLL_INTERVAL_MS / MS_PER_S)
        close_idle_connections(servers)
