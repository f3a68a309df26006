"""Runs an order at most once, also if its caller resends it.

An order is a request with an idempotency key that may run only once.
"""

from result import Err, Ok

from ..messages import NOT_RUN, OUTCOME_UNKNOWN, Answer, Refusal
from ..order_messages import OrderCompleted, OrderRedirect, RecordOutcome, ReserveOrder
from .forwarding import forward


def to_result(outcome):
    """Wrap an Answer as Ok and a Refusal as Err."""
    return Ok(outcome) if isinstance(outcome, Answer) else Err(outcome)


def weaken_if_resent(request, outcome):
    """Replace NOT_RUN by OUTCOME_UNKNOWN if a resend did not reach the primary.

    An earlier send of the same key may have run, which only the primary knows.
    """
    if outcome.is_ok() or request.is_first_attempt:
        return outcome
    refusal = outcome.err_value
    if refusal.certainty != NOT_RUN or refusal.step != "forward":
        return outcome
    weakened = Refusal(
        refusal.reason, OUTCOME_UNKNOWN, refusal.status, refusal.step, refusal.peer
    )
    return Err(weakened)


def orders(next_handler):
    """Record an order at its key's primary before the next handler runs it.

    A VM that is not the primary forwards the order to it. A resend of a completed order
    gets the recorded outcome.
    """

    def handle(call):
        request = call.request
        key = request.idempotency_key
        if call.is_idempotent or key is None or request.is_recorded:
            return (yield from next_handler(call))
        reply = yield ReserveOrder(
            request.service_name,
            key,
            request.request_id,
            call.deadline_at_ms,
            request.n_hops,
            request.is_first_attempt,
        )
        if isinstance(reply, OrderRedirect):
            outcome = yield from forward(call, reply.peer_id)
            return weaken_if_resent(request, outcome)
        if isinstance(reply, OrderCompleted):
            return to_result(reply.outcome)
        if isinstance(reply, Refusal):
            return Err(reply)
        outcome = yield from next_handler(call)
        stored_outcome = outcome.ok_value if outcome.is_ok() else outcome.err_value
        yield RecordOutcome(request.service_name, key, stored_outcome, reply.attempt)
        return outcome

    return handle
