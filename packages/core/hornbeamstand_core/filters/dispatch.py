"""Sends a call to the target for which it holds a permit."""

from result import Err, Ok

from ..messages import BROKEN_RESPONSE, Answer, Refusal, Release, Send, SendFailure
from .forwarding import failure_refusal


def dispatch(call):
    """Send the request to the target and release the permit, also after an error."""
    permit = call.permit
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
