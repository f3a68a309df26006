"""Tells idempotent requests from those that may run only once."""

IDEMPOTENT_METHODS = frozenset(["GET", "HEAD", "OPTIONS"])


def is_idempotent(request, routes):
    """Return whether the request may run more than once; first route wins."""
    for route in routes:
        if route.method != request.method:
            continue
        if request.path.startswith(route.path_prefix):
            return route.idempotent
    return request.method in IDEMPOTENT_METHODS


def classify(next_handler):
    """Mark the call as idempotent or not, by the service's routes."""

    def handle(call):
        call.is_idempotent = is_idempotent(call.request, call.service.routes)
        return (yield from next_handler(call))

    return handle
