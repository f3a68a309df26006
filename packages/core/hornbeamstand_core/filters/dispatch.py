"""Sends a call to the target for which it holds a permit."""

from result import Err, Ok

from ..messages import (
    BROKEN_RESPONSE,
    CANCELLED,
    Answer,
    Refusal,
    Release,
    Send,
    SendFailure,
)
from .forwarding import failure_refusal
from .margins import late_refusal, may_end_in_time


def dispatch(call):
    """Send the request to the target and release the permit, also after an error.

    A call without the time for its remaining steps is refused instead.
    """
    permit = call.permit
    granted_at_ms = permit.granted_at_ms
    if not call.may_have_run and not may_end_in_time(call, granted_at_ms):
        call.permit = None
        yield Release(permit, SendFailure(CANCELLED, False, permit.target_id))
        return Err(late_refusal(call, granted_at_ms, "admit", permit.target_id))
    call.n_dispatches += 1
    call.tried_target_ids += (permit.target_id,)
    try:
        reply = yield Send(permit, call.deadline_at_ms, call.is_idempotent)
    except Exception:
        yield Release(permit, SendFailure(BROKEN_RESPONSE, True, permit.target_id))
        raise
    yield Release(permit, reply)
    call.permit = None
    if isinstance(reply, SendFailure):
        return Err(failure_refusal(reply, "dispatch"))
    if reply.did_not_run:
        return Err(Refusal("target shed it", step="dispatch", peer=permit.target_id))
    return Ok(Answer(reply.status, reply.payload, permit.target_id))
