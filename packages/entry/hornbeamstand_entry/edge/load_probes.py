"""Load probes: requests that ask a target for its current load.

The task in this module sends the probes that the controllers request while requests
are queued. The module ``performers`` sends the probes right before a request gets a
slot.
"""

from hornbeamstand_core.balancer_messages import SendProbe
from hornbeamstand_core.load_probe_messages import LoadProbeResult
from hornbeamstand_core.messages import LACKS_OF_VM, TIMED_OUT, SendFailure

from ..encoding import encode_request
from ..tasks.exchange import Exchange, ExchangeResult
from ..tasks.task import Task, receive

# Maximum size of a probe's answer.
ANSWER_MAX_BYTES = 1 << 20
# Maximum wait for a probe's answer, enforced when the task's next message arrives.
LOAD_PROBE_TIMEOUT_MS = 40.0
# Failures of a probe that may mean that it was not sent.
UNSENT_KINDS = LACKS_OF_VM | {TIMED_OUT}


class LoadProber:
    """Sends the controllers' load probes and reports the results.

    Parameters
    ----------
    pools : Pools
        Connections to targets.
    control_task : EdgeControlTask
        Receives the LoadProbeResults.
    dialect : Dialect
        Provides the name and the decoder of the load header.
    clock : Clock
        The process's clock.
    """

    __slots__ = (
        "pools",
        "control_task",
        "dialect",
        "clock",
        "task",
        "n_sent",
        "_in_flight",
    )

    def __init__(self, pools, control_task, dialect, clock):
        self.pools = pools
        self.control_task = control_task
        self.dialect = dialect
        self.clock = clock
        self.task = Task("load-prober")
        self.n_sent = 0
        # Maps the exchange of each probe in flight to the probe and the time from which
        # it counts as unanswered.
        self._in_flight = {}

    def post(self, message):
        """Put a SendProbe into the task's mailbox."""
        self.task.post(message)

    def start(self, stack):
        """Start the task."""
        self.task.start(self._run, stack)

    def _run(self):
        while True:
            self._handle(self.task.mailbox.get())
            # An answer that has arrived has come in time, however late this VM is.
            while (message := receive(self.task.mailbox, 0.0)) is not None:
                self._handle(message)
            self._cancel_timed_out()

    def _handle(self, message):
        if type(message) is SendProbe:
            self._send(message)
        elif type(message) is ExchangeResult:
            self._handle_result(message)

    def _send(self, probe):
        until_ms = self.clock.now_ms() + LOAD_PROBE_TIMEOUT_MS
        exchange = start_load_probe(probe, self.pools, until_ms, self.task.mailbox)
        self._in_flight[exchange] = (probe, until_ms)
        self.n_sent += 1

    def _handle_result(self, exchange_result):
        entry = self._in_flight.pop(exchange_result.exchange, None)
        if entry is not None and was_sent(exchange_result.result):
            self.control_task.post(
                read_load_probe(entry[0], exchange_result.result, self.dialect)
            )

    def _cancel_timed_out(self):
        now_ms = self.clock.now_ms()
        for exchange, (probe, until_ms) in list(self._in_flight.items()):
            if now_ms > until_ms:
                del self._in_flight[exchange]
                exchange.cancel()
                self.control_task.post(unanswered_result(probe))


def start_load_probe(probe, pools, until_ms, reply_to):
    """Send a load probe and return its exchange.

    The probe is not sent after ``until_ms``; its result goes to the mailbox
    ``reply_to``.
    """
    request_bytes = encode_request("GET", probe.path, [("Host", probe.address)], b"")
    exchange = Exchange(
        "GET",
        request_bytes,
        until_ms,
        False,
        ANSWER_MAX_BYTES,
        reply_to,
        is_optional=True,
    )
    pools.post(probe.address, exchange)
    return exchange


def was_sent(result):
    """Return whether a load probe with this result was sent.

    If not, its time ended on this VM or a descriptor was missing, which says nothing
    about the target.
    """
    is_of_this_vm = type(result) is SendFailure and result.kind in UNSENT_KINDS
    return not is_of_this_vm or result.may_have_run


def read_load_probe(probe, result, dialect):
    """Return the LoadProbeResult of a target's answer or a SendFailure."""
    if type(result) is SendFailure:
        return unanswered_result(probe)
    load = result.get(dialect.headers.load)
    report = dialect.decode_load(load) if load is not None else None
    notice = dialect.decode_notice(result.status_code, result.get)
    return LoadProbeResult(
        probe.service_name,
        probe.target_id,
        report,
        notice=notice,
        started_wall_ms=probe.started_wall_ms,
    )


def unanswered_result(probe):
    """Return the LoadProbeResult of a probe that got no answer."""
    return LoadProbeResult(
        probe.service_name,
        probe.target_id,
        None,
        is_answered=False,
        started_wall_ms=probe.started_wall_ms,
    )
