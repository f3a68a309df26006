"""Test helpers: clients that hold memory of a VM, and what the VM uses meanwhile."""

import os
from contextlib import suppress
from pathlib import Path

import gevent

from standins.crowds import (
    Crowd,
    ask_for,
    make_head,
    many_headers,
    unfinished_body,
    unfinished_chunks,
    unfinished_head,
)

__all__ = [
    "HOLD_S",
    "Crowd",
    "MemoryUse",
    "ask_for",
    "assert_holds",
    "make_head",
    "many_headers",
    "read_queued_bytes",
    "try_request",
    "unfinished_body",
    "unfinished_chunks",
    "unfinished_head",
    "wait_until_served",
]

BYTES_PER_MB = 1 << 20
BYTES_PER_KB = 1024
# Time limit of the ordinary request.
ORDINARY_TIMEOUT_S = 30.0
# Time that a crowd holds what it has once all its clients have sent.
HOLD_S = 0.5
# Columns of the system's table of connections: local address, state, lengths of the two
# queues, and inode, which is 0 for a connection that is not accepted yet.
LOCAL_COLUMN = 1
STATE_COLUMN = 3
QUEUES_COLUMN = 4
INODE_COLUMN = 9
LISTENING = "0A"
NO_INODE = "0"


class MemoryUse:
    """What a process has used at most, in MB, and what it uses now.

    ``peak_mb`` is the largest resident size, ``queued_mb`` what the system holds now
    for connections of the process: bytes that are unread, or sent and not yet received.
    ``n_descriptors`` is the number of descriptors.
    """

    __slots__ = ("peak_mb", "queued_mb", "n_descriptors")

    @classmethod
    def from_process(cls, process_id, ip):
        """Read the use of a process that listens at an IP address."""
        self = cls()
        status = Path(f"/proc/{process_id}/status").read_text()
        peak_kb = int(status.split("VmHWM:")[1].split()[0])
        self.peak_mb = peak_kb * BYTES_PER_KB / BYTES_PER_MB
        self.queued_mb = read_queued_bytes(process_id, ip) / BYTES_PER_MB
        self.n_descriptors = len(os.listdir(f"/proc/{process_id}/fd"))
        return self

    @property
    def total_mb(self):
        """The memory that counts against the limit of a VM."""
        return self.peak_mb + self.queued_mb


def read_queued_bytes(process_id, ip):
    """Return the bytes that the system holds for connections of a process.

    Those that it has not accepted yet count too, at its IP address.
    """
    # The system writes the four bytes of an address in reverse.
    local = "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))
    lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
    connections = [line.split() for line in lines]
    inodes = read_socket_inodes(process_id)
    own = [columns for columns in connections if columns[INODE_COLUMN] in inodes]
    listening = {
        columns[LOCAL_COLUMN] for columns in own if columns[STATE_COLUMN] == LISTENING
    }
    waiting = [
        columns
        for columns in connections
        if columns[INODE_COLUMN] == NO_INODE
        and columns[LOCAL_COLUMN].startswith(f"{local}:")
        and columns[LOCAL_COLUMN] in listening
    ]
    return sum(
        int(part, 16)
        for columns in own + waiting
        # A listener has connections in its queue, not bytes.
        if columns[STATE_COLUMN] != LISTENING
        for part in columns[QUEUES_COLUMN].split(":")
    )


def read_socket_inodes(process_id):
    """Return the inodes of the sockets of a process, as texts."""
    links = []
    for path in Path(f"/proc/{process_id}/fd").iterdir():
        # A descriptor may be closed meanwhile.
        with suppress(OSError):
            links.append(os.readlink(path))
    return {link[8:-1] for link in links if link.startswith("socket:[")}


def assert_holds(process, ip, memory_mb, n_descriptors):
    """Check that a process lives, within its memory and descriptors."""
    assert process.poll() is None
    use = MemoryUse.from_process(process.pid, ip)
    print(f"peak {use.peak_mb:.0f} MB, queued {use.queued_mb:.0f} MB")
    assert use.total_mb <= memory_mb
    assert use.n_descriptors <= n_descriptors


def wait_until_served(is_served):
    """Wait until an ordinary request is served, while the crowd is still there."""
    with gevent.Timeout(
        ORDINARY_TIMEOUT_S, AssertionError("no ordinary request was served")
    ):
        while not try_request(is_served):
            gevent.sleep(0.1)


def try_request(is_served):
    """Return whether a request is served; an error of its connection counts as no."""
    try:
        return is_served()
    except (OSError, ValueError):
        return False
