"""What the product's own program opens, and what it applies while it runs."""

import socket
from contextlib import ExitStack
from types import SimpleNamespace

import pytest
from hornbeamstand_entry import sockets
from hornbeamstand_entry.life.addresses import AddressError, open_listener, open_socket
from hornbeamstand_entry.process import make_find_refusal
from hornbeamstand_entry.sockets import ProcessSockets
from hornbeamstand_entry.tasks.peer_state import open_peer_server


@pytest.fixture
def stack():
    with ExitStack() as exit_stack:
        yield exit_stack


def free_address():
    with open_listener("127.0.0.1:0") as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


def test_a_peer_address_that_is_lost_between_its_check_and_its_use_is_waited_for(stack):
    """Guards against a start that ends with a traceback of grpcio."""
    address = free_address()
    holder = stack.enter_context(open_listener(address))
    with pytest.raises(AddressError) as raised:
        open_peer_server(address)
    assert raised.value.is_temporary
    assert raised.value.peer == address
    holder.close()
    stack.callback(open_peer_server(address).stop, None)


def test_two_processes_never_share_a_peer_address(stack):
    """Guards against calls that reach the process of an earlier start."""
    address = free_address()
    stack.callback(open_peer_server(address).stop, None)
    with pytest.raises(AddressError):
        open_peer_server(address)


def test_no_address_is_held_while_another_can_not_be_had(stack, monkeypatch):
    """Guards against callers that wait at a process that does not serve."""
    front, peer = free_address(), free_address()
    settings = SimpleNamespace(front_address=front, peer_address=peer)

    def fail(address):
        raise AddressError("address.bind", address, "taken")

    monkeypatch.setattr(sockets, "open_peer_server", fail)
    with pytest.raises(AddressError):
        ProcessSockets.from_config(settings)
    for address, kind in (
        (front, socket.SOCK_STREAM),
        (peer, socket.SOCK_STREAM),
        (peer, socket.SOCK_DGRAM),
    ):
        open_socket(address, kind).close()


def test_a_changed_maximum_of_requests_holds_for_the_next_one():
    control_task = SimpleNamespace(n_requests=5)
    settings = SimpleNamespace(n_requests_max=5)
    find_refusal = make_find_refusal(control_task, settings)
    call = SimpleNamespace(service=SimpleNamespace(priority=9))
    assert find_refusal(call) is None
    settings.n_requests_max = 4
    assert find_refusal(call).step == "admit"
