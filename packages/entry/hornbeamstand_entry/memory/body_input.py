"""Reads the body of a request as it arrives, in little more memory than its size.

The library's reader waits until all bytes that were asked for are there. Meanwhile it
keeps each chunk, however small, as an object of its own.
"""

from gevent.pywsgi import Input

# Maximum number of bytes that are read at a time from a body of a stated length.
READ_MAX_BYTES = 65_536
# Maximum number of bytes that are read at a time from a chunk, and from several chunks.
CHUNK_READ_MAX_BYTES = 16_384
SMALL_CHUNKS_MAX_BYTES = 1024


class BodyInput(Input):
    """The input of one request, which returns bytes as soon as some are there."""

    __slots__ = ()

    @classmethod
    def from_input(cls, source):
        """Return the BodyInput for an Input of the library that is not read yet."""
        return cls(
            source.rfile, source.content_length, source.socket, source.chunked_input
        )

    @property
    def n_next_bytes(self):
        """The maximum number of bytes that the next read returns."""
        if self.chunked_input:
            n_left_bytes = self.chunk_length - self.position
            return min(CHUNK_READ_MAX_BYTES, max(SMALL_CHUNKS_MAX_BYTES, n_left_bytes))
        return min(READ_MAX_BYTES, (self.content_length or 0) - self.position)

    def read(self, length=None):
        """Return some bytes of the body, or none at its end.

        Raises OSError if the connection ends before it.
        """
        n_bytes = self.n_next_bytes
        if length is not None and length >= 0:
            n_bytes = min(n_bytes, length)
        if self.chunked_input:
            return super().read(n_bytes)
        if n_bytes <= 0:
            return b""
        self._send_100_continue()
        data = self.rfile.read1(n_bytes)
        if not data:
            raise OSError(f"body ended after {self.position} bytes")
        self.position += len(data)
        return data
