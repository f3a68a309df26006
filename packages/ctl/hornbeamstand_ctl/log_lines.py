"""Reads the log lines of several VMs.

A log line is one JSON object. Text before the object, such as a time that a log
collector added, is ignored.
"""

from hornbeamstand_core.errors import ConfigError
from hornbeamstand_core.records import Record
from hornbeamstand_wire.json_text import decode_json
from result import Err, Ok

MS_PER_S = 1000.0
# Fields that every log line has. The others depend on its event.
COMMON_FIELDS = frozenset(["vm", "time_s", "event"])


class LogLine(Record):
    """One log line.

    ``at_ms`` is the time by the clock of the VM, in milliseconds since the Unix epoch.
    ``fields`` holds the fields that are not common to all lines.
    """

    __slots__ = ("vm", "at_ms", "event", "fields")

    def __init__(self, vm, at_ms, event, fields):
        self.vm = vm
        self.at_ms = at_ms
        self.event = event
        self.fields = fields

    @property
    def request_id(self):
        """The request id that the caller knows, or "" if the line names no request.

        VMs append "~" and a number to it.
        """
        return str(self.fields.get("request", "")).partition("~")[0]

    def describe(self):
        """Return the fields that are not empty as text."""
        return " ".join(
            f"{name}={value}" for name, value in self.fields.items() if value != ""
        )


class LogFiles(Record):
    """The log lines of all files in order, and the number of other non-empty lines."""

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
            detail = f"cannot be read: {error.strerror}"
            return Err(ConfigError("logs.read", path, detail))
    return Ok(LogFiles(lines, n_unreadable))


def parse_line(text):
    """Return the LogLine that a line of text contains, or None if there is none."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        raw = decode_json(text[start:].strip())
    except ValueError:
        return None
    if not isinstance(raw, dict) or not COMMON_FIELDS <= raw.keys():
        return None
    if not isinstance(raw["time_s"], int | float):
        return None
    fields = {name: raw[name] for name in raw if name not in COMMON_FIELDS}
    return LogLine(str(raw["vm"]), raw["time_s"] * MS_PER_S, str(raw["event"]), fields)
