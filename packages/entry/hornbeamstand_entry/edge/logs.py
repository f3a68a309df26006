"""Log lines of an edge process, limited in rate and memory; logging never blocks.

A greenlet writes the buffered lines to standard output. Lines that exceed the rate, or
that the reader does not take in time, are dropped and counted. Warnings may exceed the
rate of lines up to a second limit.

Lines are rendered when they are written. The process handles nothing else while the
library that renders them is loaded. So it is loaded in the start, before callers are
served, and only the part of it that these lines need.
"""

import time
from contextlib import suppress

import gevent
import msgspec
from gevent.event import Event
from hornbeamstand_core.records import Record

from ..life.output import make_writer
from ..line_loggers import make_logger_class
from ..tasks.failures import report_failures_to, spawn_supervised

# Maximum number of lines that are buffered between two flushes.
N_BUFFERED_LINES_MAX = 4000
# Maximum rate of lines.
LINES_PER_S_MAX = 600
# Maximum additional rate of warnings, which are failures and state changes.
EXTRA_WARNINGS_PER_S_MAX = 200
# Minimum interval at which buffered log lines are written. Without lines, nothing is.
FLUSH_INTERVAL_MS = 100.0
# Delay from the start until the first flush, so that the process serves before it
# writes lines. A process that ends earlier flushes at its end.
FIRST_FLUSH_DELAY_MS = 800.0
MS_PER_S = 1000.0
# Maximum size of one write.
WRITE_MAX_BYTES = 65536
# Errors of an import while the process has too few descriptors or too little memory.
LOAD_ERRORS = (ImportError, OSError, MemoryError)


class LogLine(Record):
    """One line that is not rendered yet; ``time_s`` is its wall-clock time."""

    __slots__ = ("time_s", "event", "fields")

    def __init__(self, time_s, event, fields):
        self.time_s = time_s
        self.event = event
        self.fields = fields


def render_json(logger, name, event_dict):
    """Encode one log line as JSON (a structlog processor)."""
    return msgspec.json.encode(event_dict).decode()


class Renderer:
    """Renders the log lines of one VM."""

    __slots__ = ("vm_id", "_logger", "_rendered")

    def __init__(self, vm_id):
        self.vm_id = vm_id
        self._logger = PlainLogger(vm_id, self)
        self._rendered = []

    def render(self, line):
        """Return a LogLine as JSON text."""
        self._logger.info(line.event, time_s=line.time_s, **line.fields)
        return self._rendered.pop()

    def info(self, text):
        """Store a rendered line (the end of structlog's chain)."""
        self._rendered.append(text)

    def load_library(self):
        """Render with the library from now on, if it can be loaded."""
        with suppress(*LOAD_ERRORS):
            self._logger = self._make_logger()

    def _make_logger(self):
        return make_logger_class()(self, [render_json], {"vm": self.vm_id})


class PlainLogger:
    """Renders the lines of one VM while the library for that is not loaded.

    Parameters
    ----------
    vm_id : str
        The VM.
    target : Renderer
        Takes the rendered lines.
    """

    __slots__ = ("vm_id", "target")

    def __init__(self, vm_id, target):
        self.vm_id = vm_id
        self.target = target

    def info(self, event, **fields):
        """Render one line."""
        line = {"vm": self.vm_id, **fields, "event": event}
        self.target.info(render_json(self, "info", line))


class LogBuffer:
    """Buffers log lines and writes them to a descriptor without blocking.

    Parameters
    ----------
    descriptor : int
        Descriptor to write to.
    clock : Clock
        Clock of the rate limits.
    render : callable
        Returns the text of a buffered line.
    """

    __slots__ = (
        "clock",
        "render",
        "n_dropped",
        "_write_bytes",
        "_lines",
        "_unwritten",
        "_second",
        "_n_this_second",
        "_n_reported_dropped",
        "_was_called",
    )

    def __init__(self, descriptor, clock, render=str):
        self.clock = clock
        self.render = render
        self.n_dropped = 0
        self._write_bytes = make_writer(descriptor)
        self._lines = []
        self._unwritten = b""
        self._second = 0
        self._n_this_second = 0
        self._n_reported_dropped = 0
        # Set when a line comes, also one that is dropped.
        self._was_called = Event()

    def info(self, line):
        """Buffer a line, unless the rate of lines is exceeded."""
        self._append(line, LINES_PER_S_MAX)

    def warning(self, line):
        """Buffer a warning, unless the rate of lines and warnings is exceeded."""
        self._append(line, LINES_PER_S_MAX + EXTRA_WARNINGS_PER_S_MAX)

    def flush_last(self, text):
        """Write the buffered lines and a last text, which no limit leaves out."""
        try:
            self.flush()
        finally:
            self._unwritten += text + b"\n"
            self._write()

    def wait_for_lines(self):
        """Wait until there is something to write."""
        if not self._lines and not self._unwritten:
            self._was_called.clear()
            if self.n_dropped == self._n_reported_dropped:
                self._was_called.wait()

    def _append(self, line, per_s_max):
        self._was_called.set()
        second = int(self.clock.now_ms() / MS_PER_S)
        if second != self._second:
            self._second = second
            self._n_this_second = 0
        if self._n_this_second >= per_s_max or len(self._lines) >= N_BUFFERED_LINES_MAX:
            self.n_dropped += 1
            return
        self._n_this_second += 1
        self._lines.append(line)

    def flush(self):
        """Render the buffered lines and write as much as possible without blocking."""
        lines, self._lines = self._lines, []
        texts = [text for text in map(self._try_render, lines) if text is not None]
        if self.n_dropped > self._n_reported_dropped:
            n_unreported = self.n_dropped - self._n_reported_dropped
            self._n_reported_dropped = self.n_dropped
            texts.append(f'{{"event":"log: lines left out","n_lines":{n_unreported}}}')
        if texts:
            self._unwritten += ("\n".join(texts) + "\n").encode()
        self._write()

    def _write(self):
        while self._unwritten:
            try:
                n_written = self._write_bytes(self._unwritten[:WRITE_MAX_BYTES])
            except BlockingIOError:
                self._drop_excess()
                return
            except OSError:
                # The reader is gone: the lines are lost and the process continues.
                self.n_dropped += self._unwritten.count(b"\n")
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[n_written:]

    def _try_render(self, line):
        """Return the text of a line; one that can't be rendered counts as dropped."""
        try:
            return self.render(line)
        except Exception:
            self.n_dropped += 1
            return None

    def _drop_excess(self):
        # Drops the oldest lines. The limit is 100 bytes for each line that may be
        # buffered.
        excess = len(self._unwritten) - N_BUFFERED_LINES_MAX * 100
        if excess <= 0:
            return
        cut = self._unwritten.find(b"\n", excess) + 1
        self.n_dropped += self._unwritten[:cut].count(b"\n")
        self._unwritten = self._unwritten[cut:]


