"""Copies of the operators' configuration that VMs fetch from each other.

Copies are compressed, because a configuration may have thousands of routes and a small
VM's link may have a bandwidth of a few Mbit/s.
"""

import zlib

from hornbeamstand_core.discovery import ConfigEntry, StoreChanges
from hornbeamstand_core.messages import SendFailure

from ..encoding import encode_request
from ..tasks.failures import report_failure
from ..tasks.task import Task
from .calls import call

# Path at which peers serve their copy, on the port for requests between VMs.
COPY_PATH = "/configuration"
# Maximum size of a copy, both compressed and decompressed.
COPY_MAX_BYTES = 8 << 20
# Maximum wait for a peer's copy.
COPY_TIMEOUT_MS = 800.0
STATUS_OK = 200
# What follows a failed fetch, for the log.
NEXT_STEP = "asking the next peer that sends a newer version"


def compress_copy(raw):
    """Return the bytes of a configuration, compressed for peers."""
    return zlib.compress(raw)


def decompress_copy(compressed):
    """Return the bytes of a peer's copy; raise ValueError if the copy is invalid."""
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(compressed, COPY_MAX_BYTES)
    except zlib.error as error:
        raise ValueError(f"copy cannot be decompressed: {error}") from error
    if not decompressor.eof:
        raise ValueError(
            f"copy of {len(compressed)} bytes is truncated, or longer than"
            f" {COPY_MAX_BYTES} bytes when decompressed"
        )
    return raw


class ConfigCopies:
    """Fetches copies from peers, one at a time.

    Parameters
    ----------
    peer_pools : Pools
        Connections to other entry VMs.
    peer_port : int
        Port for requests between VMs; the same on every VM.
    decode : callable
        Returns the ConfigEntry of a decompressed copy, or an InvalidEntry.
    control_task : EdgeControlTask
        Receives the configuration.
    clock : Clock
        The process's clock.
    log : EdgeLog
        Logs copies and failed fetches.
    """

    __slots__ = (
        "peer_pools",
        "peer_port",
        "decode",
        "control_task",
        "clock",
        "log",
        "task",
    )

    def __init__(self, peer_pools, peer_port, decode, control_task, clock, log):
        self.peer_pools = peer_pools
        self.peer_port = peer_port
        self.decode = decode
        self.control_task = control_task
        self.clock = clock
        self.log = log
        self.task = Task("config-copies")

    def post(self, message):
        """Put a FetchConfig into the task's mailbox."""
        self.task.post(message)

    def start(self, stack):
        """Start the task."""
        self.task.start(self._run, stack)

    def _run(self):
        while True:
            fetch = self.task.mailbox.get()
            answer = self._fetch(f"{fetch.ip}:{self.peer_port}")
            self._take_answer(fetch, answer)

    def _fetch(self, address):
        request_bytes = encode_request("GET", COPY_PATH, [("Host", address)], b"")
        return call(
            self.peer_pools,
            self.clock,
            address,
            "GET",
            request_bytes,
            COPY_TIMEOUT_MS,
            COPY_MAX_BYTES,
        )

    def _take_answer(self, fetch, answer):
        if answer is None:
            self._log_failure(fetch, f"no answer within {COPY_TIMEOUT_MS:.0f} ms")
            return
        if isinstance(answer, SendFailure):
            self._log_failure(fetch, f"{answer.kind} {answer.peer}")
            return
        if answer.status_code != STATUS_OK:
            status = answer.status_code
            self._log_failure(fetch, f"status {status}, expected {STATUS_OK}")
            return
        try:
            entry = self.decode(decompress_copy(answer.body))
        except ValueError as error:
            self._log_failure(fetch, str(error))
            return
        except Exception as error:
            report_failure("config-copies", error)
            self._log_failure(fetch, repr(error))
            return
        if isinstance(entry, ConfigEntry):
            self.log.info("config: copied", peer=fetch.ip, version=fetch.version)
        # A copy does not contain the store's revision. With 0, the controllers keep the
        # latest revision that they have seen.
        self.control_task.post(StoreChanges([entry], 0))

    def _log_failure(self, fetch, detail):
        self.log.info("config: no copy", peer=fetch.ip, error=f"{detail}; {NEXT_STEP}")
