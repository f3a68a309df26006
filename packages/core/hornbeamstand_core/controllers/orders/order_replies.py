"""Replies to the requests that wait for the order book."""

from ...balancer_messages import DeferredReply
from ...messages import NOT_RUN, OUTCOME_UNKNOWN, Refusal
from ...order_messages import OrderCompleted


def refuse(message, reason, certainty, status=503):
    """Return the reply that refuses a ReserveOrder."""
    refusal = Refusal(reason, certainty, status, "orders", message.key)
    return DeferredReply(message.request_id, refusal)


def refuse_moving(message):
    """Return the reply to a ReserveOrder whose key has another primary by now."""
    certainty = NOT_RUN if message.is_first_attempt else OUTCOME_UNKNOWN
    return refuse(message, "home is moving", certainty)


def reply_completed(waiters, outcome):
    """Return the replies that end ReserveOrder messages with an order's outcome."""
    completed = OrderCompleted(outcome)
    return [DeferredReply(waiter.request_id, completed) for waiter in waiters]
