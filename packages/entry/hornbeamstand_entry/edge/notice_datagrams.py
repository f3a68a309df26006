"""Encodes the notices of targets that entry VMs send to each other.

A notice is a MessagePack array. Its length differs from that of a heartbeat, so VMs of
versions that know no notices log an unreadable datagram.
"""

import msgspec
from hornbeamstand_core.edge_messages import NoticeRelayed, TargetNotice

# Service, target id, start, whether it leaves, and the duration of its cold start in
# milliseconds.
NOTICE_DECODER = msgspec.msgpack.Decoder(tuple[str, str, int, bool, float])


def encode_notice(message):
    """Return a NoticeRelayed that states the start of its target as MessagePack."""
    notice = message.notice
    return msgspec.msgpack.encode(
        [
            message.service_name,
            message.target_id,
            message.started_wall_ms,
            notice.is_leaving,
            notice.cold_ms,
        ]
    )


def decode_notice(raw):
    """Return the NoticeRelayed of a datagram, or None if the bytes are invalid."""
    try:
        values = NOTICE_DECODER.decode(raw)
    except msgspec.DecodeError:
        return None
    service_name, target_id, started_wall_ms, is_leaving, cold_ms = values
    notice = TargetNotice(is_leaving, cold_ms=cold_ms)
    return NoticeRelayed(service_name, target_id, notice, started_wall_ms)
