"""The base of the data classes: slots, equality and a readable ``repr``."""


class Record:
    """Compare and print instances by the values of their slots."""

    __slots__ = ()

    def _values(self):
        return tuple(getattr(self, name) for name in self.__slots__)

    def replace(self, **values):
        """Return a copy with other values in some of its slots."""
        copy = object.__new__(type(self))
        for name in self.__slots__:
            setattr(copy, name, values.pop(name, getattr(self, name)))
        if values:
            raise TypeError(f"{type(self).__name__} has no fields {sorted(values)}")
        return copy

    def __eq__(self, other):
        return type(self) is type(other) and self._values() == other._values()

    __hash__ = None

    def __repr__(self):
        fields = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.__slots__)
        return f"{type(self).__name__}({fields})"
