"""Refuses the requests that the end of a planned stop would cut."""

from result import Err

from ..edge_messages import CheckStop
from ..messages import NOT_RUN, STOPPING, Refusal

# Time after which a caller may retry at another VM, which can serve it at once.
STOP_RETRY_AFTER_MS = 30.0


def stopping(next_handler):
    """Refuse a call that may not end before this VM does; else run the next handler.

    The refusal comes before any send, so that the caller, or the VM that relayed the
    request, can turn to another VM.
    """

    def handle(call):
        may_finish = yield CheckStop(call)
        if may_finish:
            return (yield from next_handler(call))
        service_name = call.policy.service_name
        return Err(
            Refusal(STOPPING, NOT_RUN, 503, "stop", service_name, STOP_RETRY_AFTER_MS)
        )

    return handle
