"""Copies of the targets that a VM fetches from its peers while it can't read the store.

A peer that doesn't answer soon may be frozen or cut off, so the next one is asked
beside it.
"""

from gevent.queue import SimpleQueue
from hornbeamstand_core.messages import SendFailure
from hornbeamstand_core.target_copy_messages import TargetsFetched

from ..encoding import encode_request
from ..tasks.exchange import Exchange
from ..tasks.failures import report_failure
from ..tasks.task import Task, receive
from .config_copies import COPY_MAX_BYTES, STATUS_OK
from .target_copy_codec import decode_target_copy

# Path at which peers serve their copy, on the port for requests between VMs.
TARGETS_PATH = "/targets"
# Time without an answer after which the next peer is asked too.
NEXT_PEER_MS = 80.0
# Maximum wait for a peer's copy.
COPY_TIMEOUT_MS = 600.0


class TargetCopies:
    """Asks peers for their targets until one gives a copy; one round at a time.

    Parameters
    ----------
    peer_pools : Pools
        Connections to other entry VMs.
    peer_port : int
        Port for requests between VMs; the same on every VM.
    control_task : EdgeControlTask
        Receives the TargetsFetched of each round.
    clock : Clock
        The process's clock.
    log : EdgeLog
        Logs peers that gave no copy.
    """

    __slots__ = ("peer_pools", "peer_port", "control_task", "clock", "log", "task")

    def __init__(self, peer_pools, peer_port, control_task, clock, log):
        self.peer_pools = peer_pools
        self.peer_port = peer_port
        self.control_task = control_task
        self.clock = clock
        self.log = log
        self.task = Task("target-copies")

    def post(self, message):
        """Put a FetchTargets into the task's mailbox."""
        self.task.post(message)

    def start(self, stack):
        """Start the task."""
        self.task.start(self._run, stack)

    def _run(self):
        while True:
            fetch = self.task.mailbox.get()
            self.control_task.post(self._fetch(fetch.ips))

    def _fetch(self, ips):
        """Return the TargetsFetched with the first copy, or with none."""
        results = SimpleQueue()
        asked = {}
        try:
            for ip in ips:
                asked[self._ask(ip, results)] = ip
                fetched = self._receive(results, asked, NEXT_PEER_MS)
                if fetched is not None:
                    return fetched
            until_ms = self.clock.now_ms() + COPY_TIMEOUT_MS - NEXT_PEER_MS
            while asked and (left_ms := until_ms - self.clock.now_ms()) > 0.0:
                fetched = self._receive(results, asked, left_ms)
                if fetched is not None:
                    return fetched
        finally:
            for exchange in asked:
                exchange.cancel()
        for ip in asked.values():
            self._log_failure(ip, f"no answer within {COPY_TIMEOUT_MS:.0f} ms")
        return TargetsFetched("")

    def _ask(self, ip, results):
        """Send a request to a peer and return its exchange."""
        address = f"{ip}:{self.peer_port}"
        exchange = Exchange(
            "GET",
            encode_request("GET", TARGETS_PATH, [("Host", address)], b""),
            self.clock.now_ms() + COPY_TIMEOUT_MS,
            False,
            COPY_MAX_BYTES,
            results,
        )
        self.peer_pools.post(address, exchange)
        return exchange

    def _receive(self, results, asked, wait_ms):
        """Return the TargetsFetched of the next answer, or None without a copy."""
        message = receive(results, wait_ms)
        if message is None:
            return None
        ip = asked.pop(message.exchange)
        copy = self._read_answer(ip, message.result)
        return None if copy is None else TargetsFetched(ip, copy)

    def _read_answer(self, ip, answer):
        """Return the TargetCopy of a peer's answer, or None."""
        if isinstance(answer, SendFailure):
            self._log_failure(ip, f"{answer.kind} {answer.peer}")
            return None
        if answer.status_code != STATUS_OK:
            self._log_failure(ip, f"status {answer.status_code}, no targets there")
            return None
        try:
            return decode_target_copy(answer.body)
        except ValueError as error:
            self._log_failure(ip, str(error))
        except Exception as error:
            report_failure("target-copies", error)
            self._log_failure(ip, repr(error))
        return None

    def _log_failure(self, ip, detail):
        self.log.info("targets: peer has none", peer=ip, error=detail)
