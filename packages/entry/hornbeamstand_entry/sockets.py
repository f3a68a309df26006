"""Opens the sockets of a VM in the product's own mode together."""

import socket
from contextlib import ExitStack

from hornbeamstand_core.records import Record

from .life.addresses import open_next
from .tasks.peer_state import open_peer_server


class ProcessSockets(Record):
    """The bound sockets of the addresses without which the process can't serve.

    ``front`` listens for callers and hops, ``datagrams`` takes what peers send by UDP,
    and ``peer_server`` is the gRPC server at the same address.
    """

    __slots__ = ("front", "datagrams", "peer_server")

    def __init__(self, front, datagrams, peer_server):
        self.front = front
        self.datagrams = datagrams
        self.peer_server = peer_server

    @classmethod
    def from_config(cls, settings):
        """Open all sockets, or none; raises AddressError.

        grpcio opens its sockets itself, and does not say why one can't be bound. So its
        address is first bound here, which also comes before that of callers: these
        would wait at an open socket while another one can't be opened.
        """
        with ExitStack() as opened:
            datagrams = open_next(settings.peer_address, socket.SOCK_DGRAM, opened)
            peer = open_next(settings.peer_address, socket.SOCK_STREAM, opened)
            front = open_next(settings.front_address, socket.SOCK_STREAM, opened)
            peer.close()
            peer_server = open_peer_server(settings.peer_address)
            opened.pop_all()
        return cls(front, datagrams, peer_server)
