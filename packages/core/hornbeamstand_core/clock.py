"""The project's clock: milliseconds from one monotonic source."""


class Clock:
    """Read milliseconds from one source.

    Parameters
    ----------
    read_ms : callable
        Returns the current reading in milliseconds; never decreases.
    """

    __slots__ = ("_read_ms",)

    def __init__(self, read_ms):
        self._read_ms = read_ms

    @classmethod
    def from_reader(cls, read_ms):
        """Build a clock over a function that returns milliseconds."""
        return cls(read_ms)

    def now_ms(self):
        """Return the current reading in milliseconds."""
        return self._read_ms()
