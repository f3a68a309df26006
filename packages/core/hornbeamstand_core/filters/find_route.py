"""Finds a request's route and sets the request's time limits."""

from result import Err

from ..edge_messages import FindRoute
from ..key_messages import CheckKey
from ..messages import Refusal
from .margins import keep_margin, late_refusal, may_end_in_time


def find_route(next_handler):
    """Look up the policy of a request, or check that which a relaying peer sent along.

    The policy sets the call's time limits. A call without the time for its
    remaining steps is refused.
    """

    def handle(call):
        request = call.request
        now_ms = request.arrived_at_ms
        if call.policy is None:
            routed = yield FindRoute(
                request.request_id, request.host, request.path, request.key
            )
            if isinstance(routed, Refusal):
                return Err(routed)
            call.policy = routed.policy
            call.relay_to = routed.relay_to
            now_ms = routed.found_at_ms
        else:
            policy = yield CheckKey(
                request.request_id,
                request.host,
                request.path,
                request.key,
                call.policy,
            )
            if isinstance(policy, Refusal):
                return Err(policy)
            call.policy = policy
        set_times(call)
        if not may_end_in_time(call, now_ms):
            return Err(late_refusal(call, now_ms, "route", request.host))
        return (yield from next_handler(call))

    return handle


def set_times(call):
    """Set the times of the call's deadline and objective on the local clock."""
    request = call.request
    limit_ms = call.policy.timeout_ms
    if request.deadline_ms is not None:
        limit_ms = min(limit_ms, request.deadline_ms)
    call.limit_ms = limit_ms
    call.limit_at_ms = request.arrived_at_ms + limit_ms - request.waited_ms
    call.deadline_at_ms = call.limit_at_ms
    keep_margin(call, request.answer_margin_ms)
    call.objective_ms = call.policy.objective_ms
    if not call.is_relayed:
        call.objective_ms = min(call.objective_ms, limit_ms)
    call.objective_at_ms = request.arrived_at_ms + call.objective_ms
