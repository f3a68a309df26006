"""Headers are read in few parts, and the same however they arrive."""

import io

import pytest
from hornbeamstand_entry.request_limits import (
    HeaderTooLarge,
    LimitedLines,
    RequestError,
)
from hypothesis import given
from hypothesis import strategies as st

MAX_BYTES = 16_384
REQUEST_LINE = b"GET / HTTP/1.1\r\n"
SHORT_LINES = b"A:b\n" * 4000


class Pieces(io.RawIOBase):
    """A connection whose bytes arrive in pieces of some sizes, again and again."""

    def __init__(self, data, sizes):
        self.data = data
        self.sizes = list(sizes)

    def readable(self):
        return True

    def readinto(self, buffer):
        size = self.sizes.pop(0)
        self.sizes.append(size)
        piece = self.data[: min(size, len(buffer))]
        self.data = self.data[len(piece) :]
        buffer[: len(piece)] = piece
        return len(piece)


class CountedReader(io.BufferedReader):
    """Counts the parts that are read."""

    n_parts = 0

    def peek(self, *args):
        self.n_parts += 1
        return super().peek(*args)

    def readline(self, *args):
        self.n_parts += 1
        return super().readline(*args)


def read(data, sizes=(65_536,)):
    """Return the headers of a request and what follows, or the error's class."""
    file = io.BufferedReader(Pieces(REQUEST_LINE + data, sizes))
    lines = LimitedLines(file, MAX_BYTES)
    lines.read_request_line()
    try:
        return lines.read_headers(), file.read()
    except RequestError as error:
        return type(error)


def test_headers_of_many_lines_are_read_in_few_parts():
    """Guards against crowds whose heads take the processor for a second."""
    file = CountedReader(Pieces(REQUEST_LINE + SHORT_LINES + b"\r\n", (65_536,)))
    lines = LimitedLines(file, MAX_BYTES)
    lines.read_request_line()
    assert lines.read_headers() == SHORT_LINES + b"\r\n"
    assert file.n_parts < 10


@pytest.mark.parametrize(
    "data, expected",
    [
        (b"\r\nrest", (b"\r\n", b"rest")),
        (b"\nrest", (b"\n", b"rest")),
        (b"A: b\r\n\r\nrest", (b"A: b\r\n\r\n", b"rest")),
        (b"A: b\n\nrest", (b"A: b\n\n", b"rest")),
        (b"A: b\r\n\r\r\nrest", (b"A: b\r\n\r\r\n", b"rest")),
        (b"A: b\rc\r\n\n\nrest", (b"A: b\rc\r\n\n", b"\nrest")),
        (b"A: b\r\n", RequestError),
        (b"", RequestError),
        (SHORT_LINES * 2 + b"\r\n", HeaderTooLarge),
    ],
)
@pytest.mark.parametrize("n_bytes", [1, 2, 3, 65_536])
def test_headers_end_with_the_first_empty_line(data, expected, n_bytes):
    assert read(data, (n_bytes,)) == expected


@given(
    st.lists(st.sampled_from([b"\r", b"\n", b"\r\n", b"A: b", b" "]), max_size=30),
    st.lists(st.integers(1, 9), min_size=1),
)
def test_headers_are_the_same_however_they_arrive(parts, sizes):
    data = b"".join(parts)
    assert read(data, sizes) == read(data)
