"""What a refusal may still promise after earlier sends of its call."""

from ..messages import NOT_RUN, OUTCOME_UNKNOWN, Refusal


def weaken_if_may_have_run(call, refusal):
    """Replace NOT_RUN by OUTCOME_UNKNOWN and 502 if an earlier send may have run."""
    if call.n_may_have_run == 0 or refusal.certainty != NOT_RUN:
        return refusal
    return Refusal(refusal.reason, OUTCOME_UNKNOWN, 502, refusal.step, refusal.peer)
