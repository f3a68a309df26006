"""Structured logs, buffered and written to one file."""

import sys
import time

import msgspec

from .line_loggers import make_logger_class


def render_json(logger, name, event_dict):
    """Return a log line as JSON text."""
    return msgspec.json.encode(event_dict).decode()


def add_time_and_level(logger, name, event_dict):
    """Add the wall-clock time and the level to a log line."""
    return {**event_dict, "time_s": time.time(), "level": name}


class BufferedLines:
    """Buffers log lines until ``flush`` writes them all.

    Writing each line at once would cost one system call per line within a request.
    """

    __slots__ = ("_lines", "_file")

    def __init__(self, file):
        self._lines = []
        self._file = file

    def msg(self, line):
        """Add a line to the buffer.

        structlog calls the method with the name of the line's level.
        """
        self._lines.append(line)

    debug = info = warning = error = critical = msg

    def flush(self):
        """Write the buffered lines to the file."""
        if not self._lines:
            return
        text = "\n".join(self._lines) + "\n"
        self._lines.clear()
        self._file.write(text)
        self._file.flush()


def make_logs(log_format, vm_id, file=None):
    """Return (logger, flush).

    Each part binds its name to the logger; ``flush`` writes the buffered lines.
    """
    lines = BufferedLines(file or sys.stdout)
    processors = [add_time_and_level, make_renderer(log_format)]
    logger = make_logger_class()(lines, processors, {"vm": vm_id})
    return logger, lines.flush


def make_renderer(log_format):
    """Return the processor that makes a log line of its fields."""
    if log_format != "console":
        return render_json
    # It loads a library for colours too.
    from structlog.dev import ConsoleRenderer

    return ConsoleRenderer(colors=False)
