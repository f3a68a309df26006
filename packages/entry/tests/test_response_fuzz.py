"""Property tests of reading a target's responses: any bytes, in any pieces."""

import msgspec
import pytest
from gevent.queue import SimpleQueue
from hornbeamstand_core.edge_node_messages import EdgeHeartbeat
from hornbeamstand_entry.edge.heartbeats import (
    decode_contacts,
    decode_heartbeat,
    encode_heartbeat,
)
from hornbeamstand_entry.peer_codec import decode_orders
from hornbeamstand_entry.tasks.connection_rules import ConnectionRules
from hornbeamstand_entry.tasks.exchange import Exchange
from hornbeamstand_entry.tasks.response_messages import ResponseError
from hornbeamstand_entry.tasks.response_parser import (
    HEAD_MAX_BYTES,
    READ_BYTES,
    ResponseParser,
    read_response,
)
from hypothesis import given
from hypothesis import strategies as st

OWN_ID = "own"
ANSWER_MAX_BYTES = 5000
RULES = ConnectionRules(id_header="Id", requires_id=True, accepts_unframed=True)
pytestmark = pytest.mark.fuzz


class Pieces:
    """A socket whose reads return the given pieces, then the end or a reset."""

    def __init__(self, pieces, is_reset):
        # An empty read would be the end.
        self.pieces = [piece for piece in pieces if piece]
        self.is_reset = is_reset
        self.n_read_bytes = 0

    def recv(self, n_bytes):
        if not self.pieces:
            if self.is_reset:
                raise ConnectionResetError
            return b""
        piece = self.pieces.pop(0)
        if len(piece) > n_bytes:
            self.pieces.insert(0, piece[n_bytes:])
            piece = piece[:n_bytes]
        self.n_read_bytes += len(piece)
        return piece


def encode(response_id, status, body, framing):
    """Return a response as bytes; ``framing`` is "length", "chunked" or "end"."""
    lines = [f"HTTP/1.1 {status} X"]
    if response_id is not None:
        lines.append(f"Id: {response_id}")
    if framing == "length":
        lines.append(f"Content-Length: {len(body)}")
        payload = body
    elif framing == "chunked":
        lines.append("Transfer-Encoding: chunked")
        payload = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
        payload += b"0\r\n\r\n"
    else:
        payload = body
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + payload


responses = st.tuples(
    st.sampled_from([OWN_ID, "other", None]),
    st.sampled_from([200, 500, 503, 421]),
    st.binary(max_size=60),
    st.sampled_from(["length", "chunked"]),
)


@st.composite
def streams(draw):
    """Draw responses, and their bytes: in pieces, cut, repeated or overwritten."""
    sent = draw(st.lists(responses, min_size=1, max_size=4))
    raw = b"".join(encode(*response) for response in sent)
    is_changed = draw(st.booleans())
    if is_changed:
        start = draw(st.integers(0, len(raw)))
        end = draw(st.integers(start, len(raw)))
        raw = raw[:start] + draw(st.sampled_from([b"", raw[start:end] * 2, b"\xff"]))
        raw += draw(st.binary(max_size=20))
    cuts = sorted(draw(st.lists(st.integers(0, len(raw)), max_size=6)))
    ends = [0, *cuts, len(raw)]
    pieces = [raw[a:b] for a, b in zip(ends, ends[1:], strict=False) if a < b]
    return sent, is_changed, Pieces(pieces, draw(st.booleans()))


def read(sock, parser=None, rules=RULES):
    """Return the response to an exchange, or None if reading fails."""
    exchange = Exchange("GET", b"", 0.0, False, ANSWER_MAX_BYTES, SimpleQueue(), OWN_ID)
    try:
        return read_response(sock, parser or ResponseParser(), exchange, rules)
    except (ResponseError, OSError):
        return None


@given(streams())
def test_only_a_whole_response_of_the_exchange_is_returned(stream):
    sent, is_changed, sock = stream
    response = read(sock)
    if response is None:
        return
    echoed_id = response.get("Id")
    assert echoed_id in (OWN_ID, None)
    if is_changed:
        return
    own = [s for s in sent if s[0] == OWN_ID]
    first = sent[0] if sent[0][0] is None else own[0]
    assert (response.status_code, response.body) == (first[1], first[2])
    assert echoed_id == first[0]


@given(streams())
def test_responses_without_an_id_are_not_taken_after_an_earlier_response(stream):
    _, _, sock = stream
    parser = ResponseParser()
    assert read(Pieces([encode(OWN_ID, 200, b"", "length")], False), parser)
    response = read(sock, parser)
    assert response is None or response.get("Id") == OWN_ID


@given(st.binary(max_size=60), st.integers(0, 200), st.booleans())
def test_a_response_that_breaks_off_is_never_returned(body, n_bytes, is_chunked):
    raw = encode(OWN_ID, 200, body, "chunked" if is_chunked else "length")
    cut = raw[: min(n_bytes, len(raw) - 1)]
    assert read(Pieces([cut], False)) is None
    assert read(Pieces([cut], True)) is None


@given(st.binary(max_size=60), st.integers(0, 60))
def test_a_response_that_a_reset_ends_is_never_returned(body, n_bytes):
    raw = encode(OWN_ID, 200, body, "end")
    assert read(Pieces([raw[:n_bytes], raw[n_bytes:]], True)) is None
    assert read(Pieces([raw], False)).body == body


@given(
    st.sampled_from([b"", b"HTTP/1.1 200 X\r\n", b"HTTP/1.1 200 X\r\nId: own\r\n\r\n"]),
    st.binary(min_size=1, max_size=40),
)
def test_bytes_without_end_are_read_up_to_a_limit(start, more):
    pieces = [start] * bool(start) + [more * 2000] * 400
    sock = Pieces(pieces, False)
    read(sock)
    n_max_bytes = HEAD_MAX_BYTES + 6 * ANSWER_MAX_BYTES + 2 * READ_BYTES
    assert sock.n_read_bytes <= n_max_bytes


MESSAGES = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 9) | st.text(max_size=4) | st.binary(),
    lambda inner: st.lists(inner, max_size=12),
    max_leaves=20,
)


@given(MESSAGES | st.binary(max_size=40).map(msgspec.Raw))
def test_any_message_of_a_peer_is_decoded_or_none(value):
    raw = bytes(value) if isinstance(value, msgspec.Raw) else None
    raw = msgspec.msgpack.encode(value) if raw is None else raw
    decode_heartbeat(raw, "10.0.0.1")
    decode_contacts(raw)
    decode_orders(raw)


@pytest.mark.parametrize("opening", [b"\x91", b"\x81\x01", b"\x9b\xa1s\x91"])
def test_a_datagram_that_is_nested_too_deeply_is_none(opening):
    raw = opening * 700 if len(opening) < 4 else opening + b"\x91" * 2000
    assert decode_heartbeat(raw, "10.0.0.1") is None
    assert decode_contacts(raw) is None
    assert decode_orders(raw) is None


@pytest.mark.parametrize("is_overloaded", [True, False])
def test_heartbeats_are_decoded_as_they_were_encoded(is_overloaded):
    sent = EdgeHeartbeat(
        "10.0.0.1",
        "a",
        7,
        True,
        False,
        True,
        True,
        True,
        is_overloaded,
        -2,
        8,
        3,
        12,
        4,
    )
    assert decode_heartbeat(encode_heartbeat(sent), "10.0.0.1") == sent
