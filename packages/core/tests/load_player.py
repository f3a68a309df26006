"""Test helper: plays a load on the controllers of one service, on a virtual clock."""

from heapq import heappop, heappush
from itertools import count

from tests.edge_parts import ServiceHarness, make_entry

from hornbeamstand_core.balancer_messages import DeferredReply
from hornbeamstand_core.edge_messages import LoadReport
from hornbeamstand_core.messages import Permit

# Share of the time left to its deadline after which a refused caller returns at the
# latest.
RETURN_SHARE_MAX = 1 / 3


class Caller:
    """One request: its kind, and when it was answered or last refused."""

    def __init__(
        self, at_ms, organisation="", priority=1, objective_ms=400.0, work_ms=None
    ):
        self.at_ms = at_ms
        self.organisation = organisation
        self.priority = priority
        self.objective_ms = objective_ms
        self.deadline_at_ms = at_ms + 4 * objective_ms
        self.work_ms = work_ms
        self.answered_at_ms = None
        self.refused_at_ms = []

    @property
    def is_in_time(self):
        """Whether the request was answered within its latency objective."""
        done_ms = self.answered_at_ms
        return done_ms is not None and done_ms - self.at_ms <= self.objective_ms


def play(callers, n_targets, work_ms, n_slots=3, slowdown=None, n_returns_max=1):
    """Let callers send their requests, and return once all have ended.

    ``slowdown(target_id, now_ms)`` is the current slowdown of a target. A refused
    caller returns ``n_returns_max`` times, when it was told to. Returns the harness.
    """
    names = [f"t{i + 1}" for i in range(n_targets)]
    harness = ServiceHarness([make_entry(name, n_slots=n_slots) for name in names])
    slowdown = slowdown or (lambda target_id, now_ms: 1.0)
    serial, events, by_id = count(), [], {}

    def at(at_ms, action):
        heappush(events, (at_ms, next(serial), action))

    def arrive(caller):
        request_id = f"r{next(serial)}"
        by_id[request_id] = caller
        message = harness.make_acquire(
            request_id,
            n_probe_rounds=0,
            priority=caller.priority,
            objective_ms=caller.at_ms + caller.objective_ms - harness.now_ms,
            deadline_ms=caller.deadline_at_ms - harness.now_ms,
        )
        message.organisation = caller.organisation
        acquire(message)

    def acquire(message):
        perform(harness.service.acquire(message, harness.now_ms), message)

    def perform(messages, message=None):
        for out in messages:
            if not isinstance(out, DeferredReply):
                continue
            caller = by_id[out.request_id]
            if isinstance(out.reply, Permit):
                start(caller, out.reply)
            elif hasattr(out.reply, "probes"):
                for probe in out.reply.probes:
                    report(probe.target_id)
                message.n_probe_rounds += 1
                acquire(message)
            else:
                refuse(caller, out.reply)

    def start(caller, permit):
        factor = slowdown(permit.target_id, harness.now_ms)
        if len(harness.service.targets[permit.target_id].started_at_ms) > 0.8 * n_slots:
            factor *= 1.7
        at(
            harness.now_ms + factor * (caller.work_ms or work_ms),
            lambda: end(caller, permit),
        )

    def end(caller, permit):
        caller.answered_at_ms = harness.now_ms
        n_running = len(harness.service.targets[permit.target_id].started_at_ms)
        speed = slowdown(permit.target_id, harness.now_ms)
        load = LoadReport(n_running, 0, n_slots, speed)
        perform(harness.release(permit, report=load))

    def refuse(caller, refusal):
        caller.refused_at_ms.append(harness.now_ms)
        left_ms = caller.deadline_at_ms - harness.now_ms
        if len(caller.refused_at_ms) <= n_returns_max:
            delay_ms = min(refusal.retry_after_ms, RETURN_SHARE_MAX * left_ms)
            at(harness.now_ms + delay_ms, lambda: arrive(caller))

    def report(target_id):
        running = len(harness.service.targets[target_id].started_at_ms)
        speed = slowdown(target_id, harness.now_ms)
        perform(harness.report_load(target_id, speed, running))

    def tick():
        perform(harness.service.drain(harness.now_ms))
        if harness.now_ms < last_ms:
            for target_id in names if harness.service.waiting else ():
                report(target_id)
            at(harness.now_ms + 20.0, tick)

    last_ms = max(caller.deadline_at_ms for caller in callers)
    for caller in callers:
        at(caller.at_ms, lambda caller=caller: arrive(caller))
    at(0.0, tick)
    while events:
        harness.now_ms, _, action = heappop(events)
        action()
    return harness


def steady(rate_per_s, end_ms, **kind):
    """Return callers of one kind that come at a steady rate."""
    interval_ms = 1000.0 / rate_per_s
    return [Caller(i * interval_ms, **kind) for i in range(int(end_ms / interval_ms))]


def share_in_time(callers):
    """Return the share of callers that were answered within their objective."""
    return sum(caller.is_in_time for caller in callers) / len(callers)


def share_served(callers):
    """Return the share of callers that were answered at all."""
    return sum(c.answered_at_ms is not None for c in callers) / len(callers)
