"""The task that asks targets for their load while requests wait."""

from hornbeamstand_core.balancer_messages import SendProbe
from hornbeamstand_core.edge_messages import LoadProbeResult
from hornbeamstand_core.messages import SendFailure

from ..encoding import encode_request
from ..tasks.connections import Done, Exchange
from ..tasks.task import Task

ANSWER_MAX_BYTES = 1 << 20
# An unanswered look is given up after this time.
LOOK_MAX_MS = 40.0


class Looks:
    """Looks in flight, by exchange.

    Parameters
    ----------
    pools : Pools
        Connections to targets.
    control_task : EdgeControlTask
        Takes the answers.
    dialect : Dialect
        Names the header of the load figures.
    clock : Clock
        The process's clock.
    """

    __slots__ = ("pools", "control_task", "dialect", "clock", "task", "n_sent", "_open")

    def __init__(self, pools, control_task, dialect, clock):
        self.pools = pools
        self.control_task = control_task
        self.dialect = dialect
        self.clock = clock
        self.task = Task("looks")
        self.n_sent = 0
        self._open = {}

    def post(self, message):
        """Send a SendProbe."""
        self.task.post(message)

    def start(self, stack):
        """Start the task."""
        self.task.start(self._run, stack)

    def _run(self):
        while True:
            message = self.task.mailbox.get()
            self._drop_unanswered()
            if type(message) is SendProbe:
                self._send(message)
            elif type(message) is Done:
                self._take(message)

    def _send(self, look):
        until_ms = self.clock.now_ms() + LOOK_MAX_MS
        exchange = start_look(look, self.pools, until_ms, self.task.mailbox)
        self._open[exchange] = (look, until_ms)
        self.n_sent += 1

    def _take(self, done):
        found = self._open.pop(done.exchange, None)
        if found is not None:
            self.control_task.post(read_look(found[0], done.result, self.dialect))

    def _drop_unanswered(self):
        now_ms = self.clock.now_ms()
        for exchange, (look, until_ms) in list(self._open.items()):
            if now_ms > until_ms:
                del self._open[exchange]
                exchange.cancel()
                self.control_task.post(unanswered(look))


def start_look(look, pools, until_ms, reply_to):
    """Send a look; returns its exchange."""
    wire = encode_request("GET", look.path, [("Host", look.address)], b"")
    exchange = Exchange("GET", wire, until_ms, False, ANSWER_MAX_BYTES, reply_to)
    pools.post(look.address, exchange)
    return exchange


def read_look(look, result, dialect):
    """Return the LoadProbeResult of a look's result."""
    if type(result) is SendFailure:
        return unanswered(look)
    load = result.get(dialect.headers.load)
    report = dialect.decode_load(load) if load is not None else None
    return LoadProbeResult(look.service_name, look.target_id, report)


def unanswered(look):
    """Return the LoadProbeResult of a look that no answer came to."""
    return LoadProbeResult(look.service_name, look.target_id, None, False)
