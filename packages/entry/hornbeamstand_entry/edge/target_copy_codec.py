"""Encodes the targets that one entry VM gives to another.

A copy is a compressed MessagePack array. Durations are whole milliseconds.
"""

from typing import Annotated

import msgspec
from hornbeamstand_core.discovery import DomainOutOfService, TargetEntry
from hornbeamstand_core.target_copy_messages import HeldTarget, TargetCopy

from .config_copies import compress_copy, decompress_copy

# Maximum duration that a copy may state, one day.
DURATION_MAX_MS = 86_400_000
Duration = Annotated[int, msgspec.Meta(ge=0, le=DURATION_MAX_MS)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Text = Annotated[str, msgspec.Meta(min_length=1)]
# Key, target id, service, address, domain, slots, state, rest of the cold start, start,
# sequence, version, whether the target leaves, and rest of its pause.
TARGET = tuple[
    Text, Text, str, Text, str, Count, str, Duration, int, Count, str, bool, Duration
]
# Targets, domains out of service as keys and names, age, revision and era.
COPY_DECODER = msgspec.msgpack.Decoder(
    tuple[list[TARGET], list[tuple[Text, str]], Duration, Count, Count]
)


def encode_target_copy(copy):
    """Return the bytes of a TargetCopy."""
    targets = [encode_held(held) for held in copy.targets]
    domains_out = [(record.key, record.failure_domain) for record in copy.domains_out]
    age_ms = whole_ms(copy.age_ms)
    values = (targets, domains_out, age_ms, copy.revision, copy.era)
    return compress_copy(msgspec.msgpack.encode(values))


def encode_held(held):
    """Return the values of a HeldTarget in the order of ``TARGET``."""
    entry = held.entry
    return (
        entry.key,
        entry.target_id,
        entry.service_name,
        entry.address,
        entry.failure_domain,
        entry.n_slots,
        entry.state,
        whole_ms(entry.cold_remaining_ms),
        entry.started_wall_ms,
        entry.sequence,
        entry.version,
        held.is_leaving,
        whole_ms(held.pause_ms),
    )


def decode_target_copy(compressed):
    """Return the TargetCopy of a peer's answer; raise ValueError if it is invalid."""
    values = COPY_DECODER.decode(decompress_copy(compressed))
    targets, domains_out, age_ms, revision, era = values
    return TargetCopy(
        [decode_held(*target) for target in targets],
        [DomainOutOfService(*item) for item in domains_out],
        float(age_ms),
        revision,
        era,
    )


def decode_held(*values):
    """Return the HeldTarget of the values in the order of ``TARGET``.

    Raises ValueError if its id or address fits no header of a request.
    """
    *fields, is_leaving, pause_ms = values
    entry = TargetEntry(*fields)
    for text in (entry.target_id, entry.address):
        if not text.isascii() or not text.isprintable() or " " in text:
            raise ValueError(f"copy names a target or an address {text!r:.100}")
    return HeldTarget(entry, is_leaving, float(pause_ms))


def whole_ms(duration_ms):
    """Return a duration as the integer that a copy states."""
    return int(min(DURATION_MAX_MS, max(0.0, duration_ms)))
