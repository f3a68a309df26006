"""Sends a call again when that is safe and the budget allows."""

from ..messages import CANCELLED, NOT_RUN, AskRetry


def is_retryable(call, refusal):
    """Tell whether a failed dispatch may be repeated."""
    if refusal.reason == CANCELLED:
        return False
    return call.is_idempotent or refusal.certainty == NOT_RUN


def retry(next_handler):
    """Repeat a failed dispatch on another target within the retry budget.

    The first refusal that is not repeated is the call's outcome. An earlier
    attempt of unknown outcome is never hidden by a later "not run".
    """

    def handle(call):
        n_attempts_max = call.service.retry.n_attempts_max
        worst = None
        while True:
            n_before = call.n_dispatches + call.n_forwards
            outcome = yield from next_handler(call)
            if outcome.is_ok():
                return outcome
            refusal = outcome.err_value
            if refusal.certainty != NOT_RUN:
                worst = outcome
            n_sent = call.n_dispatches + call.n_forwards
            if n_sent == n_before or n_sent >= n_attempts_max:
                return worst or outcome
            if not is_retryable(call, refusal):
                return worst or outcome
            is_allowed = yield AskRetry(call.request.service_name)
            if not is_allowed:
                return worst or outcome

    return handle
