"""Forwards a call to another entry VM and returns its outcome."""

from result import Err, Ok

from ..messages import (
    NOT_RUN,
    OUTCOME_UNKNOWN,
    TIMED_OUT,
    Answer,
    Forward,
    Refusal,
    SendFailure,
)


def failure_refusal(failure, step):
    """Return the refusal for a failed exchange.

    The refusal is NOT_RUN only if the request cannot have run.
    """
    certainty = OUTCOME_UNKNOWN if failure.may_have_run else NOT_RUN
    status = 504 if failure.kind == TIMED_OUT else 502
    return Refusal(failure.kind, certainty, status, step, failure.peer)


def forward(call, peer_id, is_recorded=False):
    """Forward the call to a peer; return the peer's answer or refusal.

    ``is_recorded`` tells the peer not to record an order again.
    """
    call.n_forwards += 1
    reply = yield Forward(peer_id, call.deadline_at_ms, call.is_idempotent, is_recorded)
    if isinstance(reply, SendFailure):
        return Err(failure_refusal(reply, "forward"))
    if reply.refusal is not None:
        return Err(reply.refusal)
    return Ok(Answer(reply.status, reply.payload, target_id=reply.target_id))
