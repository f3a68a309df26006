"""Answers of the store, and copies of the configuration, that break off at any byte."""

import gevent
import msgspec
import pytest
from gevent.server import StreamServer
from hornbeamstand_core.messages import SendFailure
from hornbeamstand_entry.clock import make_process_clock
from hornbeamstand_entry.edge.calls import call
from hornbeamstand_entry.edge.config_copies import compress_copy, decompress_copy
from hornbeamstand_entry.edge.store_client import StoreClient
from hornbeamstand_entry.edge.store_era import StoreEra
from hornbeamstand_entry.encoding import encode_request
from hornbeamstand_entry.tasks.connection_rules import ConnectionRules
from hornbeamstand_entry.tasks.pools import Pools
from hornbeamstand_platform.dialect import make_dialect
from hornbeamstand_wire.platform import PlatformClient

TIMEOUT_MS = 2000.0
PAGE = msgspec.json.encode({"items": [], "AsOf": 12, "HasMore": False})
VALUE = msgspec.json.encode({"value": {"a": 1}, "revision": 12})
COPY = compress_copy(b"configuration")


def framed(body, framing):
    """Return an answer with a length, in chunks, or with neither."""
    if framing == "length":
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    if framing == "chunks":
        chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk
    return b"HTTP/1.1 200 OK\r\n\r\n" + body


class CutServer:
    """Answers each connection with the first bytes of an answer, and closes it."""

    def __init__(self, stack, answer):
        self.answer = answer
        self.n_bytes = len(answer)
        server = StreamServer(("127.0.0.1", 0), self.serve)
        server.start()
        stack.callback(server.stop, timeout=0)
        self.address = f"127.0.0.1:{server.server_port}"

    def serve(self, sock, _):
        sock.recv(65536)
        sock.sendall(self.answer[: self.n_bytes])
        sock.close()

    def results(self, ask):
        """Yield the result of ``ask`` for each number of bytes short of all."""
        for n_bytes in range(len(self.answer)):
            self.n_bytes = n_bytes
            with gevent.Timeout(5.0):
                yield ask()
        self.n_bytes = len(self.answer)


@pytest.mark.parametrize("framing", ["length", "chunks", "neither"])
def test_a_page_of_the_store_that_breaks_off_is_an_error(stack, framing):
    server, clock = CutServer(stack, framed(PAGE, framing)), make_process_clock()
    pools = Pools(clock, stack, ConnectionRules())
    client = StoreClient(
        server.address,
        make_dialect().store,
        pools,
        clock,
        TIMEOUT_MS,
        StoreEra(None),
    )
    assert all(r.is_err() for r in server.results(lambda: client.read_all("")))
    assert client.read_all("").is_ok() == (framing != "neither")


@pytest.mark.parametrize("framing", ["length", "chunks", "neither"])
def test_a_value_of_the_store_that_breaks_off_is_an_error(stack, framing):
    server = CutServer(stack, framed(VALUE, framing))
    client = PlatformClient.from_config(server.address, TIMEOUT_MS)
    stack.callback(client.close)
    assert all(r.is_err() for r in server.results(lambda: client.get("k")))
    assert client.get("k").ok_value.revision == 12


@pytest.mark.parametrize("framing", ["length", "chunks", "neither"])
def test_a_copy_of_the_configuration_that_breaks_off_is_an_error(stack, framing):
    server, clock = CutServer(stack, framed(COPY, framing)), make_process_clock()
    pools = Pools(clock, stack, ConnectionRules())

    def fetch():
        raw = encode_request("GET", "/configuration", [("Host", "h")], b"")
        return call(pools, clock, server.address, "GET", raw, TIMEOUT_MS, 1000)

    assert all(isinstance(r, SendFailure) for r in server.results(fetch))
    whole = fetch()
    if framing == "neither":
        assert isinstance(whole, SendFailure)
    else:
        assert decompress_copy(whole.body) == b"configuration"


def test_a_compressed_copy_that_breaks_off_is_never_decompressed():
    for n_bytes in range(len(COPY)):
        with pytest.raises(ValueError, match="copy"):
            decompress_copy(COPY[:n_bytes])
