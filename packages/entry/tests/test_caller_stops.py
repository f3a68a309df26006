"""Connections of callers at a planned stop."""

import errno
import socket
import time
from contextlib import ExitStack
from types import SimpleNamespace

import gevent
from gevent.queue import SimpleQueue
from hornbeamstand_entry.clock import make_process_clock
from hornbeamstand_entry.edge.planned_stop import finish_requests
from hornbeamstand_entry.edge.servers import (
    close_idle_connections,
    has_requests,
    stop_accepting,
)
from hornbeamstand_entry.edge.suspensions import Suspensions, make_boot_clock
from hornbeamstand_entry.http_server import watch_caller

from tests.caller_front import Front, connect, read_to_end

# More callbacks than the event loop runs before it looks at sockets again.
N_CALLBACKS = 2000


def send_unaccepted(stack, front):
    """Send a request on a connection that the server has not accepted."""
    # A socket of the standard library, so that the server does not run meanwhile.
    sock = socket.create_connection(front.address, timeout=3.0)
    stack.callback(sock.close)
    sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
    return sock


def send_unread(stack, front):
    """Send a second request on a kept connection, which the server has not read."""
    sock = connect(stack, front)
    sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    assert sock.recv(65536)
    gevent.sleep(0.01)
    # A system call of its own, so that the server's task does not run meanwhile.
    sock._sock.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    return sock


def test_a_connection_that_waits_for_acceptance_is_served_at_a_stop(stack):
    front = Front(stack)
    sock = send_unaccepted(stack, front)
    stop_accepting([front.server])
    close_idle_connections([front.server])
    with gevent.Timeout(2.0):
        gevent.sleep(0)
        while has_requests([front.server]):
            gevent.sleep(0.01)
    assert sock.recv(65536).startswith(b"HTTP/1.1 200")


def test_a_request_on_a_kept_connection_is_served_at_a_stop(stack):
    front = Front(stack)
    sock = send_unread(stack, front)
    close_idle_connections([front.server])
    assert sock.recv(65536).startswith(b"HTTP/1.1 200")


def finish(front):
    """Finish the requests as a planned stop does; return how many were served."""
    clock = make_process_clock()
    with ExitStack() as stack:
        peer_server = Front(stack).server
        suspensions = Suspensions(clock, make_boot_clock())
        end_at_ms = clock.now_ms() + 2000.0
        finish_requests([front.server], peer_server, clock, end_at_ms, suspensions)
    return front.n_requests


def test_a_stop_ends_with_no_connection_on_which_a_request_may_come(stack):
    """Guards against requests that are read between the last look and the exit."""
    front = Front(stack)
    sock = connect(stack, front)
    gevent.sleep(0.01)
    assert finish(front) == 0
    assert front.server.n_connections == 0
    assert read_to_end(sock) == b""


def test_a_stop_ends_also_if_this_vm_never_stops_to_stall():
    """Guards against a process that is killed because each turn of its loop is late."""
    suspensions = SimpleNamespace(is_just_over=lambda: True)
    busy_server = SimpleNamespace(n_unstarted=1, open_handlers=[])
    clock = make_process_clock()
    with gevent.Timeout(5.0):
        finish_requests([], busy_server, clock, clock.now_ms(), suspensions)


def test_a_stop_waits_for_a_request_that_it_has_just_accepted(stack):
    """Guards against an end before the request's task has begun to run."""
    front = Front(stack)
    sock = send_unaccepted(stack, front)
    assert finish(front) == 1
    assert sock.recv(65536).startswith(b"HTTP/1.1 200")


def test_a_stop_waits_for_a_request_that_just_came_on_a_kept_connection(stack):
    """Guards against an end before the connection's task has read the request."""
    front = Front(stack)
    sock = send_unread(stack, front)
    assert finish(front) == 2
    assert sock.recv(65536).startswith(b"HTTP/1.1 200")


def test_a_request_that_is_not_read_yet_keeps_a_stop_waiting(stack):
    front = Front(stack)
    sock = connect(stack, front)
    gevent.sleep(0.01)
    sock._sock.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    assert has_requests([front.server])


def test_an_idle_connection_is_closed_at_a_stop(stack):
    front = Front(stack)
    sock = connect(stack, front)
    gevent.sleep(0.01)
    close_idle_connections([front.server])
    assert read_to_end(sock) == b""


def test_a_request_that_has_begun_to_arrive_keeps_a_stop_waiting(stack):
    front = Front(stack)
    sock = connect(stack, front)
    sock.sendall(b"GET / HT")
    gevent.sleep(0.01)
    assert has_requests([front.server])
    close_idle_connections([front.server])
    sock.sendall(b"TP/1.1\r\nHost: h\r\n\r\n")
    assert sock.recv(65536).startswith(b"HTTP/1.1 200")


def test_an_answer_that_is_being_written_keeps_a_stop_waiting(stack):
    """Guards against a relayed answer that the end of the owner cuts off."""
    front = Front(stack)
    n_bytes = 32 << 20

    def answer(environ, start_response):
        start_response("200 OK", [("Content-Length", str(n_bytes))])
        return [b"x" * n_bytes]

    front.server.application = answer
    sock = connect(stack, front)
    sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
    gevent.sleep(0.1)
    assert has_requests([front.server])
    assert len(read_to_end(sock)) > n_bytes
    gevent.sleep(0.01)
    assert not has_requests([front.server])


def test_a_request_that_crosses_the_end_of_its_connection_is_served(stack):
    """Guards against a request whose caller counts as gone because a stop came."""
    front = Front(stack)
    mailbox = SimpleQueue()
    serve = front.server.application

    def watch_and_serve(environ, start_response):
        watcher = watch_caller(environ["hornbeamstand.socket"], mailbox)
        gevent.sleep(0.05)
        watcher.close()
        return serve(environ, start_response)

    front.server.application = watch_and_serve
    sock = connect(stack, front)
    gevent.sleep(0.01)
    # The event loop reads sockets before it runs all of these.
    run_callback = gevent.get_hub().loop.run_callback
    for _ in range(N_CALLBACKS):
        run_callback(time.sleep, 0.0001)
    close_idle_connections([front.server])
    sock._sock.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    assert sock.recv(65536).startswith(b"HTTP/1.1 200")
    assert mailbox.empty()


def test_a_connection_without_a_task_yet_keeps_a_stop_waiting(stack):
    """Guards against a stop that ends before it has served what it accepted."""
    front = Front(stack)
    sock = socket.create_connection(front.address, timeout=3.0)
    stack.callback(sock.close)
    sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
    stop_accepting([front.server])
    close_idle_connections([front.server])
    with gevent.Timeout(2.0):
        while has_requests([front.server]):
            gevent.sleep(0.01)
    assert front.n_requests == 1


def test_a_connection_that_cannot_be_accepted_does_not_end_a_stop(stack):
    """Guards against a process that ends because it has no file descriptor left."""
    front = Front(stack)

    def fail():
        raise OSError(errno.EMFILE, "too many open files")

    front.server.do_read = fail
    assert not stop_accepting([front.server])
    assert not front.server.closed
    del front.server.do_read
    assert stop_accepting([front.server])
    assert front.server.closed
