"""The tokens of one organisation that a VM has leased from a quota holder."""

from math import inf

# Lifetime of leased tokens, counted by the VM that asked from the moment at which it
# asked. Unspent tokens are void then.
LEASE_MS = 3000.0
# Time after which the holder counts the tokens of a lease as void. It exceeds their
# lifetime by a share, since the clocks of two VMs may differ in speed.
LENDER_LAPSE_MS = 1.02 * LEASE_MS
# Maximum time for which the reply to a request for tokens is awaited, before other
# holders are asked.
RESPONSE_WAIT_MS = 15.0
# Minimum interval between two requests for tokens, if the first got no reply.
SILENT_RETRY_MS = 100.0
# Minimum time after a holder had no tokens until it is asked again: that of this
# failure domain, and that of another one.
LOCAL_EMPTY_RETRY_MS = 100.0
REMOTE_EMPTY_RETRY_MS = 500.0


class Lease:
    """What a VM holds of one holder's tokens, and its request for more.

    ``emptied_at_ms`` is the time of the latest reply if the holder had no tokens, and
    otherwise -inf. ``sequence`` is that of the request in flight, or None.
    """

    __slots__ = (
        "emptied_at_ms",
        "sequence",
        "_n_tokens",
        "_n_counted",
        "_n_held_at_request",
        "_n_waiting_at_request",
        "_lapse_at_ms",
        "_asked_at_ms",
        "_ask_again_at_ms",
    )

    def __init__(self):
        self.emptied_at_ms = -inf
        self.sequence = None
        self._n_tokens = 0.0
        # The number of tokens that the holder counts as held by this VM.
        self._n_counted = 0.0
        self._n_held_at_request = 0.0
        self._n_waiting_at_request = 0
        self._lapse_at_ms = -inf
        self._asked_at_ms = -inf
        self._ask_again_at_ms = -inf

    def n_tokens(self, now_ms):
        """Return the number of tokens that may still be spent."""
        return self._n_tokens if now_ms < self._lapse_at_ms else 0.0

    def spend(self, n_tokens):
        """Take tokens out, of which there are enough."""
        self._n_tokens -= n_tokens

    def give_back(self, now_ms):
        """Put a spent token back; return whether the lease took it.

        The holder may have to be told of the token; see ``is_uncounted``.
        """
        if now_ms >= self._lapse_at_ms or self.is_uncounted(now_ms):
            return False
        self._n_tokens += 1.0
        return True

    def is_uncounted(self, now_ms):
        """Return whether there are more tokens than the holder counts."""
        return self.n_tokens(now_ms) > self._n_counted

    def trim(self):
        """Drop tokens that were leased for waiting requests and not needed by them."""
        self._n_tokens = min(self._n_tokens, self._n_counted)

    def void(self):
        """Drop all tokens, and the request in flight."""
        self._n_tokens = 0.0
        self.sequence = None

    def note_request(self, sequence, n_waiting, now_ms):
        """Record that the holder is asked for more, some for waiting requests."""
        self.sequence = sequence
        self._asked_at_ms = now_ms
        self._ask_again_at_ms = now_ms + SILENT_RETRY_MS
        self._n_held_at_request = self._n_counted = self.n_tokens(now_ms)
        self._n_waiting_at_request = n_waiting

    def note_response(self, n_tokens, ask_again_ms, now_ms):
        """Add the tokens of a reply.

        The holder is not asked again for ``ask_again_ms``.
        """
        self.sequence = None
        self._ask_again_at_ms = now_ms + ask_again_ms
        if n_tokens == 0.0:
            self.emptied_at_ms = now_ms
            return
        self.emptied_at_ms = -inf
        self._n_tokens = self.n_tokens(now_ms) + n_tokens
        n_kept = max(0.0, n_tokens - self._n_waiting_at_request)
        self._n_counted = self._n_held_at_request + n_kept
        self._lapse_at_ms = self._asked_at_ms + LEASE_MS

    def is_awaited(self, now_ms):
        """Return whether a reply may come soon."""
        is_late = now_ms - self._asked_at_ms >= RESPONSE_WAIT_MS
        return self.sequence is not None and not is_late

    def may_ask(self, now_ms):
        """Return whether the holder may be asked now."""
        return not self.is_awaited(now_ms) and now_ms >= self._ask_again_at_ms

    def is_needless(self, now_ms):
        """Return whether the lease can be forgotten: it says nothing any more."""
        is_over = now_ms >= max(self._lapse_at_ms, self._asked_at_ms + LEASE_MS)
        return is_over and now_ms >= self._ask_again_at_ms
