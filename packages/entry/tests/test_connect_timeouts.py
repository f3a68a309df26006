"""The time that opening a connection may take, beside the time left to its request."""

import socket

import pytest
from hornbeamstand_entry.tasks import sockets
from hornbeamstand_entry.tasks.connection_rules import ConnectionRules


@pytest.mark.parametrize(
    ("left_ms", "timeout_ms"),
    [
        (1500.0, 150.0),
        (2500.0, 250.0),
        (60_000.0, 250.0),
        (400.0, 100.0),
        (-1.0, 100.0),
    ],
)
def test_a_request_with_less_time_waits_less_for_a_connection(
    monkeypatch, left_ms, timeout_ms
):
    timeouts_ms = []

    def note_timeout(sock, address):
        timeouts_ms.append(sock.gettimeout() * sockets.MS_PER_S)
        sock.connect(address)

    monkeypatch.setattr(sockets, "connect_in_time", note_timeout)
    rules = ConnectionRules(250.0, connect_share=0.1)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        sockets.open_socket(listener.getsockname(), rules, left_ms).close()
    assert timeouts_ms == [pytest.approx(timeout_ms)]


def test_the_time_left_does_not_limit_other_connections():
    assert ConnectionRules(500.0).connect_limit_ms(28_000.0) == 500.0
