"""Asks targets that were known before whether they still are the same ones."""

from gevent.queue import SimpleQueue
from hornbeamstand_core.messages import SendFailure
from hornbeamstand_core.target_copy_messages import TargetsConfirmed

from ..tasks.task import Task, receive
from .load_probes import start_load_probe

# Maximum wait for the answers of one round.
CONFIRM_TIMEOUT_MS = 150.0
STATUS_OK = 200


class TargetConfirmations:
    """Sends a ConfirmTargets to the health endpoints, one round at a time.

    Parameters
    ----------
    pools : Pools
        Connections to targets.
    control_task : EdgeControlTask
        Receives the TargetsConfirmed of each round.
    dialect : Dialect
        Names the header with a target's id, and decodes what it says of itself.
    clock : Clock
        The process's clock.
    """

    __slots__ = ("pools", "control_task", "dialect", "clock", "task", "n_sent")

    def __init__(self, pools, control_task, dialect, clock):
        self.pools = pools
        self.control_task = control_task
        self.dialect = dialect
        self.clock = clock
        self.task = Task("target-confirmations")
        self.n_sent = 0

    def post(self, message):
        """Put a ConfirmTargets into the task's mailbox."""
        self.task.post(message)

    def start(self, stack):
        """Start the task."""
        self.task.start(self._run, stack)

    def _run(self):
        while True:
            message = self.task.mailbox.get()
            self.control_task.post(self._confirm(message.targets))

    def _confirm(self, targets):
        """Return the TargetsConfirmed of the answers that come in time."""
        results = SimpleQueue()
        until_ms = self.clock.now_ms() + CONFIRM_TIMEOUT_MS
        asked = {}
        for target in targets:
            exchange = start_load_probe(target, self.pools, until_ms, results)
            asked[exchange] = target.entry
            self.n_sent += 1
        confirmed = TargetsConfirmed([], {})
        while asked and (left_ms := until_ms - self.clock.now_ms()) > 0.0:
            message = receive(results, left_ms)
            if message is not None:
                self._note(confirmed, asked.pop(message.exchange), message.result)
        for exchange in asked:
            exchange.cancel()
        return confirmed

    def _note(self, confirmed, entry, answer):
        """Note the answer of a target, if it is the one of its entry."""
        if isinstance(answer, SendFailure) or answer.status_code != STATUS_OK:
            return
        id_header = self.dialect.headers.target_id
        if id_header and answer.get(id_header) != entry.target_id:
            return
        confirmed.keys.append(entry.key)
        notice = self.dialect.decode_notice(answer.status_code, answer.get)
        if notice is not None:
            confirmed.notices[entry.key] = notice
