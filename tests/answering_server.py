"""Test helpers: a pool of connections to a server that answers each request."""

from gevent.queue import SimpleQueue
from gevent.server import StreamServer
from hornbeamstand_entry.clock import make_process_clock
from hornbeamstand_entry.tasks.exchange import Exchange
from hornbeamstand_entry.tasks.pools import ConnectionPool

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
DEADLINE_MS = 3000.0
# Maximum time until a request whose exchange failed has its result.
AT_ONCE_MS = 1000.0


def start_pool(stack):
    def serve(sock, _):
        while sock.recv(65536):
            sock.sendall(ANSWER)

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    stack.callback(server.stop, timeout=0)
    pool = ConnectionPool(f"127.0.0.1:{server.server_port}", make_process_clock())
    pool.start(stack)
    return pool


def make_exchange(pool, body=b""):
    until_ms = pool.clock.now_ms() + DEADLINE_MS
    return Exchange("GET", REQUEST, until_ms, False, 1000, SimpleQueue(), body=body)


def send(pool, body=b""):
    exchange = make_exchange(pool, body)
    pool.task.post(exchange)
    return exchange.receive_result(AT_ONCE_MS)
