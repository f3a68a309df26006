"""Log lines of an edge process: bounded in rate and memory, never blocking.

Lines collect in a buffer that a greenlet writes to standard output. What the
reader does not take, or what exceeds the rate, is left out and counted; lines
about failures have a reserve of their own.
"""

import os

import gevent
import msgspec
import structlog

N_BUFFERED_MAX = 4000
LINES_PER_S_MAX = 600
# Lines about failures and beliefs may exceed the rate by this many a second.
URGENT_PER_S_MAX = 200
FLUSH_MS = 100.0
MS_PER_S = 1000.0
WRITE_MAX_BYTES = 65536


def render_json(logger, name, event_dict):
    """Encode one log line as JSON."""
    return msgspec.json.encode(event_dict).decode()


class BoundedLines:
    """Buffer of log lines in front of a descriptor that must not block.

    Parameters
    ----------
    descriptor : int
        Where lines are written; it is set to non-blocking.
    clock : Clock
        Counts lines by the second.
    """

    __slots__ = (
        "descriptor",
        "clock",
        "n_left_out",
        "_lines",
        "_rest",
        "_second",
        "_n_this_second",
        "_n_reported",
    )

    def __init__(self, descriptor, clock):
        self.descriptor = descriptor
        self.clock = clock
        self.n_left_out = 0
        self._lines = []
        self._rest = b""
        self._second = 0
        self._n_this_second = 0
        self._n_reported = 0
        os.set_blocking(descriptor, False)

    def info(self, line):
        """Keep a line if the rate allows."""
        self._keep(line, LINES_PER_S_MAX)

    def warning(self, line):
        """Keep an urgent line, from the reserve if need be."""
        self._keep(line, LINES_PER_S_MAX + URGENT_PER_S_MAX)

    msg = debug = info
    error = critical = warning

    def _keep(self, line, per_s_max):
        second = int(self.clock.now_ms() / MS_PER_S)
        if second != self._second:
            self._second = second
            self._n_this_second = 0
        if self._n_this_second >= per_s_max or len(self._lines) >= N_BUFFERED_MAX:
            self.n_left_out += 1
            return
        self._n_this_second += 1
        self._lines.append(line)

    def flush(self):
        """Write as much as the reader takes now."""
        if self.n_left_out > self._n_reported:
            n_new = self.n_left_out - self._n_reported
            self._n_reported = self.n_left_out
            self._lines.append(f'{{"event":"log: lines left out","n_lines":{n_new}}}')
        if self._lines:
            self._rest += ("\n".join(self._lines) + "\n").encode()
            self._lines.clear()
        while self._rest:
            try:
                n_written = os.write(self.descriptor, self._rest[:WRITE_MAX_BYTES])
            except BlockingIOError:
                self._drop_excess()
                return
            except OSError:
                # Nobody reads any more; the lines are lost, the process goes on.
                self.n_left_out += self._rest.count(b"\n")
                self._rest = b""
                return
            self._rest = self._rest[n_written:]

    def _drop_excess(self):
        excess = len(self._rest) - N_BUFFERED_MAX * 100
        if excess <= 0:
            return
        cut = self._rest.find(b"\n", excess) + 1
        self.n_left_out += self._rest[:cut].count(b"\n")
        self._rest = self._rest[cut:]


class EdgeLog:
    """The log of one process, with a line for each decision and belief."""

    __slots__ = ("lines", "clock", "_logger")

    @classmethod
    def from_config(cls, vm_id, clock, descriptor=1):
        """Build a log that writes to a descriptor."""
        self = cls()
        self.lines = BoundedLines(descriptor, clock)
        self.clock = clock
        self._logger = structlog.wrap_logger(
            self.lines,
            processors=[
                structlog.processors.TimeStamper(fmt=None, key="time_s"),
                render_json,
            ],
            wrapper_class=structlog.make_filtering_bound_logger(20),
            cache_logger_on_first_use=True,
        ).bind(vm=vm_id)
        return self

    def info(self, event, **fields):
        """Write one line."""
        self._logger.info(event, **fields)

    def warning(self, event, **fields):
        """Write one urgent line."""
        self._logger.warning(event, **fields)

    def decision(self, decision):
        """Write a decision of the controllers."""
        self._logger.info(
            f"route: {decision.action}",
            service=decision.service_name,
            request=decision.request_id,
            target=decision.to,
            detail=decision.detail,
        )

    def belief(self, belief):
        """Write a change of what this VM believes."""
        self._logger.warning(
            f"{belief.part}: {belief.event}",
            subject=belief.subject,
            detail=belief.detail,
        )

    def answer(self, call, outcome, now_ms):
        """Write how a call ended."""
        service = call.terms.service_name if call.terms else ""
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
            self._logger.info(
                "answer: sent",
                status=answer.status,
                target=answer.target_id,
                **fields,
            )
            return
        refusal = outcome.err_value
        self._logger.warning(
            "answer: refused",
            status=refusal.status,
            certainty=refusal.certainty,
            reason=refusal.reason,
            step=refusal.step,
            at=refusal.peer,
            **fields,
        )

    def start(self, stack):
        """Write the buffer at intervals; the stack ends it with a last write."""
        stack.callback(self.lines.flush)
        writer = gevent.spawn(self._write_forever)
        stack.callback(writer.kill, block=False)

    def _write_forever(self):
        while True:
            gevent.sleep(FLUSH_MS / MS_PER_S)
            self.lines.flush()
