"""A clock that returns milliseconds from one monotonic source."""


class Clock:
    """A monotonic clock in milliseconds.

    Parameters
    ----------
    read_ms : callable
        Returns the current time in milliseconds; never decreases.
    """

    __slots__ = ("_read_ms",)

    def __init__(self, read_ms):
        self._read_ms = read_ms

    @classmethod
    def from_reader(cls, read_ms):
        """Build a clock from a function that returns milliseconds."""
        return cls(read_ms)

    def now_ms(self):
        """Return the current time in milliseconds."""
        return self._read_ms()
