"""Builds and connects the tasks of one edge process."""

from functools import partial

from hornbeamstand_core.balancer_messages import SendProbe
from hornbeamstand_core.controllers.load.stop_limit import StopLimit
from hornbeamstand_core.edge_messages import StateChange
from hornbeamstand_core.edge_node_messages import (
    CheckStore,
    DelayFirstRead,
    FetchConfig,
    Resync,
    SendContacts,
    SendEdgeHeartbeat,
    SendNotice,
    SendToPeer,
    SetWatch,
)
from hornbeamstand_core.event_messages import AnswerMarginGrown
from hornbeamstand_core.filters.edge_chain import build_edge_chain
from hornbeamstand_core.rollout_messages import WriteRolloutStatus
from hornbeamstand_core.target_copy_messages import ConfirmTargets, FetchTargets

from ..life.late_servers import LateServer
from ..memory.relief import limit_connections, limit_memory
from ..tasks.byte_budget import ByteBudget
from ..tasks.open_connections import OpenConnections
from ..tasks.pools import Pools
from ..tasks.response_reads import ResponseReads
from .caller_limits import caller_idle_ms, caller_limits, peer_limits
from .config_copies import ConfigCopies
from .connection_rules import peer_rules, store_rules, target_rules
from .control_task import EdgeControlTask
from .descriptors import ConnectionLimits, prepare_descriptors
from .front import EdgeFront, respond
from .gauges import connection_gauges, load_gauges, quota_gauges, store_gauges
from .heartbeats import HeartbeatTask
from .load_probes import LoadProber
from .metrics import EdgeMetrics
from .node_settings import make_node
from .performers import make_performers
from .pipelining import PipelineHandler
from .registration import Registration
from .rollout_writes import RolloutWriter
from .servers import (
    PEER_IDLE_MS,
    PEER_MIN_IDLE_MS,
    EdgeHandler,
    start_server,
)
from .store_checker import StoreChecker
from .store_client import StoreClient
from .store_era import StoreEra
from .store_watcher import StoreWatcher
from .suspensions import Suspensions, make_boot_clock
from .target_confirmations import TargetConfirmations
from .target_copies import TargetCopies

# Maximum wait for the store's answer, in addition to the time that a watch may be held.
STORE_TIMEOUT_MS = 800.0


