"""What an edge process brings to the life that it shares with other programs."""

from hornbeamstand_core.quota_messages import SetQuotaLimits

from ..life.program import Program
from .logs import EdgeLog
from .node_settings import read_retry_limits
from .planned_stop import stop
from .process import EdgeProcess
from .sockets import EdgeSockets

# Fields that take effect at once. The others need a restart: sockets, tasks and the
# VM's identity are made from them.
RELOADED_FIELDS = frozenset(
    [
        "grace_ms",
        "lookup_ttl_ms",
        "retry_ratio",
        "retry_slack",
        "retry_window_ms",
        "n_domains",
        "quota_limits",
    ]
)


def make_edge_program(dialect, load_settings):
    """Return the Program of an edge process.

    Parameters
    ----------
    dialect : Dialect
        The platform's headers and codecs.
    load_settings : callable
        Returns ``Ok`` with the EdgeSettings, or ``Err``.
    """

    def start(settings, clock, log, sockets, stack):
        process = EdgeProcess.from_config(settings, dialect, clock, log, sockets, stack)
        process.listen(stack)
        return process

    return Program(
        load_settings,
        open_log,
        EdgeSockets.from_config,
        start,
        RELOADED_FIELDS,
        apply_settings,
        stop,
    )


def open_log(settings, clock, stack):
    """Start the log of the process; the exit stack ends it."""
    log = EdgeLog.from_config(settings.vm_id, clock)
    log.start(stack)
    return log


def apply_settings(process):
    """Tell the controllers of settings that they keep."""
    process.control_task.post(read_retry_limits(process.settings))
    process.control_task.post(SetQuotaLimits(process.settings.quota_limits))
