"""The settings of one entry VM: their schema, defaults and loading."""

from pathlib import Path
from typing import Annotated

from hornbeamstand_core.config import ADDRESS_PATTERN, Bounds
from hornbeamstand_core.errors import ConfigError
from hornbeamstand_core.records import Record
from hornbeamstand_wire.json_text import decode_json
from hornbeamstand_wire.schema import build
from result import Err


class Settings(Record):
    """What one process must know before it can read the configuration."""

    __slots__ = (
        "vm_id",
        "failure_domain",
        "cell",
        "front_address",
        "peer_address",
        "admin_address",
        "platform_address",
        "platform_timeout_ms",
        "seed_peers",
        "lease_ms",
        "stop_deadline_ms",
        "body_max_bytes",
        "answer_max_bytes",
        "caller_idle_ms",
        "n_requests_max",
        "memory_mb",
        "hop_ms",
        "choice",
        "limit",
        "log_format",
        "decision_log",
    )

    def __init__(
        self,
        vm_id: Annotated[str, Bounds(pattern="^[A-Za-z0-9_.-]+$", description="VM")],
        failure_domain: Annotated[str, Bounds(description="the VM's failure domain")],
        cell: Annotated[
            str,
            Bounds(pattern="^[A-Za-z0-9_.-]+$", description="VMs that act as one"),
        ],
        front_address: Annotated[
            str, Bounds(pattern=ADDRESS_PATTERN, description="for callers and hops")
        ],
        peer_address: Annotated[
            str,
            Bounds(pattern=ADDRESS_PATTERN, description="for peers, UDP and TCP"),
        ],
        admin_address: Annotated[
            str, Bounds(pattern=ADDRESS_PATTERN, description="status and metrics")
        ],
        platform_address: Annotated[
            str, Bounds(pattern=ADDRESS_PATTERN, description="the platform's store")
        ],
        platform_timeout_ms: Annotated[
            int, Bounds(10, 60000, "longest wait for a platform call")
        ] = 500,
        seed_peers: Annotated[
            list[str],
            Bounds(description="peer addresses asked at start if the platform is down"),
        ] = (),
        lease_ms: Annotated[
            int, Bounds(200, 60000, "lease time; equal on every VM of a cell")
        ] = 2000,
        stop_deadline_ms: Annotated[
            int, Bounds(0, 600000, "longest planned stop")
        ] = 30000,
        body_max_bytes: Annotated[
            int, Bounds(0, 1 << 30, "largest request body; above it 413")
        ] = 1 << 20,
        answer_max_bytes: Annotated[
            int, Bounds(0, 1 << 30, "largest answer body; above it 502")
        ] = 8 << 20,
        caller_idle_ms: Annotated[
            int, Bounds(10, 600000, "longest silence of a caller within a request")
        ] = 10000,
        n_requests_max: Annotated[
            int, Bounds(1, 1000000, "requests inside the VM; above it refused")
        ] = 2000,
        memory_mb: Annotated[
            int, Bounds(64, 1 << 20, "memory of the VM; half is for what callers hold")
        ] = 512,
        hop_ms: Annotated[float, Bounds(0.0, 1000.0, "time to a peer, one way")] = 1.5,
        choice: Annotated[
            str,
            Bounds(
                pattern="^(least-expected-latency|least-in-flight|power-of-two"
                "|round-robin)$",
                description="how a target is chosen",
            ),
        ] = "least-expected-latency",
        limit: Annotated[
            str,
            Bounds(
                pattern="^(aimd|gradient|fixed)$",
                description="how a target's limit is learned",
            ),
        ] = "aimd",
        log_format: Annotated[
            str, Bounds(pattern="^(json|console)$", description="form of log lines")
        ] = "json",
        decision_log: Annotated[
            bool, Bounds(description="a line for each routing decision")
        ] = True,
    ):
        self.vm_id = vm_id
        self.failure_domain = failure_domain
        self.cell = cell
        self.front_address = front_address
        self.peer_address = peer_address
        self.admin_address = admin_address
        self.platform_address = platform_address
        self.platform_timeout_ms = platform_timeout_ms
        self.seed_peers = seed_peers
        self.lease_ms = lease_ms
        self.stop_deadline_ms = stop_deadline_ms
        self.body_max_bytes = body_max_bytes
        self.answer_max_bytes = answer_max_bytes
        self.caller_idle_ms = caller_idle_ms
        self.n_requests_max = n_requests_max
        self.memory_mb = memory_mb
        self.hop_ms = hop_ms
        self.choice = choice
        self.limit = limit
        self.log_format = log_format
        self.decision_log = decision_log


def load_settings(file):
    """Return Ok of the Settings in a file, or Err of a ConfigError.

    The error names the file, and the field if one is at fault.
    """
    try:
        raw = decode_json(Path(file).read_bytes())
    except OSError as error:
        detail = f"cannot be read: {error.strerror}"
        return Err(ConfigError("settings", str(file), detail))
    except ValueError as error:
        return Err(ConfigError("settings", str(file), f"is not valid JSON: {error}"))
    return build(Settings, raw, str(file))
