"""Bytes that callers get from a VM's HTTP servers: framing, and answers that fail."""

import gevent
import pytest
from gevent import socket as gevent_socket
from gevent.pywsgi import WSGIHandler
from hornbeamstand_core.routes import CallerLimits
from hornbeamstand_entry.edge.front import forward_response, respond
from hornbeamstand_entry.edge.servers import start_server
from hornbeamstand_entry.tasks.response_messages import CompleteResponse

from tests.caller_front import read_to_end

GET = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
HEAD = GET.replace(b"GET", b"HEAD")
LAST_GET = GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
# Idle time of the callers' connections.
IDLE_MS = 3000.0


def connect(stack, app, idle_ms=IDLE_MS):
    """Return a connection to a server that runs a WSGI application."""
    limits = CallerLimits(idle_ms=idle_ms)
    server = start_server("127.0.0.1:0", app, stack, lambda: idle_ms, lambda: limits)
    address = ("127.0.0.1", server.server_port)
    sock = gevent_socket.create_connection(address, timeout=5.0)
    stack.callback(sock.close)
    return sock


def refuse(environ, start_response):
    return respond(start_response, 503, b"no target", [])


def split_answer(raw):
    """Return the first answer's head, and what follows it."""
    head, _, rest = raw.partition(b"\r\n\r\n")
    return head, rest


def test_a_refusal_of_a_head_request_has_no_body(stack):
    sock = connect(stack, refuse)
    sock.sendall(HEAD + LAST_GET)
    head, rest = split_answer(read_to_end(sock))
    assert b"Content-Length: 9" in head
    head, rest = split_answer(rest)
    assert head.startswith(b"HTTP/1.1 503 ")
    assert rest == b"no target"


def test_a_short_answer_is_sent_in_one_call(stack, monkeypatch):
    """Guards against two packets, and two system calls, for each refusal."""
    sent = []
    send = WSGIHandler._sendall

    def note_and_send(handler, data):
        sent.append(bytes(data))
        send(handler, data)

    monkeypatch.setattr(WSGIHandler, "_sendall", note_and_send)
    sock = connect(stack, refuse)
    sock.sendall(LAST_GET)
    assert sent == [read_to_end(sock)]


class BrokenBody:
    """A body that fails after its first piece."""

    def __iter__(self):
        yield b"half"
        raise RuntimeError("this body breaks off")


def test_an_answer_whose_body_fails_breaks_off_before_its_length(stack):
    def fail(environ, start_response):
        start_response("200 OK", [("Content-Length", "8")])
        return BrokenBody()

    sock = connect(stack, fail)
    sock.sendall(GET + LAST_GET)
    head, rest = split_answer(read_to_end(sock))
    assert b"Content-Length: 8" in head
    assert rest == b"half"


def test_an_answer_whose_head_was_cut_gets_no_bytes_of_another_answer(stack):
    # Longer than what both sockets buffer.
    long_value = "v" * (32 << 20)

    def answer(environ, start_response):
        start_response("200 OK", [("Content-Length", "0"), ("X-Long", long_value)])
        return []

    sock = connect(stack, answer, idle_ms=300.0)
    sock.sendall(GET + LAST_GET)
    # The write of the head times out, and that of an error answer would not.
    gevent.sleep(0.45)
    raw = read_to_end(sock)
    assert raw.startswith(b"HTTP/1.1 200 OK\r\n")
    assert raw.rstrip(b"v").endswith(b"X-Long: "), raw[-200:]


@pytest.mark.parametrize("status", [204, 304])
@pytest.mark.parametrize("method", ["GET", "HEAD"])
def test_a_status_without_a_body_is_forwarded_with_any_stated_length(
    stack, status, method
):
    items = [("Content-Length", "1200"), ("ETag", "e")]

    def forward(environ, start_response):
        response = CompleteResponse(status, items, [], method, False)
        return forward_response(start_response, response, [])

    sock = connect(stack, forward)
    sock.sendall(LAST_GET.replace(b"GET", method.encode()))
    head, rest = split_answer(read_to_end(sock))
    assert head.startswith(b"HTTP/1.1 %d " % status)
    assert b"ETag: e" in head
    assert rest == b""
