"""Finds the service that a request names."""

from result import Err

from ..messages import Refusal


def make_identify(find_service):
    """Return a filter that looks services up with ``find_service``."""

    def identify(next_handler):
        def handle(call):
            call.service = find_service(call.request.service_name)
            if call.service is None:
                return Err(Refusal("unknown service", status=404, step="identify"))
            return (yield from next_handler(call))

        return handle

    return identify
