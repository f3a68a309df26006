"""The task that sends health probes to targets and reports the results."""

from hornbeamstand_core.balancer_messages import ProbeResult

from ..encoding import encode_request, read_report
from .exchange import Exchange
from .failures import spawn_supervised
from .task import Task

# Timeout of one probe, after which it counts as failed.
PROBE_TIMEOUT_MS = 1000.0
# Maximum size of the body of a target's response to a probe.
PROBE_ANSWER_MAX_BYTES = 65536


class Prober:
    """Sends each probe in a greenlet of its own; ``n_sent`` counts the probes."""

    __slots__ = ("pools", "control_task", "clock", "task", "n_sent")

    def __init__(self, pools, control_task, clock):
        self.pools = pools
        self.control_task = control_task
        self.clock = clock
        self.task = Task("prober")
        self.n_sent = 0

    def post(self, message):
        """Put a SendProbe into the task's mailbox."""
        self.task.post(message)

    def start(self, stack):
        """Start the task."""
        self.task.start(self._run, stack)

    def _run(self):
        while True:
            probe = self.task.mailbox.get()
            self.n_sent += 1
            spawn_supervised("probe", self._probe, probe)

    def _probe(self, probe):
        started_at_ms = self.clock.now_ms()
        request_bytes = encode_request(
            "GET", probe.path, [("Host", probe.address)], b""
        )
        mailbox = Task("probe").mailbox
        exchange = Exchange(
            "GET",
            request_bytes,
            started_at_ms + PROBE_TIMEOUT_MS,
            False,
            PROBE_ANSWER_MAX_BYTES,
            mailbox,
        )
        self.pools.post(probe.address, exchange)
        response = exchange.receive_result(PROBE_TIMEOUT_MS)
        if response is None:
            exchange.cancel(has_timed_out=True)
        report = None
        if getattr(response, "status_code", 0) == 200:
            report = read_report(response)
        latency_ms = self.clock.now_ms() - started_at_ms
        self.control_task.task.post(
            ProbeResult(probe.service_name, probe.target_id, report, latency_ms)
        )
