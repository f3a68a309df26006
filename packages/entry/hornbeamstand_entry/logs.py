"""Structured logs, buffered and written to one file."""

import sys

import msgspec
import structlog


def render_json(logger, name, event_dict):
    """Return a log line as JSON text."""
    return msgspec.json.encode(event_dict).decode()


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
    renderer = render_json
    if log_format == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    # The level 20 is INFO.
    logger = structlog.wrap_logger(
        lines,
        processors=[
            structlog.processors.TimeStamper(fmt=None, key="time_s"),
            structlog.processors.add_log_level,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(20),
        cache_logger_on_first_use=True,
    )
    return logger.bind(vm=vm_id), lines.flush
