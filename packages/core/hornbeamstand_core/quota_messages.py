"""Messages of the quotas of organisations.

Names that end in ``_at_ms`` are times on the local clock; durations end in ``_ms``
alone.
"""

from .records import Record

# Effects that the filters yield, and their replies.


class SpendQuota(Record):
    """Count a request against its organisation's quota before its first send.

    The reply is a QuotaSpent, or a Refusal with status 429 if the quota is used up.
    """

    __slots__ = ("request_id", "organisation")

    def __init__(self, request_id, organisation):
        self.request_id = request_id
        self.organisation = organisation


class QuotaSpent(Record):
    """The request counts against the quota, and may be sent."""

    __slots__ = ()


class EndQuotaWait(Record):
    """A request that was counted is sent now, or ends without a send; no reply."""

    __slots__ = ("organisation",)

    def __init__(self, organisation):
        self.organisation = organisation


class ReturnQuota(Record):
    """Give back the token of a request that no target has run; no reply."""

    __slots__ = ("organisation",)

    def __init__(self, organisation):
        self.organisation = organisation


class QuotaLimits(Record):
    """How strictly the quotas of organisations hold, over all VMs.

    Within any ``window_ms``, the targets may get ``overage`` times more requests of an
    organisation than its rate and burst allow, and ``slack`` more. Each of
    ``n_domains`` failure domains holds an equal part of each quota.
    """

    __slots__ = ("window_ms", "overage", "slack", "n_domains")

    def __init__(self, window_ms, overage, slack, n_domains=1):
        self.window_ms = window_ms
        self.overage = overage
        self.slack = slack
        self.n_domains = n_domains


# Messages between VMs.


class QuotaNeed(Record):
    """The tokens of one organisation that a VM asks for.

    ``n_wanted`` is what it can use soon; ``n_waiting`` of them are spent as they come.
    ``n_held`` is what it still holds of the tokens that the receiver, or another VM of
    the receiver's failure domain, leased to it before.
    """

    __slots__ = ("organisation", "n_wanted", "n_waiting", "n_held")

    def __init__(self, organisation, n_wanted, n_waiting, n_held):
        self.organisation = organisation
        self.n_wanted = n_wanted
        self.n_waiting = n_waiting
        self.n_held = n_held


class QuotaRequest(Record):
    """Ask the quota holder of a failure domain for tokens; ``needs`` are QuotaNeed."""

    __slots__ = ("sender_ip", "sequence", "needs")

    def __init__(self, sender_ip, sequence, needs):
        self.sender_ip = sender_ip
        self.sequence = sequence
        self.needs = needs


class QuotaLease(Record):
    """The tokens of one organisation that a holder leases.

    Without any, ``retry_after_ms`` is when the holder may have some.
    """

    __slots__ = ("organisation", "n_tokens", "retry_after_ms")

    def __init__(self, organisation, n_tokens, retry_after_ms=0.0):
        self.organisation = organisation
        self.n_tokens = n_tokens
        self.retry_after_ms = retry_after_ms


class QuotaResponse(Record):
    """A holder's reply to the QuotaRequest ``sequence``; ``leases`` are QuotaLease."""

    __slots__ = ("sender_ip", "sequence", "leases")

    def __init__(self, sender_ip, sequence, leases):
        self.sender_ip = sender_ip
        self.sequence = sequence
        self.leases = leases


# Messages between the controllers and the tasks of a VM.


class CheckQuotas(Record):
    """Handle the requests that have waited for tokens."""

    __slots__ = ()


class ScheduleQuotaCheck(Record):
    """Send the controllers a CheckQuotas after ``delay_ms``."""

    __slots__ = ("delay_ms",)

    def __init__(self, delay_ms):
        self.delay_ms = delay_ms


class SetQuotaLimits(Record):
    """Adopt the QuotaLimits of the settings; None stands for no quotas."""

    __slots__ = ("limits",)

    def __init__(self, limits):
        self.limits = limits


class ProcessSuspended(Record):
    """The process did not run for a while, in which its clock may have stood."""

    __slots__ = ()
