"""Builds the tasks of one entry VM and runs them until its planned stop is complete."""

import gc
import secrets
from contextlib import ExitStack
from random import Random

import gevent
from hornbeamstand_core.config import Configuration
from hornbeamstand_core.controllers import choice, limits
from hornbeamstand_core.controllers.node import BeginStop, Node
from hornbeamstand_core.controllers.orders import OrderBook
from hornbeamstand_core.controllers.stopping import STOPPED
from hornbeamstand_core.filters import build_default_chain
from hornbeamstand_core.membership_messages import FetchPeerState
from hornbeamstand_core.messages import Refusal
from hornbeamstand_core.routes import CallerLimits
from hornbeamstand_core.view import Member
from hornbeamstand_wire.platform import PlatformClient

from . import headers
from .admin import make_admin_app
from .clock import make_process_clock
from .closing import close_bounded
from .edge.servers import start_server
from .front import Front
from .front_handler import FrontHandler
from .logs import make_logs
from .metrics import Metrics
from .performers import make_performers
from .process_use import describe_limits
from .tasks.config_watcher import WATCH_WAIT_MS, ConfigWatcher
from .tasks.connections import ConnectionRules
from .tasks.control_task import ControlTask
from .tasks.datagrams import Datagrams
from .tasks.failures import handle_loop_failures, report_failures_to, spawn_supervised
from .tasks.orders_task import OrdersTask
from .tasks.peer_state import PeerStateFetcher, init_grpc
from .tasks.platform_task import PlatformTask
from .tasks.pools import Pools
from .tasks.prober import Prober

# Interval at which buffered log lines are written.
LOG_FLUSH_INTERVAL_MS = 100.0
# Interval at which a planned stop is checked for completion.
STOP_POLL_INTERVAL_MS = 20.0
# Timeout for closing the tasks' resources. Closing grpcio may block forever under
# gevent, and nothing is lost if it stays open.
CLOSE_TIMEOUT_MS = 1000.0
# Thresholds of the garbage collector: net allocations before a collection of the
# youngest generation, collections of the youngest before one of the middle generation,
# and collections of the middle before one of the oldest.
GC_YOUNG_THRESHOLD = 20_000
GC_MIDDLE_THRESHOLD = 50
GC_OLD_THRESHOLD = 100
# Size of the random id that distinguishes successive processes of one VM.
START_ID_BYTES = 4

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
    """The tasks of one entry VM."""

    __slots__ = (
        "settings",
        "clock",
        "bind_logger",
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
    )

    @classmethod
    def from_config(cls, settings, stack):
        """Build the tasks and start them; the exit stack stops and closes them."""
        self = cls()
        self.settings = settings
        self.clock = make_process_clock()
        self.bind_logger, flush = make_logs(settings.log_format, settings.vm_id)
        stack.callback(flush)
        report_failures_to(self._make_failure_report(flush), stack)
        flusher = spawn_supervised("log-writer", flush_periodically, flush)
        stack.callback(flusher.kill, block=False)
        self.node = make_node(settings, self.clock)
        decision_log = self.bind_logger("decider") if settings.decision_log else None
        self.control_task = ControlTask(self.node, self.clock, decision_log)
        rules = ConnectionRules(id_header=headers.REQUEST_ID)
        self.pools = Pools(self.clock, stack, rules)
        self.metrics = Metrics()
        book = OrderBook(self.node.balancer.member_id, self.clock.now_ms())
        self.orders_task = OrdersTask(book, self.pools, self.clock)
        self._build_control(stack)
        self._build_front()
        return self

    def _make_failure_report(self, flush):
        """Return a function that logs unexpected errors; see ``report_failures_to``."""
        log = self.bind_logger("process")

        def report(name, error, ends_process):
            if not ends_process:
                log.error("process: unexpected error", part=name, error=repr(error))
                return
            log.error("process: task failed", task=name, error=repr(error))
            flush()

        return report

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
            self.bind_logger("config"),
        )
        self.datagrams = Datagrams(settings.peer_address, self.control_task)
        self.prober = Prober(self.pools, self.control_task, self.clock)
        self.peer_state_fetcher = PeerStateFetcher(
            self.node, self.control_task, self.config_watcher, self.bind_logger("peer")
        )
        platform_task = PlatformTask(
            platform,
            settings.cell,
            settings.lease_ms,
            self.control_task,
            self.bind_logger("member"),
        )
        self.control_task.connect(
            platform_task,
            self.datagrams,
            self.prober,
            self.peer_state_fetcher,
            self.orders_task,
        )
        self.datagrams.start(stack)
        self.peer_state_fetcher.start(settings.peer_address, stack)
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
            make_find_refusal(self.control_task, settings.n_requests_max),
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
        )


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


def make_find_refusal(control_task, n_requests_max):
    """Return a function that maps a call to its refusal, or None if it may run.

    A call is refused if the VM, with this request, serves more requests than a limit.
    The limit depends on the priority of the service: it grows from half of
    ``n_requests_max`` for priority 0 to all of it for priority 9.
    """

    def find_refusal(call):
        share = 0.5 + call.service.priority / 18.0
        if control_task.n_requests <= n_requests_max * share:
            return None
        return Refusal("entry VM overloaded", step="admit")

    return find_refusal


def flush_periodically(flush):
    """Write the buffered log lines at intervals, forever."""
    while True:
        gevent.sleep(LOG_FLUSH_INTERVAL_MS / 1000.0)
        flush()


def run_process(settings, stop_signals, corrections):
    """Run one entry VM until its planned stop is complete; return the exit status.

    ``stop_signals`` is the queue of the signals that request a stop, and
    ``corrections`` are those of the inherited state.
    """
    init_grpc()
    with ExitStack() as stack:
        handle_loop_failures(stack)
        serve(settings, stop_signals, corrections, stack)
        close_bounded(stack, CLOSE_TIMEOUT_MS)
    return 0


def serve(settings, stop_signals, corrections, stack):
    """Serve callers and operators until the planned stop is complete."""
    process = Process.from_config(settings, stack)
    log = process.bind_logger("process")
    if fields := corrections.describe():
        log.warning("process: inherited state corrected", **fields)

    def idle_ms():
        return settings.caller_idle_ms

    front_app, admin_app = process.front.app, make_admin_app(process)
    start_server(
        settings.front_address,
        front_app,
        stack,
        idle_ms,
        CallerLimits,
        handler_class=FrontHandler,
    )
    start_server(settings.admin_address, admin_app, stack, idle_ms, CallerLimits)
    tune_garbage_collector()
    log.info("process: started", front=settings.front_address, **describe_limits())
    wait_for_stop(process, log, stop_signals)
    log.info("process: stopped")


def tune_garbage_collector():
    """Keep garbage collection pauses short.

    The objects that exist by now are frozen: they live as long as the process. Requests
    create few reference cycles, so full collections are made rare.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_YOUNG_THRESHOLD, GC_MIDDLE_THRESHOLD, GC_OLD_THRESHOLD)


def wait_for_stop(process, log, stop_signals):
    """Wait for SIGTERM or SIGINT, start the planned stop, and wait for its end.

    A second signal ends the planned stop at once.
    """
    stop_signals.get()
    request_stop(process, log)
    while process.node.stopping.phase != STOPPED:
        gevent.sleep(STOP_POLL_INTERVAL_MS / 1000.0)
        if not stop_signals.empty():
            stop_signals.get()
            request_stop(process, log)


def request_stop(process, log):
    """Start the planned stop, or end the one in progress at once."""
    log.info("process: planned stop asked for")
    process.control_task.task.post(BeginStop(process.settings.stop_deadline_ms))
