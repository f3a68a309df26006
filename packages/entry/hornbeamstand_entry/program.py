"""What the product's own program brings to the life that it shares with others."""

import gevent
from hornbeamstand_core.controllers.node import BeginStop, ConnectionsClosed
from hornbeamstand_core.controllers.stopping import CLOSING, STOPPED

from .life.native_memory import limit_native_memory
from .life.output import OutputStream
from .life.program import Program
from .logs import make_logs
from .process import Process
from .sockets import ProcessSockets
from .tasks.failures import report_failures_to, spawn_supervised
from .tasks.peer_state import init_grpc

# Interval at which buffered log lines are written.
LOG_FLUSH_INTERVAL_MS = 100.0
# Interval at which a planned stop is checked for completion.
STOP_POLL_INTERVAL_MS = 20.0
# Time after the first request to stop in which another one is taken for the same.
REPEATED_SIGNAL_MS = 500.0
MS_PER_S = 1000.0
# Fields that take effect at once. The others need a restart: sockets, tasks, the VM's
# identity and what its cell has agreed on are made from them.
RELOADED_FIELDS = frozenset(
    [
        "stop_deadline_ms",
        "body_max_bytes",
        "answer_max_bytes",
        "caller_idle_ms",
        "n_requests_max",
        "decision_log",
    ]
)


def make_program(load_settings):
    """Return the Program of a VM in the product's own mode.

    ``load_settings`` returns ``Ok`` with the Settings, or ``Err``. The function may be
    called once in a process.
    """
    limit_native_memory()
    init_grpc()
    return Program(
        load_settings,
        open_log,
        ProcessSockets.from_config,
        start,
        RELOADED_FIELDS,
        Process.apply_settings,
        stop,
    )


def open_log(settings, clock, stack):
    """Start the log of the process; the exit stack ends it."""
    # The event loop writes the log, so it must not wait for a reader.
    log, flush = make_logs(settings.log_format, settings.vm_id, OutputStream(1))
    stack.callback(flush)
    log = log.bind(part="process")
    report_failures_to(make_failure_report(log, flush), stack)
    flusher = spawn_supervised("log-writer", flush_periodically, flush)
    stack.callback(flusher.kill, block=False)
    return log


def make_failure_report(log, flush):
    """Return a function that logs unexpected errors; see ``report_failures_to``."""

    def report(name, error, ends_process):
        if not ends_process:
            log.error("process: unexpected error", part=name, error=repr(error))
            return
        log.error("process: task failed", task=name, error=repr(error))
        flush()

    return report


def flush_periodically(flush):
    """Write the buffered log lines at intervals, forever."""
    while True:
        gevent.sleep(LOG_FLUSH_INTERVAL_MS / MS_PER_S)
        flush()


def start(settings, clock, log, sockets, stack):
    """Start the tasks and servers of the process, and return it."""
    process = Process.from_config(settings, clock, log, sockets, stack)
    process.listen(stack)
    return process


def stop(process, signals):
    """Perform the planned stop; a later request to stop ends it at once.

    A launcher may signal a process twice, once with its group.
    """
    n_requests = 0
    repeated_until_ms = process.clock.now_ms() + REPEATED_SIGNAL_MS
    while process.node.stopping.phase != STOPPED:
        is_repeated = n_requests and process.clock.now_ms() < repeated_until_ms
        if signals.n_stop_requests > n_requests and is_repeated:
            n_requests = signals.n_stop_requests
            process.log.info("process: repeated signal ignored")
        elif signals.n_stop_requests > n_requests:
            n_requests += 1
            process.log.info("process: planned stop asked for")
            message = BeginStop(process.settings.stop_deadline_ms)
            process.control_task.task.post(message)
        if process.node.stopping.phase == CLOSING and process.close_connections():
            process.control_task.task.post(ConnectionsClosed())
        gevent.sleep(STOP_POLL_INTERVAL_MS / MS_PER_S)
