"""Messages of the keys of organisations; they hold digests, never a key."""

from .records import Record


class CallerKey(Record):
    """The key that a request shows, or the lack of one.

    ``digest`` is that of the key, or "" if the request has none that can be read.
    ``is_malformed`` tells a key that can't be read from a missing one.
    """

    __slots__ = ("digest", "is_malformed")

    def __init__(self, digest="", is_malformed=False):
        self.digest = digest
        self.is_malformed = is_malformed


class CheckKey(Record):
    """Check the key of a relayed request by a newer configuration, if there is one.

    ``policy`` is the policy that the peer sent along. ``key`` is the CallerKey in the
    header lines of the request, which counts if the peer knew of no organisations. The
    reply is the RequestPolicy that applies, or a Refusal.
    """

    __slots__ = ("request_id", "host", "path", "key", "policy")

    def __init__(self, request_id, host, path, key, policy):
        self.request_id = request_id
        self.host = host
        self.path = path
        self.key = key
        self.policy = policy
