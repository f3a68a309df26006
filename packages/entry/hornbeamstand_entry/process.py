"""Builds and connects the tasks of one entry VM."""

import secrets
from random import Random

from hornbeamstand_core.config import Configuration
from hornbeamstand_core.controllers.node import Node
from hornbeamstand_core.controllers.orders.order_book import OrderBook
from hornbeamstand_core.controllers.orders.order_memory import OrderMemory
from hornbeamstand_core.controllers.owned_targets import choice, limits
from hornbeamstand_core.controllers.stopping import RUNNING
from hornbeamstand_core.filters import build_default_chain
from hornbeamstand_core.membership_messages import FetchPeerState
from hornbeamstand_core.messages import Refusal
from hornbeamstand_core.routes import CallerLimits
from hornbeamstand_core.view import Member
from hornbeamstand_wire.platform import PlatformClient

from . import headers
from .admin import make_admin_app
from .edge.descriptors import (
    N_DESCRIPTORS_WANTED,
    ConnectionLimits,
    raise_soft_limit,
)
from .edge.servers import close_idle_connections, start_server, stop_accepting
from .front import Front
from .front_handler import FrontHandler
from .life.late_servers import LateServer
from .memory.relief import limit_connections, limit_memory
from .metrics import Metrics
from .peer_codec import outcome_bytes
from .performers import make_performers
from .tasks.byte_budget import ByteBudget
from .tasks.config_watcher import WATCH_WAIT_MS, ConfigWatcher
from .tasks.connection_rules import ConnectionRules
from .tasks.control_task import ControlTask
from .tasks.datagrams import Datagrams
from .tasks.open_connections import OpenConnections
from .tasks.orders_task import OrdersTask
from .tasks.peer_state import PeerStateFetcher
from .tasks.platform_task import PlatformTask
from .tasks.pools import Pools
from .tasks.prober import Prober
from .tasks.response_reads import ResponseReads

# Size of the random id that distinguishes successive processes of one VM.
START_ID_BYTES = 4
# Share of a VM's memory for what is held for callers. The rest is for the process
# itself, its state and the buffers of the system.
HELD_MEMORY_SHARE = 0.5
# Share of that for orders and their answers, which are kept for resends.
ORDERS_SHARE = 0.5
BYTES_PER_MB = 1 << 20
# Maximum number of connections at the address for operators; further ones wait. A few
# collectors of metrics need one each.
N_OPERATORS_CONNECTIONS_MAX = 16

# By value of the setting ``choice``: makes the function that chooses a target, from a
# random generator.
CHOICE_MAKERS = {
    "least-expected-latency": lambda rng: choice.make_least_expected_latency(),
    "least-in-flight": choice.make_least_in_flight,
    "power-of-two": choice.make_power_of_two,
    "round-robin": lambda rng: choice.make_round_robin(),
}
# By value of the setting ``limit``: makes the function that adjusts a target's limit.
LIMIT_MAKERS = {
    "aimd": limits.make_aimd,
    "gradient": limits.make_gradient,
    "fixed": limits.make_fixed,
}