class EdgeProcess:
    """The tasks of one edge process.

    ``sockets`` are the EdgeSockets that the servers and the heartbeats use.
    ``body_budget`` limits what is held for callers, ``stop_limit`` is the end of a
    planned stop, and ``suspensions`` notes when the process did not run. ``peer_pools``
    holds the connections to other entry VMs, ``connection_limits`` are the numbers of
    connections for which the process has descriptors, and ``open_connections`` counts
    those to targets and peers.
    ``caller_servers`` are the HTTP servers for callers' requests, which a planned stop
    closes first, and ``peer_server`` is that for the requests that other VMs relay.
    ``operator_servers`` are those for readiness, lookups and metrics, whose connections
    end once ``ends_operators_connections`` is set.
    """

    __slots__ = (
        "settings",
        "dialect",
        "clock",
        "log",
        "sockets",
        "metrics",
        "node",
        "suspensions",
        "control_task",
        "front",
        "store",
        "store_watcher",
        "registration",
        "body_budget",
        "stop_limit",
        "connection_limits",
        "open_connections",
        "reads",
        "peer_pools",
        "caller_servers",
        "operator_servers",
        "ends_operators_connections",
        "peer_server",
    )

    @classmethod
    def from_config(cls, settings, dialect, clock, log, sockets, stack):
        """Build the tasks and start them; the exit stack stops and closes them.

        The tasks own the EdgeSockets from now on.
        """
        self = cls()
        self.settings = settings
        self.dialect = dialect
        self.clock = clock
        self.log = log
        self.sockets = sockets
        if settings.has_strict_revocation:
            log.warning("process: no strict revocation")
        self.metrics = EdgeMetrics()
        self.node = make_node(settings, self.clock)
        self.suspensions = Suspensions(self.clock, make_boot_clock())
        self.control_task = EdgeControlTask(
            self.node, self.clock, self.log, self.suspensions
        )
        self.body_budget = ByteBudget(settings.body_memory_bytes)
        n_descriptors = prepare_descriptors(settings.n_descriptors, log)
        self.connection_limits = ConnectionLimits.from_descriptors(n_descriptors)
        self.open_connections = OpenConnections(self.connection_limits.n_sends_max)
        self.reads = ResponseReads(log.response_read)
        rules = peer_rules(self.body_budget, self.open_connections, self.reads)
        self.peer_pools = Pools(self.clock, stack, rules)
        self._build_store(stack)
        self._build_front(stack)
        return self

    def _build_store(self, stack):
        """Build and start the tasks of the store, the peers and the controllers."""
        settings, dialect = self.settings, self.dialect
        pools = Pools(self.clock, stack, store_rules())
        eras = StoreEra(self.log)
        eras.report = self.note_era
        self.store = StoreClient(
            settings.store_address,
            dialect.store,
            pools,
            self.clock,
            STORE_TIMEOUT_MS,
            eras,
        )
        self.store_watcher = StoreWatcher(
            self.store,
            self.control_task,
            self.log,
            self.node.watch_scope.first_read_delay_ms,
        )
        key, value = dialect.vm_item(settings.vm_id, settings.ip)
        self.registration = Registration(self.store, key, value, self.log)
        checker = StoreChecker(self.store, key, self.control_task, self.log)
        self.control_task.connect(CheckStore, checker.post)
        heartbeats = HeartbeatTask(
            settings.ip,
            settings.peer_port,
            self.control_task,
            self.log,
            self.sockets.datagrams,
        )
        self.control_task.connect(SendEdgeHeartbeat, heartbeats.post)
        self.control_task.connect(StateChange, self.note_state_change)
        self.control_task.connect(Resync, self.store_watcher.resync)
        self.control_task.connect(SetWatch, self.set_watch)
        self.control_task.connect(DelayFirstRead, self.store_watcher.delay_first_read)
        self.control_task.connect(SendContacts, heartbeats.post)
        self.control_task.connect(SendNotice, heartbeats.post)
        self.control_task.connect(SendToPeer, heartbeats.post)
        copies = ConfigCopies(
            self.peer_pools,
            settings.peer_port,
            dialect.store.decode_config_copy,
            self.control_task,
            self.clock,
            self.log,
        )
        self.control_task.connect(FetchConfig, copies.post)
        target_copies = TargetCopies(
            self.peer_pools,
            settings.peer_port,
            self.control_task,
            self.clock,
            self.log,
        )
        self.control_task.connect(FetchTargets, target_copies.post)
        target_copies.start(stack)
        rollout_writer = RolloutWriter(self.store, self.control_task)
        self.control_task.connect(WriteRolloutStatus, rollout_writer.post)
        rollout_writer.start(stack)
        self.metrics.read_answer_counts = self.node.rollouts.answer_counts
        heartbeats.start(stack)
        self.control_task.start(stack)
        copies.start(stack)
        self.registration.start(stack)
        self.store_watcher.start(stack)
        checker.start(stack)

    def note_state_change(self, change):
        """Log and count a StateChange."""
        self.metrics.count_state_change(change)
        self.log.state_change(change)

    def set_watch(self, message):
        """Pass a SetWatch to the tasks that depend on what is watched."""
        self.store_watcher.set_watch(message)
        self.registration.set_watch(message)

    def note_era(self, message):
        """Pass a StoreEraNoted to the tasks that depend on the store's revisions."""
        self.control_task.post(message)
        if message.earlier_era is not None:
            self.store_watcher.begin_era()
            self.registration.begin_era()

    def _build_front(self, stack):
        """Build the load prober, the performers, the front end and the gauges."""
        body_budget = self.body_budget
        self.stop_limit = StopLimit()
        id_header = self.dialect.headers.request_id
        rules = target_rules(id_header, body_budget, self.open_connections, self.reads)
        target_pools = Pools(self.clock, stack, rules)
        prober = LoadProber(target_pools, self.control_task, self.dialect, self.clock)
        self.control_task.connect(SendProbe, prober.post)
        prober.start(stack)
        confirmations = TargetConfirmations(
            target_pools, self.control_task, self.dialect, self.clock
        )
        self.control_task.connect(ConfirmTargets, confirmations.post)
        confirmations.start(stack)
        self.metrics.gauges["looks"] = lambda: (
            prober.n_sent + confirmations.n_sent + self.metrics.n_load_probes
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
            self.node.routing.is_outdated,
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
            self.suspensions,
        )
        self.control_task.connect(AnswerMarginGrown, self.front.lengthen_margins)
        self.metrics.count_left = self.node.room_lending.count_left
        self._add_gauges()

    def _add_gauges(self):
        gauges, node = self.metrics.gauges, self.node
        gauges |= load_gauges(node, self.clock)
        gauges |= quota_gauges(node.quotas, self.clock)
        gauges |= store_gauges(self.store, node.routing)
        gauges |= self.reads.gauges()
        gauges["requests_inside"] = lambda: self.front.n_requests
        gauges["log_lines_left_out"] = lambda: self.log.lines.n_dropped

    def serve_admin(self, environ, start_response):
        """Serve the metrics (WSGI)."""
        if environ["PATH_INFO"] != "/metrics":
            return respond(start_response, 404, b"", [("Content-Type", "text/plain")])
        body = self.metrics.render()
        return respond(start_response, 200, body, [("Content-Type", "text/plain")])

    def listen(self, stack):
        """Start the HTTP servers.

        Those that callers' requests don't depend on may start later, when their
        addresses become free.
        """
        settings, front = self.settings, self.front
        self.operator_servers = []
        self.ends_operators_connections = False
        servers = []
        routing = self.node.routing
        in_force = partial(caller_limits, routing)
        idle_in_force_ms = partial(caller_idle_ms, routing)

        def serve_at(
            address,
            app,
            limits=in_force,
            idle_ms=idle_in_force_ms,
            handler_class=EdgeHandler,
        ):
            def serve(listener, owner):
                server = start_server(
                    address, app, owner, idle_ms, limits, listener, handler_class
                )
                server.siblings = servers
                server.budget = self.body_budget
                servers.append(server)
                return server

            return serve

        peer_address = f"{settings.ip}:{settings.peer_port}"
        serve_front = serve_at(
            settings.front_address, front.serve_caller, handler_class=PipelineHandler
        )
        serve_peer = serve_at(
            peer_address,
            front.serve_peer,
            partial(peer_limits, routing),
            lambda: PEER_IDLE_MS,
        )
        self.caller_servers = [serve_front(self.sockets.front, stack)]
        self.peer_server = serve_peer(self.sockets.peer, stack)
        for server in self.caller_servers:
            server.ends_connections = lambda: front.is_stopping
            server.may_start_early = front.may_start_early
        front.is_accepting = lambda: all(
            server.is_accepting() for server in self.caller_servers
        )
        self._limit_connections()
        self._limit_memory(servers)
        optional = (
            (settings.ready_address, front.serve_ready),
            (settings.lookup_address, front.serve_lookup),
            (settings.admin_address, self.serve_admin),
        )
        for address, app in optional:
            serve = self._make_serve_operators(serve_at(address, app))
            LateServer(address, serve, self.clock, self.log).start(stack)

    def _make_serve_operators(self, serve):
        """Return a function that starts a server which is closed last in a stop."""

        def serve_operators(listener, owner):
            server = serve(listener, owner)
            server.ends_connections = lambda: self.ends_operators_connections
            self.operator_servers.append(server)

        return serve_operators

    def _limit_connections(self):
        """Limit the connections of callers and peers, and count those held back."""
        servers = [*self.caller_servers, self.peer_server]
        for server in servers:
            server.n_connections_max = self.connection_limits.n_callers_max
            server.report_held_back = self.log.connections_held_back
        self.peer_server.n_connections_max = self.connection_limits.n_peers_max
        self.peer_server.min_idle_ms = PEER_MIN_IDLE_MS
        self.metrics.gauges |= connection_gauges(self.caller_servers, servers)

    def _limit_memory(self, servers):
        """Count the connections in the budget, and free memory when it gets short."""
        relief = limit_memory(
            self.body_budget,
            servers,
            self.open_connections,
            self.clock,
            self.log.memory_short,
        )
        for server in (*self.caller_servers, self.peer_server):
            limit_connections(server)
        self.metrics.gauges |= relief.gauges()
