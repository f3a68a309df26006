"""Counts a request against the quota of its organisation."""

from result import Err

from ..edge_messages import RETRY
from ..messages import NOT_RUN, Refusal
from ..quota_messages import ReturnQuota, SpendQuota
from .attempts import weaken_if_may_have_run


def quota(next_handler):
    """Count a call once, before its first send; refuse it if the quota is used up.

    A call that is sent once more because a peer failed was counted by that peer. A call
    that ends without having run gets its token back.
    """

    def handle(call):
        organisation = call.policy.organisation
        if not organisation or call.first_kind == RETRY:
            return (yield from next_handler(call))
        reply = yield SpendQuota(call.request.request_id, organisation)
        if isinstance(reply, Refusal):
            # A peer that fell silent before it got the call may run it later.
            return Err(weaken_if_may_have_run(call, reply))
        outcome = yield from next_handler(call)
        if has_not_run(call, outcome):
            yield ReturnQuota(organisation)
        return outcome

    return handle


def has_not_run(call, outcome):
    """Return whether certainly no target has run a call that ended."""
    if outcome.is_ok() or call.n_may_have_run > 0:
        return False
    return outcome.err_value.certainty == NOT_RUN
