"""Acquires a slot on a target, or forwards the call to a peer that has one."""

from result import Err

from ..messages import Acquire, ForwardTo, Refusal
from .forwarding import forward


def choose(next_handler):
    """Acquire a permit before the next handler runs.

    A call is forwarded to a peer at most once, counting forwards by earlier VMs. It is
    marked as recorded, since the filter ``orders`` has recorded it if it is an order.
    """

    def handle(call):
        request = call.request
        reply = yield Acquire(
            request.service_name,
            request.request_id,
            call.deadline_at_ms,
            call.tried_target_ids,
            may_forward=request.n_hops + call.n_forwards == 0,
            is_retry=call.n_dispatches > 0,
        )
        if isinstance(reply, Refusal):
            return Err(reply)
        if isinstance(reply, ForwardTo):
            return (yield from forward(call, reply.peer_id, is_recorded=True))
        call.permit = reply
        return (yield from next_handler(call))

    return handle
