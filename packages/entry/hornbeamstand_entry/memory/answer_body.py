"""The body of an answer, whose memory becomes free as the caller takes it."""


class AnswerBody:
    """The body of a WSGI response; each piece is dropped once it is sent.

    Parameters
    ----------
    pieces : list of bytes
        The body. The memory of a piece becomes free if nothing else refers to it.
    hold : ByteHold
        Holds nothing yet; it is released at the end of the response.
    """

    __slots__ = ("_pieces", "_hold")

    def __init__(self, pieces, hold):
        self._pieces = list(reversed(pieces))
        self._hold = hold
        # The body is in memory already, so that nothing is gained by a refusal.
        hold.add(sum(map(len, self._pieces)))

    @property
    def n_bytes(self):
        """The size of the pieces that are not sent yet."""
        return self._hold.n_bytes

    def __iter__(self):
        while self._pieces:
            yield self._pieces[-1]
            self._hold.add(-len(self._pieces.pop()))

    def close(self):
        """Release the memory; the WSGI server calls this in any case."""
        self._pieces.clear()
        self._hold.release()


def count_body_bytes(body):
    """Return the size of the body of a WSGI response, a list or an AnswerBody."""
    if type(body) is AnswerBody:
        return body.n_bytes
    return sum(map(len, body))