class EdgeLog:
    """The log of one process, with a line for each decision and state change."""

    __slots__ = ("vm_id", "lines", "renderer")

    @classmethod
    def from_config(cls, vm_id, clock, descriptor=1):
        """Build a log that writes to a descriptor."""
        self = cls()
        self.vm_id = vm_id
        self.renderer = Renderer(vm_id)
        self.lines = LogBuffer(descriptor, clock, self.renderer.render)
        return self

    def info(self, event, **fields):
        """Log one line."""
        self.lines.info(LogLine(time.time(), event, fields))

    def warning(self, event, **fields):
        """Log one warning."""
        self.lines.warning(LogLine(time.time(), event, fields))

    def decision(self, decision):
        """Log a decision of the controllers."""
        self.info(
            f"route: {decision.action}",
            service=decision.service_name,
            request=decision.request_id,
            target=decision.to,
            detail=decision.detail,
        )

    def state_change(self, change):
        """Log a StateChange as a warning."""
        self.warning(
            f"{change.component}: {change.event}",
            subject=change.subject,
            detail=change.detail,
        )

    def answer(self, call, outcome, now_ms):
        """Log the outcome of a call."""
        service = call.policy.service_name if call.policy else ""
        fields = {
            "request": call.request.request_id,
            "service": service,
            "n_sent": call.n_sent,
            "elapsed_ms": int(now_ms - call.request.arrived_at_ms),
        }
        if call.relay_to is not None:
            fields["peer"] = call.relay_to
        if outcome.is_ok():
            answer = outcome.ok_value
            self.info(
                "answer: sent",
                status=answer.status,
                target=answer.target_id,
                **fields,
            )
            return
        self._refused(outcome.err_value, at=outcome.err_value.peer, **fields)

    def connections_held_back(self, server):
        """Log that a server leaves connections in its listen queue."""
        self.warning(
            "process: connections held back",
            port=server.server_port,
            n_connections=server.n_connections,
            n_connections_max=server.n_connections_max,
        )

    def memory_short(self, relief):
        """Log that callers are ended or refused because memory is short."""
        self.warning("process: memory short", **relief.describe())

    def response_read(self, report):
        """Log what ResponseReads reports of a response of a target or a peer."""
        self.warning(report.EVENT, **report.describe())

    def refused_early(self, request, refusal):
        """Log a request that was refused before its route was looked up."""
        self._refused(refusal, request=request.request_id)

    def _refused(self, refusal, **fields):
        self.warning(
            "answer: refused",
            status=refusal.status,
            certainty=refusal.certainty,
            reason=refusal.reason,
            step=refusal.step,
            **fields,
        )

    def unexpected_error(self, name, error, ends_process):
        """Log an unexpected error; write all lines if it ends the process."""
        if not ends_process:
            self.warning("process: unexpected error", part=name, error=repr(error))
            return
        # Rendered without the library, which may find no memory to load.
        fields = {
            "vm": self.vm_id,
            "time_s": time.time(),
            "task": name,
            "error": repr(error),
            "event": "process: task failed",
        }
        self.lines.flush_last(msgspec.json.encode(fields))

    def start(self, stack):
        """Start to write lines as they come; the exit stack writes the last ones."""
        report_failures_to(self.unexpected_error, stack)
        stack.callback(self.lines.flush)
        self.renderer.load_library()
        writer = spawn_supervised("log-writer", self._write_forever)
        stack.callback(writer.kill, block=False)

    def _write_forever(self):
        gevent.sleep(FIRST_FLUSH_DELAY_MS / MS_PER_S)
        while True:
            self.lines.flush()
            gevent.sleep(FLUSH_INTERVAL_MS / MS_PER_S)
            self.lines.wait_for_lines()
