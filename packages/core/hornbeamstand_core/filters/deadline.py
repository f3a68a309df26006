"""Sets the time by which a call must be answered."""

from result import Err

from ..messages import Refusal
from .margins import keep_margin


def deadline(next_handler):
    """Set the deadline to the caller's, or by default to the service's.

    The service's maximum limits it. The call ends a margin before it, so that the
    answer is in time. A call without time left is refused.
    """

    def handle(call):
        requested_ms = call.request.deadline_ms
        if requested_ms is None:
            requested_ms = call.service.deadline_ms
        if requested_ms <= 0:
            return Err(Refusal("deadline passed", status=504, step="deadline"))
        call.limit_ms = min(requested_ms, call.service.deadline_max_ms)
        call.limit_at_ms = call.request.arrived_at_ms + call.limit_ms
        call.deadline_at_ms = call.limit_at_ms
        keep_margin(call, call.request.answer_margin_ms)
        return (yield from next_handler(call))

    return handle
