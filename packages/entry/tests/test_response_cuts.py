"""Responses that break off at any byte, alone or behind others on their connection."""

import pytest
from gevent.queue import SimpleQueue
from hornbeamstand_entry.tasks.connection_rules import ConnectionRules
from hornbeamstand_entry.tasks.exchange import Exchange
from hornbeamstand_entry.tasks.response_messages import ResponseError
from hornbeamstand_entry.tasks.response_parser import ResponseParser, read_response
from hypothesis import given
from hypothesis import strategies as st

from .test_response_fuzz import Pieces

OWN_ID = "own"
ANSWER_MAX_BYTES = 5000
BODY = b"x" * 40
CHUNKS = b"20\r\n" + BODY[:32] + b"\r\n8;e=1\r\n" + BODY[32:] + b"\r\n0\r\nT: 1\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Early\r\nLink: a\r\n\r\n"
EARLIER = b"HTTP/1.1 200 OK\r\nId: earlier\r\nContent-Length: 3\r\n\r\nabc"
# The rules of target pools on the platform, of target pools, and of other pools.
RULES = {
    "strict": ConnectionRules(id_header="Id", requires_id=True, accepts_unframed=True),
    "lenient": ConnectionRules(id_header="Id"),
    "no ids": ConnectionRules(),
}
FRAMED = {
    "length": (b"Content-Length: 40", BODY),
    "folded length": (b"Content-Length:\r\n 40", BODY),
    "chunks": (b"Transfer-Encoding: chunked", CHUNKS),
    "encoded chunks": (b"Transfer-Encoding: gzip, chunked", CHUNKS),
}
UNFRAMED = {
    "neither": (b"Connection: keep-alive", BODY),
    "not last": (b"Transfer-Encoding: chunked, gzip", BODY),
    "other coding": (b"Transfer-Encoding: xchunked", BODY),
}


def make_exchange(method, rules, request_id=OWN_ID):
    expected_id = request_id if rules.id_header else None
    return Exchange(
        method, b"", 0.0, False, ANSWER_MAX_BYTES, SimpleQueue(), expected_id
    )


def read(sock, parser, rules, method="GET", request_id=OWN_ID):
    """Return the response to an exchange, or None if reading fails."""
    try:
        exchange = make_exchange(method, rules, request_id)
        return read_response(sock, parser, exchange, rules)
    except (ResponseError, OSError):
        return None


def head(framing, is_id_last=False, line_end=b"\r\n", status=b"200 OK"):
    """Return the status line and the headers of a response."""
    lines = [framing, b"X-A: b", b"Id: own"]
    lines = lines if is_id_last else lines[::-1]
    text = b"\r\n".join([b"HTTP/1.1 " + status, *lines, b"", b""])
    return text.replace(b"\r\n", line_end)


def pieces_of(raw, cuts, is_reset):
    ends = [0, *sorted(cuts), len(raw)]
    pieces = [raw[a:b] for a, b in zip(ends, ends[1:], strict=False)]
    return Pieces(pieces, is_reset)


def make_parser(rules, is_kept):
    """Return the parser of a connection, which may have carried a response."""
    parser = ResponseParser()
    if is_kept:
        assert read(Pieces([EARLIER], False), parser, rules, request_id="earlier")
    return parser


rules_names = st.sampled_from(sorted(RULES))
cut_places = st.lists(st.integers(0, 250), max_size=6)


@pytest.mark.fuzz
@given(
    rules_names,
    st.sampled_from(sorted(FRAMED)),
    st.sampled_from([b"", INTERIM, INTERIM * 2]),
    st.tuples(st.booleans(), st.sampled_from([b"\r\n", b"\n"])),
    st.tuples(st.booleans(), st.booleans()),
    st.integers(1, 400),
    cut_places,
)
def test_a_framed_response_that_breaks_off_anywhere_is_never_returned(
    name, framing, interim, form, state, n_missing_bytes, cuts
):
    line, payload = FRAMED[framing]
    raw = interim + head(line, *form) + payload
    cut = raw[: -min(n_missing_bytes, len(raw))]
    is_kept, is_reset = state
    parser = make_parser(RULES[name], is_kept)
    assert read(pieces_of(cut, cuts, is_reset), parser, RULES[name]) is None


@pytest.mark.fuzz
@given(
    rules_names,
    st.sampled_from(sorted(FRAMED | UNFRAMED)),
    st.sampled_from(["GET", "HEAD"]),
    st.sampled_from([b"200 OK", b"204 No", b"304 Not"]),
    st.tuples(st.booleans(), st.booleans(), st.booleans()),
    st.integers(1, 120),
    cut_places,
)
def test_a_response_whose_head_breaks_off_is_never_returned(
    name, framing, method, status, state, n_missing_bytes, cuts
):
    line, _ = (FRAMED | UNFRAMED)[framing]
    is_id_last, is_kept, is_reset = state
    raw = head(line, is_id_last, status=status)
    cut = raw[: -min(n_missing_bytes, len(raw))]
    parser = make_parser(RULES[name], is_kept)
    assert read(pieces_of(cut, cuts, is_reset), parser, RULES[name], method) is None


@pytest.mark.parametrize("framing", sorted(UNFRAMED))
@pytest.mark.parametrize("name", ["lenient", "no ids"])
def test_a_response_that_only_its_connection_ends_needs_a_rule_that_accepts_it(
    framing, name
):
    line, payload = UNFRAMED[framing]
    for n_bytes in range(len(payload) + 1):
        raw = head(line) + payload[:n_bytes]
        assert read(Pieces([raw], False), ResponseParser(), RULES[name]) is None


@pytest.mark.parametrize("framing", ["length", "chunks", "encoded chunks"])
@pytest.mark.parametrize("name", sorted(RULES))
def test_a_whole_framed_response_is_returned(framing, name):
    line, payload = FRAMED[framing]
    for interim in (b"", INTERIM):
        sock = Pieces([interim + head(line) + payload], False)
        assert read(sock, make_parser(RULES[name], True), RULES[name]).body == BODY


@pytest.mark.parametrize("framing", sorted(UNFRAMED))
def test_a_response_that_only_its_connection_ends_is_accepted_by_its_rule(framing):
    line, payload = UNFRAMED[framing]
    raw, rules = head(line) + payload, RULES["strict"]
    response = read(Pieces([raw], False), ResponseParser(), rules)
    assert response.body == BODY
    assert response.should_close()
    assert read(Pieces([raw], True), ResponseParser(), rules) is None


@pytest.mark.parametrize("name", sorted(RULES))
def test_bytes_behind_a_head_response_close_its_connection(name):
    raw = head(b"Content-Length: 40") + BODY
    response = read(Pieces([raw], False), ResponseParser(), RULES[name], "HEAD")
    assert response.should_close()
    assert response.is_followed


def test_an_invalid_response_after_a_head_response_fails_at_once():
    parser = ResponseParser()
    sock = Pieces([head(b"Content-Length: 40"), b"rubbish\r\n\r\n", BODY], False)
    assert read(sock, parser, RULES["strict"], "HEAD")
    assert read(sock, parser, RULES["strict"]) is None
    assert sock.pieces == [BODY]
