"""Distinguishes idempotent requests from those that may run only once."""

IDEMPOTENT_METHODS = frozenset(["GET", "HEAD", "OPTIONS"])


def is_idempotent(request, routes):
    """Return whether the request may run more than once.

    The first matching route decides; without one, the method does.
    """
    for route in routes:
        if route.method != request.method:
            continue
        if request.path.startswith(route.path_prefix):
            return route.idempotent
    return request.method in IDEMPOTENT_METHODS


def classify(next_handler):
    """Set whether the call is idempotent, by the service's routes."""

    def handle(call):
        call.is_idempotent = is_idempotent(call.request, call.service.routes)
        return (yield from next_handler(call))

    return handle
