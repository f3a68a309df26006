"""Log lines: short sentences with a fixed prefix for each part."""

import sys

import msgspec
import structlog


def render_json(logger, name, event_dict):
    """Encode one log line as JSON."""
    return msgspec.json.encode(event_dict).decode()


class BufferedLines:
    """Collects lines; ``flush`` writes them at once.

    A write for each line would cost a system call within a request.
    """

    __slots__ = ("_lines", "_file")

    def __init__(self, file):
        self._lines = []
        self._file = file

    def msg(self, line):
        """Keep one line."""
        self._lines.append(line)

    debug = info = warning = error = critical = msg

    def flush(self):
        """Write the lines kept so far."""
        if not self._lines:
            return
        text = "\n".join(self._lines) + "\n"
        self._lines.clear()
        self._file.write(text)
        self._file.flush()


def make_logs(log_format, vm_id, file=None):
    """Return (bind, flush): a function from part to logger, and the flusher."""
    lines = BufferedLines(file or sys.stdout)
    renderer = render_json
    if log_format == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=False)
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

    def bind(part):
        return logger.bind(part=part, vm=vm_id)

    return bind, lines.flush
