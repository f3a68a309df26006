"""Headers of a request, read from the lines that a caller sent.

The library's own class is that of electronic mail: it takes the body of a message with
several parts for a part of the headers, and refuses requests that state one.
"""

LINE_END = "\r\n"
FOLD_CHARS = " \t"


class RequestHeaders:
    """Headers in the order in which they arrived.

    ``is_malformed`` is whether a line is not a name, a colon and a value, and
    ``is_folded`` whether a line continues the one before it. ``status`` is empty: the
    library reads it as the error of headers that it has read itself.
    """

    __slots__ = ("is_malformed", "is_folded", "_headers")

    status = ""

    def __init__(self):
        self.is_malformed = False
        self.is_folded = False
        self._headers = []

    @classmethod
    def from_text(cls, text):
        """Read the lines up to the empty one, which ends the headers."""
        self = cls()
        for line in text.split("\n"):
            if line in ("", "\r"):
                break
            self._add_line(line.removesuffix("\r"))
        return self

    def _add_line(self, line):
        if line[0] in FOLD_CHARS:
            self.is_folded = True
            return
        name, separator, value = line.partition(":")
        # Some servers take a carriage return alone for the end of a line.
        if not separator or "\r" in value or not is_name(name):
            self.is_malformed = True
            return
        self._headers.append((name, value.lstrip(FOLD_CHARS)))

    def __contains__(self, name):
        return self.get(name) is not None

    def __delitem__(self, name):
        lower_name = name.lower()
        self._headers = [
            item for item in self._headers if item[0].lower() != lower_name
        ]

    def get(self, name, default=None):
        """Return the first value of a header, or the default if it is absent."""
        lower_name = name.lower()
        for key, value in self._headers:
            if key.lower() == lower_name:
                return value
        return default

    # The name of ``get`` in the library.
    getheader = get

    def get_all(self, name):
        """Return all values of a header."""
        lower_name = name.lower()
        return [value for key, value in self._headers if key.lower() == lower_name]

    def items(self):
        """Return the names and values in order."""
        return list(self._headers)

    @property
    def typeheader(self):
        """The type of the body; None if it is not stated."""
        return self.get("Content-Type")

    @property
    def headers(self):
        """The lines of the headers, which the library reads for the environment."""
        return [f"{name}: {value}{LINE_END}" for name, value in self._headers]


def is_name(text):
    """Return whether a text has only visible ASCII characters, and at least one."""
    return text.isascii() and text.isprintable() and " " not in text and text != ""
