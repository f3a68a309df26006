"""Compares ways to hold the quota of an organisation over all VMs.

Each way decides about the same requests, which come to the spenders: the VMs that send
to targets. Run as ``python -m benchmarks.quota_ways``. For each way it prints how far
the busiest window is above the rule (negative: below), the requests refused although
one token bucket for the whole system would have had a token, those let through, and the
datagrams a second. Over its quota, an organisation may be refused while a token is on
its way; there, those let through tell.
"""

from collections import deque
from random import Random

from tests.quota_cluster import WINDOW_MS, QuotaCluster

# Number of requests in a case at the usual rate.
N_REQUESTS = 2500
LEAD_MS = 10_000.0
OVERAGE = 0.1
SLACK = 20.0
# Quota of an organisation as a multiple of its usual rate, and its burst in seconds of
# the quota.
QUOTA_FACTOR = 1.6
BURST_S = 1.0
HOT_FACTOR = 7.5
N_SPENDERS = 4
GOSSIP_MS = 100.0
# Times between which the VMs of the first failure domain are cut off.
CUT_MS = (LEAD_MS + 5000.0, LEAD_MS + 13_000.0)
# Time of the demand for which the one granter leases tokens.
STOCK_S = 1.0
# All organisations together: their number, the exponent of their rates by rank, the sum
# of the rates and the time for which they are played.
N_ORGANISATIONS = 81
SKEW = 1.2
ALL_PER_S = 373.0
FLEET_MS = 20_000.0


class Case:
    """The requests of one organisation: pairs of time and spender, in order.

    A spender is a pair of failure domain and number.
    """

    def __init__(self, rate_per_s, factor, n_domains, n_vms, is_cut, seed=1):
        self.quota_per_s = QUOTA_FACTOR * rate_per_s
        self.n_burst = BURST_S * self.quota_per_s
        self.n_domains = n_domains
        self.n_vms = n_vms
        self.is_cut = is_cut
        self.run_ms = N_REQUESTS * 1000.0 / rate_per_s
        rng = Random(seed)
        self.requests = []
        at_ms = LEAD_MS
        while at_ms < LEAD_MS + self.run_ms:
            at_ms += rng.expovariate(factor * rate_per_s / 1000.0)
            spender = (rng.randrange(n_domains), rng.randrange(N_SPENDERS))
            self.requests.append((at_ms, spender))

    @property
    def window_plain(self):
        """The most requests in a window that rate and burst allow."""
        return self.quota_per_s * WINDOW_MS / 1000.0 + self.n_burst

    @property
    def window_max(self):
        """The most requests in a window that the rule allows."""
        return self.window_plain * (1.0 + OVERAGE) + SLACK

    def is_cut_off(self, spender, at_ms):
        """Return whether a spender reaches only its own failure domain."""
        return self.is_cut and spender[0] == 0 and CUT_MS[0] <= at_ms < CUT_MS[1]


class Bucket:
    """A token bucket that is full at first."""

    def __init__(self, rate_per_s, n_burst):
        self.rate_per_s = rate_per_s
        self.n_burst = self.level = n_burst
        self.at_ms = 0.0

    def take(self, at_ms, n_tokens=1.0):
        """Take tokens; return whether there were enough."""
        self.level += self.rate_per_s * (at_ms - self.at_ms) / 1000.0
        self.level = min(self.n_burst, self.level)
        self.at_ms = at_ms
        if self.level < n_tokens:
            return False
        self.level -= n_tokens
        return True


class Figures:
    """What a way has let through, refused and sent."""

    def __init__(self, case):
        self.case = case
        self.recent = deque()
        self.ideal = Bucket(case.quota_per_s, case.n_burst)
        self.busiest = 0
        self.n_refused_within = 0
        self.n_sent = 0
        self.n_datagrams = 0

    def note(self, at_ms, is_sent):
        """Record a decision."""
        while self.recent and self.recent[0] <= at_ms - WINDOW_MS:
            self.recent.popleft()
        has_token = self.ideal.take(at_ms)
        if is_sent:
            self.recent.append(at_ms)
            self.n_sent += 1
            self.busiest = max(self.busiest, len(self.recent))
        elif has_token:
            self.ideal.level += 1.0
            self.n_refused_within += 1


