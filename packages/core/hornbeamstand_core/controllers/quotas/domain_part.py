"""The part of an organisation's quota that one failure domain holds by right.

The parts follow from the settings and the configuration alone, so no VM has to ask
another one for them, and their sum is at most the quota whatever links are cut.
"""

MS_PER_S = 1000.0
# Share of the slack that requests may use. The rest and the overage are for the moments
# at which a quota holder is replaced.
SLACK_SHARE = 0.7
# Share of the slack that extends the bursts, so that an organisation with a small rate
# is not refused because its requests come unevenly or in few failure domains.
BURST_SLACK_SHARE = 0.45
# Share of the slack that all domains together begin with if all their VMs have just
# started. Without it, an organisation with a small rate would wait for seconds for its
# first token.
START_SLACK_SHARE = 0.2
# Minimum burst of a domain's part. With less, a domain could never send a request.
N_BURST_MIN = 1.0


def window_requests(organisation, limits):
    """Return the maximum number of an organisation's requests in a window."""
    window_s = limits.window_ms / MS_PER_S
    n_plain = organisation.rate_per_s * window_s + organisation.n_burst
    return n_plain + SLACK_SHARE * limits.slack


def domain_burst(organisation, limits):
    """Return the maximum number of tokens that a failure domain may hold unspent."""
    n_burst = organisation.n_burst + BURST_SLACK_SHARE * limits.slack
    return max(N_BURST_MIN, n_burst / limits.n_domains)


def domain_rate_per_s(organisation, limits):
    """Return the tokens a second that a failure domain gets.

    With its burst, they are its part of what a window allows.
    """
    n_part = window_requests(organisation, limits) / limits.n_domains
    n_rest = n_part - domain_burst(organisation, limits)
    rate_per_s = n_rest * MS_PER_S / limits.window_ms
    return max(rate_per_s, organisation.rate_per_s / limits.n_domains)


def domain_start(limits):
    """Return the tokens of a failure domain whose VMs have all just started."""
    return START_SLACK_SHARE * limits.slack / limits.n_domains
