"""Test helpers: targets whose answers a script writes, and requests to them."""

import gevent
from gevent.queue import SimpleQueue
from gevent.server import StreamServer
from hornbeamstand_entry.clock import make_process_clock
from hornbeamstand_entry.tasks.connection_rules import ConnectionRules
from hornbeamstand_entry.tasks.exchange import Exchange
from hornbeamstand_entry.tasks.pools import ConnectionPool

STRICT = ConnectionRules(id_header="Id", requires_id=True, accepts_unframed=True)
LENIENT = ConnectionRules(id_header="Id", accepts_unframed=True)
# Maximum size of an answer's body in these tests.
ANSWER_MAX_BYTES = 100_000


def answer(answer_id=None, body=b"ok", status=200, **items):
    """Return an answer; a header is left out if its value is None."""
    items = {"Id": answer_id, "Seal": "s", **items}
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    for name, value in items.items():
        if value is not None:
            lines.append(f"{name.replace('_', '-')}: {value}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def refusal(answer_id=None, **items):
    """Return an answer which states that the target did not run the request."""
    return answer(answer_id, b"", 503, Seal=None, Not_Run="1", **items)


class ScriptedTarget:
    """Calls a script with each request of a connection: socket, id, its number."""

    def __init__(self, stack, script):
        self.script = script
        self.n_connections = 0
        server = StreamServer(("127.0.0.1", 0), self.serve)
        server.start()
        stack.callback(server.stop, timeout=0)
        self.address = f"127.0.0.1:{server.server_port}"

    def serve(self, sock, _):
        self.n_connections += 1
        n_requests = 0
        while raw := sock.recv(65536):
            if b"Id: " not in raw:
                continue
            n_requests += 1
            request_id = raw.split(b"Id: ")[1].split(b"\r\n")[0].decode()
            try:
                self.script(sock, request_id, n_requests)
            except OSError:
                # The other side has closed the connection.
                return


def make_pool(stack, script, rules=STRICT):
    target = ScriptedTarget(stack, script)
    pool = ConnectionPool(target.address, make_process_clock(), rules)
    pool.start(stack)
    return target, pool


def send(pool, request_id, body=b"", timeout_ms=2000.0, has_id=True):
    """Send one request; return its answer, a SendFailure, or None on a timeout."""
    head = f"POST / HTTP/1.1\r\nId: {request_id}\r\nContent-Length: {len(body)}\r\n\r\n"
    exchange = Exchange(
        "POST",
        head.encode() + body,
        pool.clock.now_ms() + timeout_ms,
        False,
        ANSWER_MAX_BYTES,
        SimpleQueue(),
        request_id if has_id else None,
    )
    pool.task.post(exchange)
    result = exchange.receive_result(timeout_ms)
    if result is None:
        exchange.cancel(has_timed_out=True)
    gevent.sleep(0.02)
    return result
