"""Ports of this VM that the system has given to outgoing connections."""

import os
from contextlib import ExitStack

import pytest
from gevent import socket
from hornbeamstand_entry.life.addresses import open_listener
from hornbeamstand_entry.tasks import sockets
from hornbeamstand_entry.tasks.connection_rules import ConnectionRules
from hornbeamstand_wire.platform import StoreConnectionPool

# Option of Linux by which the system chooses the port when the socket connects.
IP_BIND_ADDRESS_NO_PORT = 24
# No other socket of the host has it: a port is shared by all that have its address.
OWN_IP = f"127.77.{os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"
REAL_SOCKET = socket.socket


def make_own_socket(*args):
    """Return a socket whose connections come from the address of this test."""
    sock = REAL_SOCKET(*args)
    sock.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
    sock.bind((OWN_IP, 0))
    return sock


def connect_pooled(address):
    rules = ConnectionRules(1000.0)
    return sockets.open_socket(address, rules)


def connect_store_client(address):
    return StoreConnectionPool(*address, *address).get_socket()


CLOSED_BY = ["nobody", "us", "both", "the peer"]


@pytest.mark.parametrize("connect", [connect_pooled, connect_store_client])
@pytest.mark.parametrize("closed_by", CLOSED_BY)
def test_a_port_of_an_outgoing_connection_can_be_listened_at(
    monkeypatch, connect, closed_by
):
    """Guards against a start that waits a minute for a port of its own."""
    with ExitStack() as stack:
        listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        monkeypatch.setattr(socket, "socket", make_own_socket)
        ours = stack.enter_context(connect(listener.getsockname()))
        monkeypatch.undo()
        peers = stack.enter_context(listener.accept()[0])
        host, port = ours.getsockname()
        if closed_by in ("us", "both"):
            ours.close()
        if closed_by in ("the peer", "both"):
            peers.close()
        stack.enter_context(open_listener(f"{host}:{port}"))
