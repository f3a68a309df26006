"""Ends a call that met an error which no other filter expects."""

from result import Err

from ..messages import NOT_RUN, OUTCOME_UNKNOWN, Refusal, ReportError

# Time after which a caller may retry a request that failed before its first send.
RETRY_AFTER_MS = 100.0


def recover(next_handler):
    """Turn an exception of a later filter, or of a performer, into a refusal."""

    def handle(call):
        try:
            return (yield from next_handler(call))
        except Exception as error:
            yield ReportError(error)
            return Err(error_refusal(call))

    return handle


def error_refusal(call):
    """Return the refusal of a call that an unexpected error ended.

    Its outcome is unknown once the call was sent to a target or to a peer.
    """
    reason = "unexpected error"
    if call.may_have_run:
        return Refusal(reason, OUTCOME_UNKNOWN, 502, "front")
    return Refusal(reason, NOT_RUN, 503, "front", "", RETRY_AFTER_MS)
