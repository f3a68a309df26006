"""Connections on which both callers and peers send requests."""

from . import headers
from .edge.servers import EdgeHandler

# Maximum size of the headers that a VM adds to a request that it forwards. The VM has
# held its caller to the limit.
FORWARDED_EXTRA_BYTES = 16_384


class FrontHandler(EdgeHandler):
    """Allows more headers for a request that a peer forwards."""

    forwarded_extra_bytes = FORWARDED_EXTRA_BYTES

    def is_forwarded(self):
        """Return whether a peer forwarded the request."""
        return headers.HOPS in self.headers
