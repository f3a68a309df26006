"""Opens the sockets of an edge process together."""

import socket
from contextlib import ExitStack

from hornbeamstand_core.records import Record

from ..life.addresses import open_next


class EdgeSockets(Record):
    """The bound sockets of the addresses without which a process can't serve.

    ``front`` listens for callers, ``peer`` for other VMs, and ``datagrams`` takes the
    heartbeats of these.
    """

    __slots__ = ("front", "peer", "datagrams")

    def __init__(self, front, peer, datagrams):
        self.front = front
        self.peer = peer
        self.datagrams = datagrams

    @classmethod
    def from_config(cls, settings):
        """Open all sockets, or none; raises AddressError.

        Callers would wait at an open socket while another one can't be opened, and two
        processes that each hold some of the addresses would wait for each other.
        """
        peer_address = f"{settings.ip}:{settings.peer_port}"
        with ExitStack() as opened:
            datagrams = open_next(peer_address, socket.SOCK_DGRAM, opened)
            peer = open_next(peer_address, socket.SOCK_STREAM, opened)
            front = open_next(settings.front_address, socket.SOCK_STREAM, opened)
            opened.pop_all()
        return cls(front, peer, datagrams)
