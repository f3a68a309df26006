"""Property tests of the callers' port: any bytes, in any pieces."""

from contextlib import ExitStack

import gevent
import pytest
from geventhttpclient.response import HTTPResponse
from hypothesis import given
from hypothesis import strategies as st

from tests.caller_front import Front, connect, exchange, read_to_end
from tests.fuzz_values import changed_bytes

pytestmark = pytest.mark.fuzz
HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\n"
PARTS = [
    HEAD,
    b"GET /y?z=1 HTTP/1.1\r\nHost: h\r\n",
    b"GET / HTTP/1.0\r\n",
    b"Content-Length: 3\r\n",
    b"Content-Length: -3\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Connection: close\r\n",
    b"Expect: 100-continue\r\n",
    b" folded\r\n",
    b"A: \xff\x00\r\n",
    b"\r\n",
    b"abc",
    b"3\r\nabc\r\n",
    b"0\r\n\r\n",
    b"fffffffffffffffff\r\n",
]
WHOLE = HEAD + b"Content-Length: 3\r\nConnection: close\r\n\r\nabc"
streams = st.lists(st.sampled_from(PARTS), max_size=9).map(b"".join)


def send_in_pieces(sock, raw, cuts):
    """Send bytes with a pause after each cut, then end the sending."""
    ends = [*sorted(cut for cut in cuts if cut < len(raw)), len(raw)]
    start = 0
    try:
        for end in ends:
            sock.sendall(raw[start:end])
            start = end
            gevent.sleep(0)
        sock.shutdown(1)
    except OSError:
        # The server has closed the connection after a refusal.
        return


def read_responses(data):
    """Return the statuses of the responses in some bytes, all of which are whole."""
    statuses = []
    while data:
        response = HTTPResponse()
        head, separator, rest = data.partition(b"\r\n\r\n")
        assert separator, data
        response.feed(head + separator)
        n_bytes = response.content_length or 0
        if response.status_code < 200:
            n_bytes = 0
        assert len(rest) >= n_bytes, data
        statuses.append(response.status_code)
        data = rest[n_bytes:]
    return statuses


@given(streams.flatmap(changed_bytes), st.lists(st.integers(0, 300), max_size=3))
def test_any_bytes_get_whole_responses_and_hold_no_memory(raw, cuts):
    with ExitStack() as stack:
        front = Front(stack)
        sock = connect(stack, front)
        send_in_pieces(sock, raw, cuts)
        with gevent.Timeout(3.0):
            read_responses(read_to_end(sock))
        assert front.budget.n_used_bytes == 0
        assert exchange(stack, front, WHOLE).endswith(b"3")


@given(st.integers(1, len(WHOLE) - 1))
def test_a_request_that_breaks_off_is_not_served(n_bytes):
    with ExitStack() as stack:
        front = Front(stack)
        sock = connect(stack, front)
        send_in_pieces(sock, WHOLE[:n_bytes], [])
        assert 200 not in read_responses(read_to_end(sock))
        assert front.n_requests == 0
