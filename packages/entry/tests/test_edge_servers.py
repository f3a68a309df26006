"""HTTP servers of a process when the system lacks something they ask for."""

import weakref

import gevent
import pytest
from gevent import pywsgi, socket
from hornbeamstand_core.routes import CallerLimits
from hornbeamstand_entry.edge import servers as edge_servers

IDLE_MS = 5000.0


def respond(environ, start_response):
    start_response("200 OK", [("Content-Length", "2")])
    return [b"ok"]


def start_edge(stack):
    return edge_servers.start_server(
        "127.0.0.1:0", respond, stack, lambda: IDLE_MS, CallerLimits
    )


class NoResolver:
    """A resolver that notes each look-up and finds nothing."""

    def __init__(self):
        self.lookups = []

    def __getattr__(self, name):
        def look_up(*args, **values):
            self.lookups.append((name, args))
            raise OSError("name look-ups are not available")

        return look_up


def test_a_server_starts_without_a_name_lookup(stack, monkeypatch):
    """Guards against a start that waits for a name server's timeout of 5 s."""
    resolver, asked = NoResolver(), []
    monkeypatch.setattr(gevent.get_hub(), "resolver", resolver)
    monkeypatch.setattr(pywsgi.socket, "getfqdn", lambda host: asked.append(host) or "")
    server = start_edge(stack)
    assert server.environ["SERVER_NAME"] == "127.0.0.1"
    assert server.get_environ()["SERVER_NAME"] == "127.0.0.1"
    assert resolver.lookups == asked == []


def test_a_connection_that_ended_leaves_no_cyclic_garbage(
    stack, monkeypatch, no_collection
):
    """Guards against memory that grows until the oldest generation is collected."""
    server, handlers = start_edge(stack), weakref.WeakSet()

    def make_handler(*args):
        handler = edge_servers.EdgeHandler(*args)
        handlers.add(handler)
        return handler

    monkeypatch.setattr(server, "handler_class", make_handler)
    with socket.create_connection(("127.0.0.1", server.server_port)) as caller:
        caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        assert caller.recv(1000).endswith(b"ok")
        assert len(handlers) == 1
    gevent.sleep(0.05)
    assert len(handlers) == 0


def test_an_end_that_is_due_finds_a_connection_that_has_ended(stack):
    server = start_edge(stack)
    with socket.create_connection(("127.0.0.1", server.server_port)):
        gevent.sleep(0.05)
        (handler,) = server.open_handlers
    gevent.sleep(0.05)
    assert not server.open_handlers
    edge_servers.end_if_idle(handler)


def test_a_connection_that_is_not_served_does_not_hold_up_a_stop(stack, monkeypatch):
    """Guards against a stop that waits for a connection whose handler failed."""
    server = start_edge(stack)

    def fail(*args):
        raise MemoryError

    monkeypatch.setattr(server, "handler_class", fail)
    with socket.create_connection(("127.0.0.1", server.server_port)) as caller:
        assert caller.recv(1) == b""
    assert not edge_servers.has_requests([server])


@pytest.mark.parametrize("step", ["do_read", "do_handle"])
def test_a_stop_goes_on_when_a_waiting_connection_finds_no_memory(
    stack, monkeypatch, step
):
    """Guards against the end of the process, with requests in progress, in a stop."""
    server = start_edge(stack)

    def fail(*args):
        raise MemoryError

    with socket.create_connection(("127.0.0.1", server.server_port)):
        with monkeypatch.context() as patch:
            patch.setattr(server, step, fail)
            assert not edge_servers.stop_accepting([server])
    assert edge_servers.stop_accepting([server])