class Process:
    """The tasks of one entry VM.

    ``sockets`` are the ProcessSockets that the servers and the datagrams use.
    """

    __slots__ = (
        "settings",
        "clock",
        "log",
        "sockets",
        "node",
        "control_task",
        "orders_task",
        "config_watcher",
        "datagrams",
        "prober",
        "metrics",
        "pools",
        "peer_state_fetcher",
        "front",
        "front_server",
        "budget",
        "relief",
        "connection_limits",
    )

    @classmethod
    def from_config(cls, settings, clock, log, sockets, stack):
        """Build the tasks and start them; the exit stack stops and closes them.

        The tasks own the ProcessSockets from now on.
        """
        self = cls()
        self.settings = settings
        self.clock = clock
        self.log = log
        self.sockets = sockets
        self.node = make_node(settings, self.clock)
        self.control_task = ControlTask(self.node, self.clock, self._decision_log())
        self.budget = ByteBudget(HELD_MEMORY_SHARE * settings.memory_mb * BYTES_PER_MB)
        self.connection_limits = ConnectionLimits.from_descriptors(
            raise_soft_limit(N_DESCRIPTORS_WANTED)
        )
        rules = ConnectionRules(
            id_header=headers.REQUEST_ID,
            answer_budget=self.budget,
            open_connections=OpenConnections(self.connection_limits.n_sends_max),
            reads=ResponseReads(self._report_response),
        )
        self.pools = Pools(self.clock, stack, rules)
        self.metrics = Metrics()
        memory = OrderMemory(ORDERS_SHARE * self.budget.limit_bytes, outcome_bytes)
        book = OrderBook(
            self.node.balancer.member_id, self.clock.now_ms(), memory=memory
        )
        self.orders_task = OrdersTask(book, self.pools, self.clock, self.budget)
        self._build_control(stack)
        self._build_front()
        return self

    def _report_response(self, report):
        """Log what ResponseReads reports of a response of a target or a peer."""
        self.log.warning(report.EVENT, **report.describe())

    def _decision_log(self):
        """Return the logger of decisions; None if they are not logged."""
        is_logged = self.settings.decision_log
        return self.log.bind(part="decider") if is_logged else None

    def listen(self, stack):
        """Start the HTTP servers; that of operators may start later.

        Callers' requests don't depend on it, and its address may be taken.
        """
        settings, stopping = self.settings, self.node.stopping

        def idle_ms():
            return settings.caller_idle_ms

        self.front_server = start_server(
            settings.front_address,
            self.front.app,
            stack,
            idle_ms,
            CallerLimits,
            self.sockets.front,
            FrontHandler,
        )
        self.front_server.ends_connections = lambda: stopping.phase != RUNNING
        servers = [self.front_server]
        self._limit_memory(servers)
        address, app = settings.admin_address, make_admin_app(self)

        def serve_admin(listener, owner):
            server = start_server(address, app, owner, idle_ms, CallerLimits, listener)
            server.n_connections_max = N_OPERATORS_CONNECTIONS_MAX
            server.budget = self.budget
            servers.append(server)

        LateServer(address, serve_admin, self.clock, self.log).start(stack)

    def _limit_memory(self, servers):
        """Limit the connections, count them in the budget, and free memory if short.

        ``servers`` begins with that of callers; their idle connections may be ended.
        """
        server, limits = self.front_server, self.connection_limits
        server.n_connections_max = limits.n_callers_max + limits.n_peers_max
        server.budget = self.budget
        server.siblings = servers
        limit_connections(server)
        log = self.log

        def report(relief):
            log.warning("process: memory short", **relief.describe())

        def report_held_back(server):
            log.warning(
                "process: connections held back",
                n_connections=server.n_connections,
                n_connections_max=server.n_connections_max,
            )

        server.report_held_back = report_held_back
        self.relief = limit_memory(
            self.budget,
            servers,
            self.pools.rules.open_connections,
            self.clock,
            report,
        )

    def close_connections(self):
        """Close the listener and the idle connections; return whether none is open.

        The function is called again until then.
        """
        has_closed = stop_accepting([self.front_server])
        close_idle_connections([self.front_server])
        return has_closed and self.front_server.n_connections == 0

    def apply_settings(self):
        """Apply changed settings that are not read where they are used."""
        self.control_task.log = self._decision_log()

    def _build_control(self, stack):
        settings = self.settings
        timeout_ms = settings.platform_timeout_ms
        platform = PlatformClient.from_config(settings.platform_address, timeout_ms)
        stack.callback(platform.close)
        watch_timeout_ms = timeout_ms + WATCH_WAIT_MS
        watch_client = PlatformClient.from_config(
            settings.platform_address, watch_timeout_ms
        )
        stack.callback(watch_client.close)
        membership = self.node.membership
        self.config_watcher = ConfigWatcher(
            platform,
            watch_client,
            membership,
            self.control_task,
            self.log.bind(part="config"),
        )
        self.datagrams = Datagrams(self.sockets.datagrams, self.control_task)
        self.prober = Prober(self.pools, self.control_task, self.clock)
        self.peer_state_fetcher = PeerStateFetcher(
            self.node,
            self.control_task,
            self.config_watcher,
            self.log.bind(part="peer"),
        )
        platform_task = PlatformTask(
            platform,
            settings.cell,
            settings.lease_ms,
            self.control_task,
            self.log.bind(part="member"),
        )
        self.control_task.connect(
            platform_task,
            self.datagrams,
            self.prober,
            self.peer_state_fetcher,
            self.orders_task,
        )
        self.datagrams.start(stack)
        self.peer_state_fetcher.start(self.sockets.peer_server, stack)
        platform_task.start(stack)
        self.prober.start(stack)
        self.orders_task.start(stack)
        self.control_task.start(stack)
        self.config_watcher.start(stack)
        for address in settings.seed_peers:
            self.peer_state_fetcher.post(FetchPeerState("", address))

    def _build_front(self):
        settings = self.settings
        chain = build_default_chain(
            lambda name: self.node.ownership.configuration.services.get(name),
            make_find_refusal(self.control_task, settings),
        )
        performers = make_performers(
            self.node,
            self.control_task,
            self.orders_task,
            self.pools,
            self.metrics,
            self.clock,
            settings,
        )
        self.front = Front(
            self.node,
            chain,
            performers,
            self.control_task,
            self.orders_task,
            self.clock,
            settings,
            self.budget,
        )
        self.control_task.connect_front(self.front)


def make_node(settings, clock):
    """Return a Node with the controllers of this VM."""
    start_id = secrets.token_hex(START_ID_BYTES)
    own_member = Member(
        f"{settings.vm_id}-{start_id}",
        settings.front_address,
        settings.peer_address,
        settings.failure_domain,
    )
    rng = Random(start_id)
    return Node(
        own_member,
        settings.lease_ms,
        Configuration.empty(),
        lambda: CHOICE_MAKERS[settings.choice](rng),
        LIMIT_MAKERS[settings.limit],
        clock.now_ms(),
        settings.hop_ms,
    )


def make_find_refusal(control_task, settings):
    """Return a function that maps a call to its refusal, or None if it may run.

    A call is refused if the VM, with this request, serves more requests than a limit.
    The limit depends on the priority of the service: it grows from half of
    ``n_requests_max`` for priority 0 to all of it for priority 9.
    """

    def find_refusal(call):
        share = 0.5 + call.service.priority / 18.0
        if control_task.n_requests <= settings.n_requests_max * share:
            return None
        return Refusal("entry VM overloaded", step="admit")

    return find_refusal