def run_one_granter(case):
    """One VM, in the last failure domain, leases tokens for a second of demand."""
    figures = Figures(case)
    bucket = Bucket(case.quota_per_s, case.n_burst + 0.6 * SLACK)
    stocks, demand = {}, {}
    for at_ms, spender in case.requests:
        rate, noted_ms = demand.get(spender, (0.0, at_ms))
        rate = rate * max(0.0, 1.0 - (at_ms - noted_ms) / 1000.0) + 1.0
        demand[spender] = rate, at_ms
        n_stock = stocks.get(spender, 0.0)
        if n_stock < 1.0 and not case.is_cut_off(spender, at_ms):
            figures.n_datagrams += 2
            for n_wanted in (max(1.0, rate * STOCK_S // 1), 1.0):
                if bucket.take(at_ms, n_wanted):
                    n_stock += n_wanted
                    break
        stocks[spender] = max(0.0, n_stock - 1.0)
        figures.note(at_ms, n_stock >= 1.0)
    return figures


def run_equal_shares(case):
    """Each VM has the same part of the quota and of the slack."""
    figures = Figures(case)
    rate_per_s = case.quota_per_s * (1.0 + OVERAGE) / case.n_vms
    n_burst = max(1.0, (case.n_burst * (1.0 + OVERAGE) + SLACK) / case.n_vms)
    buckets = {}
    for at_ms, spender in case.requests:
        bucket = buckets.setdefault(spender, Bucket(rate_per_s, n_burst))
        figures.note(at_ms, bucket.take(at_ms))
    return figures


def run_gossip(case):
    """Each spender tells the others ten times a second how many it let through."""
    figures = Figures(case)
    spenders = sorted({spender for _, spender in case.requests})
    own = {spender: deque() for spender in spenders}
    heard = dict.fromkeys(spenders, 0)
    next_ms = LEAD_MS
    for at_ms, spender in case.requests:
        for times_ms in own.values():
            while times_ms and times_ms[0] <= at_ms - WINDOW_MS:
                times_ms.popleft()
        if at_ms >= next_ms:
            next_ms = at_ms + GOSSIP_MS
            figures.n_datagrams += len(spenders) * (len(spenders) - 1)
            for receiver in spenders:
                if not case.is_cut_off(receiver, at_ms):
                    heard[receiver] = sum(
                        len(own[other])
                        for other in spenders
                        if other != receiver and not case.is_cut_off(other, at_ms)
                    )
        is_sent = heard[spender] + len(own[spender]) + 1 <= case.window_plain
        if is_sent:
            own[spender].append(at_ms)
        figures.note(at_ms, is_sent)
    return figures


def run_busiest_owner(case):
    """One spender counts for all; the others ask it for each request."""
    figures = Figures(case)
    bucket = Bucket(case.quota_per_s, case.n_burst + 0.6 * SLACK)
    counter = (case.n_domains - 1, 0)
    for at_ms, spender in case.requests:
        is_reached = not case.is_cut_off(spender, at_ms)
        if spender != counter and is_reached:
            figures.n_datagrams += 2
        figures.note(at_ms, is_reached and bucket.take(at_ms))
    return figures


def run_domain_parts(case):
    """The product's way: parts of failure domains, leases and loans."""
    names = "abcdefgh"[: case.n_domains]
    quota = (case.quota_per_s, case.n_burst)
    cluster = QuotaCluster(names, N_SPENDERS + 1, x=quota)
    cluster.run(LEAD_MS)
    cluster.n_datagrams = 0
    cut = [ip for ip in cluster.vms if ip.startswith("a.")]
    for at_ms, (domain, number) in case.requests:
        cluster.run(at_ms)
        is_cut = case.is_cut_off((0, 0), at_ms)
        cluster.cut(*cut, group=int(is_cut))
        cluster.request(f"{names[domain]}.{number}", "x")
    cluster.run(LEAD_MS + case.run_ms + 1000.0)
    figures = Figures(case)
    figures.busiest = cluster.busiest_window("x")
    figures.n_sent = len(cluster.sent_at_ms["x"])
    figures.n_refused_within = cluster.n_refused_within
    figures.n_datagrams = cluster.n_datagrams
    return figures


WAYS = {
    "one granter": run_one_granter,
    "equal shares": run_equal_shares,
    "gossiped counts": run_gossip,
    "busiest owner": run_busiest_owner,
    "domain parts": run_domain_parts,
}
# Number of VMs and of their failure domains.
FLEETS = ((125, 3), (311, 5))
# Usual rate, the factor of the present one, and whether a domain is cut off.
LOADS = ((1.0, 1.0, False), (117.0, 1.0, False), (117.0, 1.0, True))
HOT_LOADS = ((1.0, HOT_FACTOR, False), (117.0, HOT_FACTOR, False))
HOT_CUT_LOADS = ((117.0, HOT_FACTOR, True),)


def run_fleet(n_domains):
    """Play the usual load of all organisations to the product's way; print figures.

    Their rates differ as their ranks to the power of the skew.
    """
    total = sum(rank**-SKEW for rank in range(1, N_ORGANISATIONS + 1))
    rates = {
        f"o{rank}": ALL_PER_S * rank**-SKEW / total
        for rank in range(1, N_ORGANISATIONS + 1)
    }
    quotas = {
        name: (QUOTA_FACTOR * rate, QUOTA_FACTOR * BURST_S * rate)
        for name, rate in rates.items()
    }
    names = "abcdefgh"[:n_domains]
    cluster = QuotaCluster(names, N_SPENDERS + 1, **quotas)
    cluster.run(LEAD_MS)
    cluster.n_datagrams = 0
    rng = Random(1)
    while cluster.now_ms < LEAD_MS + FLEET_MS:
        cluster.run(cluster.now_ms + rng.expovariate(ALL_PER_S / 1000.0))
        ip = f"{rng.choice(names)}.{rng.randrange(N_SPENDERS)}"
        cluster.request(ip, rng.choices(list(rates), list(rates.values()))[0])
    cluster.run(LEAD_MS + FLEET_MS + 1000.0)
    n_sent = sum(map(len, cluster.sent_at_ms.values()))
    n_refused = sum(map(len, cluster.refusals.values()))
    print(
        f"{N_ORGANISATIONS} organisations, {n_domains} domains: {n_sent} sent,"
        f" {n_refused} refused, {cluster.n_refused_within} of them within the quota,"
        f" {cluster.n_datagrams / (FLEET_MS / 1000.0):.0f} datagrams/s"
    )


def main():
    """Print a line for each fleet, load and way."""
    for n_domains in (3, 5):
        run_fleet(n_domains)
    print(f"{'VMs':>4} {'rate':>5} {'load':>4} {'cut':>3}  way", end="")
    print("               over  refused   sent     of  datagrams/s")
    for n_vms, n_domains in FLEETS:
        for rate_per_s, factor, is_cut in LOADS + HOT_LOADS + HOT_CUT_LOADS:
            case = Case(rate_per_s, factor, n_domains, n_vms, is_cut)
            for name, run in WAYS.items():
                figures = run(case)
                print(
                    f"{n_vms:4} {rate_per_s:5.0f} {factor:4.1f} {is_cut:3}  {name:16}"
                    f" {figures.busiest - case.window_max:7.0f}"
                    f" {figures.n_refused_within:8} {figures.n_sent:6}"
                    f" {len(case.requests):6}"
                    f" {figures.n_datagrams / (case.run_ms / 1000.0):10.1f}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
