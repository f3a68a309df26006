"""Retries a call when that is safe and the retry budget allows it."""

from ..messages import CANCELLED, NOT_RUN, STATUS_ERROR, SpendRetry


def is_failed(outcome):
    """Return whether an outcome is a refusal or a target's error response."""
    return outcome.is_err() or outcome.ok_value.status >= STATUS_ERROR


def is_retryable(call, outcome):
    """Return whether a failed call may be sent again."""
    if outcome.is_ok():
        return call.is_idempotent
    refusal = outcome.err_value
    if refusal.reason == CANCELLED:
        return False
    return call.is_idempotent or refusal.certainty == NOT_RUN


def may_have_run(outcome):
    """Return whether an outcome leaves it possible that the request ran."""
    return outcome.is_ok() or outcome.err_value.certainty != NOT_RUN


def retry(next_handler):
    """Retry a failed call on another target within the retry budget.

    If an earlier attempt may have run and the last one did not, the outcome of
    the earlier one is returned: NOT_RUN would be wrong for the call as a whole.
    """

    def handle(call):
        n_attempts_max = call.service.retry.n_attempts_max
        kept_outcome = None
        while True:
            n_sent_before = call.n_dispatches + call.n_forwards
            outcome = yield from next_handler(call)
            if not is_failed(outcome):
                return outcome
            if may_have_run(outcome):
                kept_outcome = outcome
            n_sent = call.n_dispatches + call.n_forwards
            if n_sent == n_sent_before or n_sent >= n_attempts_max:
                return kept_outcome or outcome
            if not is_retryable(call, outcome):
                return kept_outcome or outcome
            is_allowed = yield SpendRetry(call.request.service_name)
            if not is_allowed:
                return kept_outcome or outcome

    return handle
