"""Loggers of structlog, without the parts of it that the programs do not use.

The package imports asyncio and, if it is installed, a library for coloured consoles.
"""


def make_logger_class():
    """Return a class of loggers whose methods are the levels; DEBUG is left out."""
    base = load_base_class()

    class LineLogger(base):
        """Runs the processors for each line of the level INFO and above."""

        def debug(self, event, **fields):
            """Leave out a line of the level DEBUG."""

        def info(self, event, **fields):
            """Log a line of the level INFO."""
            return self._proxy_to_logger("info", event, **fields)

        def warning(self, event, **fields):
            """Log a line of the level WARNING."""
            return self._proxy_to_logger("warning", event, **fields)

        def error(self, event, **fields):
            """Log a line of the level ERROR."""
            return self._proxy_to_logger("error", event, **fields)

    return LineLogger


def load_base_class():
    """Return the class from which structlog's loggers derive.

    Its module alone is loaded, if the entry point has made the package a late module.
    """
    try:
        from structlog._base import BoundLoggerBase
    except ModuleNotFoundError:
        from structlog import BoundLoggerBase
    return BoundLoggerBase
