"""The network between the VMs of a day, whose paths can be cut.

Each VM has a peer port of its own, at which it reaches its peers too. So what it sends
to a peer arrives at a port of the peer's address where this process listens, which
forwards it to the port that the peer has bound.
"""

from itertools import permutations

import gevent
from gevent import socket

from ..proxy import PASS, SILENT, Proxy

DATAGRAM_MAX_BYTES = 65536


class PeerPath:
    """The path from one VM to another; datagrams are dropped while ``is_cut``."""

    __slots__ = ("receiver", "is_cut", "sock", "proxy")

    def __init__(self, sender, receiver):
        self.receiver = receiver
        self.is_cut = False
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((receiver.ip, sender.ports["peer"]))
        self.proxy = Proxy(
            f"{receiver.ip}:{receiver.ports['peer']}",
            address=f"{receiver.ip}:{sender.ports['peer']}",
        )

    def start(self, stack, reverse):
        """Start to forward; ``reverse`` is the path of the receiver's datagrams."""
        stack.callback(self.sock.close)
        self.proxy.start(stack)
        copier = gevent.spawn(self._forward, reverse)
        stack.callback(copier.kill, block=False)

    def _forward(self, reverse):
        while True:
            data = self.sock.recv(DATAGRAM_MAX_BYTES)
            if self.is_cut:
                continue
            try:
                # The receiver takes the sender's address from the datagram.
                reverse.sock.sendto(
                    data, (self.receiver.ip, self.receiver.ports["peer"])
                )
            except OSError:
                # Nothing listens there, as without a proxy.
                continue


class PeerNetwork:
    """The paths between VMs, by the names of sender and receiver.

    A connection carries bytes only while neither of its two directions is cut.
    """

    __slots__ = ("_stack", "_vms", "_paths")

    def __init__(self, stack):
        self._stack = stack
        self._vms = []
        self._paths = {}

    def add(self, vm):
        """Add a VM that has not been started, with its paths from and to the others."""
        for other in self._vms:
            pair = [(vm, other), (other, vm)]
            there, back = (PeerPath(sender, receiver) for sender, receiver in pair)
            self._paths[(vm.name, other.name)] = there
            self._paths[(other.name, vm.name)] = back
            there.start(self._stack, back)
            back.start(self._stack, there)
        self._vms.append(vm)

    def between(self, senders, receivers):
        """Return the keys of the paths from some VMs to some others."""
        keys = {(a.name, b.name) for a in senders for b in receivers}
        return [key for key in keys if key in self._paths]

    def set_cut(self, keys, is_cut):
        """Cut or restore paths."""
        for key in keys:
            self._paths[key].is_cut = is_cut
        for sender, receiver in permutations({name for key in keys for name in key}, 2):
            path = self._paths.get((sender, receiver))
            if path is not None:
                has_cut = path.is_cut or self._paths[(receiver, sender)].is_cut
                path.proxy.mode = SILENT if has_cut else PASS
