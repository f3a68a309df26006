"""Reads the log lines of several VMs.

A line is one JSON object; what stands before it on its line, such as a time that a
collector added, is passed over.
"""

import msgspec
from hornbeamstand_core.errors import ConfigError
from hornbeamstand_core.records import Record
from result import Err, Ok

MS_PER_S = 1000.0
# Fields of every line; the rest says what the line is about.
COMMON_FIELDS = frozenset(["vm", "time_s", "event"])


class LogLine(Record):
    """One line; ``at_ms`` is the VM's own time of day, ``fields`` the rest."""

    __slots__ = ("vm", "at_ms", "event", "fields")

    def __init__(self, vm, at_ms, event, fields):
        self.vm = vm
        self.at_ms = at_ms
        self.event = event
        self.fields = fields

    @property
    def request_id(self):
        """Return the caller's id of the request that the line is about, or ""."""
        return str(self.fields.get("request", "")).partition("~")[0]

    def describe(self):
        """Return the line's fields as text."""
        return " ".join(
            f"{name}={value}" for name, value in self.fields.items() if value != ""
        )


class LogFiles(Record):
    """The lines of all files in their order, and how many could not be read."""

    __slots__ = ("lines", "n_unreadable")

    def __init__(self, lines, n_unreadable):
        self.lines = lines
        self.n_unreadable = n_unreadable


def read_logs(paths):
    """Return ``Ok`` of LogFiles, or ``Err`` of a ConfigError that names the file."""
    lines = []
    n_unreadable = 0
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                for text in file:
                    line = parse_line(text)
                    if line is not None:
                        lines.append(line)
                    else:
                        n_unreadable += bool(text.strip())
        except OSError as error:
            return Err(ConfigError("logs.read", path, str(error)))
    return Ok(LogFiles(lines, n_unreadable))


def parse_line(text):
    """Return the LogLine of a text, or None if it holds none."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        raw = msgspec.json.decode(text[start:].strip())
    except msgspec.DecodeError:
        return None
    if not isinstance(raw, dict) or not COMMON_FIELDS <= raw.keys():
        return None
    if not isinstance(raw["time_s"], int | float):
        return None
    fields = {name: raw[name] for name in raw if name not in COMMON_FIELDS}
    return LogLine(str(raw["vm"]), raw["time_s"] * MS_PER_S, str(raw["event"]), fields)
