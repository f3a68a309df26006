"""A model of a target: slots, service times and injected faults."""

from collections import deque

from hornbeamstand_core.messages import (
    BROKEN_RESPONSE,
    SendFailure,
    TargetReport,
    UpstreamResponse,
)

# Factor on the service times of a cold target that runs more requests than its limit.
COLD_OVERLOAD_FACTOR = 10.0
# Time until a request ends that the target doesn't run.
FAIL_FAST_MS = 1.0
# Factor on the service times of a cold target that stays within its limit.
COLD_FACTOR = 1.5


class TargetRequest:
    """One request that a target has received; ``on_end`` is called with its result."""

    __slots__ = ("service_ms", "on_end", "is_cancelled", "is_started", "is_ended")

    def __init__(self, service_ms, on_end):
        self.service_ms = service_ms
        self.on_end = on_end
        self.is_cancelled = False
        self.is_started = False
        self.is_ended = False


class TargetModel:
    """One target, whose attributes a trace may set.

    ``factor`` multiplies the service times, and a noisy neighbour takes ``n_stolen`` of
    the slots. ``mode`` says what happens to a request: ``ok`` runs it, ``fail`` answers
    500, ``shed`` answers 503 without running it, and ``gone`` breaks the connection.

    After a restart the target is cold until ``n_warm_up_requests`` more requests have
    run. While it is cold, it slows down if it runs more than ``cold_limit`` requests at
    once. The limit grows by one with every fifth request.

    ``n_overrun`` counts the requests beyond the slots. ``n_cold_overrun`` counts those
    beyond ``cold_limit`` that came after the first report since the restart: before it,
    no VM can know of the restart.
    """

    __slots__ = (
        "world",
        "target_id",
        "slots",
        "factor",
        "n_stolen",
        "mode",
        "state",
        "start_id",
        "cold_limit",
        "n_warm_up_requests",
        "n_running",
        "n_overrun",
        "n_cold_overrun",
        "has_reported_start",
        "n_received",
        "last_received_at_ms",
        "_queue",
    )

    def __init__(self, world, target_id, slots):
        self.world = world
        self.target_id = target_id
        self.slots = slots
        self.factor = 1.0
        self.n_stolen = 0
        self.mode = "ok"
        self.state = "ready"
        self.start_id = f"{target_id}-0"
        self.cold_limit = 1
        self.n_warm_up_requests = 0
        self.n_running = 0
        self.n_overrun = 0
        self.n_cold_overrun = 0
        self.has_reported_start = True
        self.n_received = 0
        self.last_received_at_ms = float("-inf")
        self._queue = deque()

    def restart(self, n_warm_up_requests, is_announced=True):
        """Become cold, with a new start id if the restart is announced."""
        self.n_warm_up_requests = n_warm_up_requests
        self.has_reported_start = False
        number = int(self.start_id.rpartition("-")[2]) + 1
        if is_announced:
            self.start_id = f"{self.target_id}-{number}"

    def receive(self, service_ms, on_end):
        """Receive a request and return its TargetRequest, which ``cancel`` takes.

        ``on_end`` is called with an UpstreamResponse or a SendFailure.
        """
        self.n_received += 1
        self.last_received_at_ms = self.world.now_ms
        request = TargetRequest(service_ms, on_end)
        if self.mode == "fail":
            self._end_later(
                FAIL_FAST_MS, request, UpstreamResponse(500, None, self.report())
            )
            return request
        if self.mode == "shed":
            reply = UpstreamResponse(503, None, self.report(), did_not_run=True)
            self._end_later(FAIL_FAST_MS, request, reply)
            return request
        if self.mode == "gone":
            failure = SendFailure(BROKEN_RESPONSE, True, self.target_id)
            self._end_later(FAIL_FAST_MS, request, failure)
            return request
        self._note_overrun()
        self._queue.append(request)
        self._start_next()
        return request

    def _note_overrun(self):
        n_in_flight = self.n_running + len(self._queue) + 1
        if n_in_flight > self.slots:
            self.n_overrun += 1
        is_cold = self.n_warm_up_requests > 0 and self.has_reported_start
        if is_cold and n_in_flight > self.cold_limit:
            self.n_cold_overrun += 1

    def _end_later(self, delay_ms, request, reply):
        def end():
            if not request.is_cancelled:
                request.on_end(reply)

        self.world.call_later(delay_ms, end)

    def _start_next(self):
        while self._queue and self.n_running < max(1, self.slots - self.n_stolen):
            request = self._queue.popleft()
            if not request.is_cancelled:
                self._start(request)

    def _start(self, request):
        self.n_running += 1
        request.is_started = True
        self.world.call_later(
            request.service_ms * self._slowdown(), lambda: self._end(request)
        )

    def _slowdown(self):
        if self.n_warm_up_requests <= 0:
            return self.factor
        if self.n_running > self.cold_limit:
            return self.factor * COLD_OVERLOAD_FACTOR
        return self.factor * COLD_FACTOR

    def cancel(self, request):
        """Stop a request whose connection was closed."""
        request.is_cancelled = True
        if request.is_started and not request.is_ended:
            self._end(request)

    def _end(self, request):
        if request.is_ended:
            return
        request.is_ended = True
        self.n_running -= 1
        if self.n_warm_up_requests > 0:
            self.n_warm_up_requests -= 1
            if self.n_warm_up_requests % 5 == 0:
                self.cold_limit += 1
        if not request.is_cancelled:
            request.on_end(
                UpstreamResponse(200, None, self.report(), target_id=self.target_id)
            )
        self._start_next()

    def report(self):
        """Return the target's report on itself, which also tells of a restart."""
        n_in_flight = self.n_running + len(self._queue)
        self.has_reported_start = True
        return TargetReport(self.start_id, self.state, n_in_flight)
