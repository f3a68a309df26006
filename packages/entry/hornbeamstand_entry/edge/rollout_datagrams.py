"""Encodes the reports of roll-outs that entry VMs send to each other."""

from typing import Annotated

import msgspec
from hornbeamstand_core.rollout_messages import (
    CANARY,
    COMPLETE,
    MOVING,
    REVERTED,
    RolloutReport,
    RouteCounts,
)

from .typed_datagrams import DatagramKind

REPORT_NUMBER = 3
# The phases on the wire, by their index.
PHASES = (CANARY, MOVING, COMPLETE, REVERTED)
Phase = Annotated[int, msgspec.Meta(ge=0, lt=len(PHASES))]
Count = Annotated[int, msgspec.Meta(ge=0, lt=1 << 53)]
Duration = Annotated[int, msgspec.Meta(ge=0, lt=1 << 53)]
# Route, and good and bad answers of the old and of the new version.
COUNTS = tuple[str, Count, Count, Count, Count]
# Service, version, revision of the order, phase, time since the order, requests in
# flight at old targets, and the counts of each route.
REPORT_DECODER = msgspec.msgpack.Decoder(
    tuple[str, str, Count, Phase, Duration, Count, list[COUNTS]]
)


def encode_report(report):
    """Return a RolloutReport as MessagePack."""
    counts = [
        [getattr(item, name) for name in RouteCounts.__slots__]
        for item in report.counts
    ]
    return msgspec.msgpack.encode(
        [
            report.service_name,
            report.target_version,
            report.order_revision,
            PHASES.index(report.phase),
            int(report.elapsed_ms),
            report.n_old_in_flight,
            counts,
        ]
    )


def decode_report(raw, ip):
    """Return the RolloutReport that ``ip`` sent.

    Raises msgspec.DecodeError if the bytes are invalid.
    """
    name, version, revision, phase, elapsed_ms, n_old, counts = REPORT_DECODER.decode(
        raw
    )
    return RolloutReport(
        ip,
        name,
        version,
        revision,
        PHASES[phase],
        float(elapsed_ms),
        n_old,
        [RouteCounts(*values) for values in counts],
    )


ROLLOUT_KINDS = (
    DatagramKind(REPORT_NUMBER, RolloutReport, encode_report, decode_report),
)
