"""The promises, checked on what callers and servers saw. Each returns findings.

Bounds with a time hold only while there was no unplanned fault for ``RECOVERY_S``.
"""

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict

from standins.edge_cell import COLD_RATE_PER_S, RETRY_RATIO, RETRY_SLACK

RECOVERY_S = 3.0
DRAIN_APPLY_S = 2.0
OUT_APPLY_S = 5.0
CONFIG_APPLY_S = 2.0
DOWNGRADE_TOLERANCE_S = 0.25
RETRY_WINDOW_S = 10.0
COLD_WINDOW_S = 1.0
COLD_OVERAGE_FACTOR = 1.5
COLD_SLACK = 5.0
# A cold start that the store has just learned of is known to VMs by then.
COLD_APPLY_S = 1.0
NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])
STATUS_OK = 200
STATUS_NO_ROUTE = 404
RECOVERED_SHARE_MIN = 0.9


def check_all(journal, servers, end_s):
    """Return every finding of one run."""
    return [
        *journal.findings,
        *check_once(journal, servers),
        *check_not_run(journal, servers),
        *check_responses(journal),
        *check_lost(journal, servers),
        *check_versions(journal),
        *check_drained(journal, servers),
        *check_out_of_service(journal, servers),
        *check_cold(journal, servers),
        *check_retry_budget(journal, servers),
        *check_recovered(journal, end_s),
    ]


def count_runs(servers):
    """Return the runs of each attempt over all servers."""
    counts = Counter()
    for server in servers:
        counts.update(server.runs)
    return counts


def check_once(journal, servers):
    """Orders run at most once."""
    runs = count_runs(servers)
    return [
        f"order {attempt.attempt_id} ran {runs[attempt.attempt_id]} times"
        for attempt in journal.attempts
        if attempt.is_order and runs[attempt.attempt_id] > 1
    ]


def check_not_run(journal, servers):
    """An order that was refused as not run has not run."""
    runs = count_runs(servers)
    return [
        f"order {attempt.attempt_id} was answered {attempt.status} and ran"
        for attempt in journal.attempts
        if attempt.is_order
        and attempt.status in NOT_RUN_STATUSES
        and runs[attempt.attempt_id]
    ]


def check_responses(journal):
    """A success is the server's whole answer to the caller's own request."""
    findings = []
    for attempt in journal.attempts:
        if attempt.status != STATUS_OK:
            continue
        expected = f"ran {attempt.path} ".encode()
        if attempt.body != expected or not (attempt.seal or "").startswith("seal-"):
            findings.append(
                f"{attempt.attempt_id} got another answer: {attempt.body!r}"
            )
    return findings


def is_fault_free(journal, from_s, to_s):
    """Tell whether no unplanned fault struck from before one time to another."""
    return not any(
        span.start_s <= to_s and span.end_s >= from_s - RECOVERY_S
        for span in journal.unplanned_faults
    )


def check_lost(journal, servers):
    """Planned work breaks off no request that a server has taken."""
    arrived = {attempt_id for server in servers for _, attempt_id in server.arrivals}
    return [
        f"{attempt.attempt_id} at {attempt.vm} was lost at {attempt.sent_s:.2f} s"
        for attempt in journal.attempts
        if attempt.status == 0
        and attempt.attempt_id in arrived
        and is_fault_free(journal, attempt.sent_s, attempt.ended_s)
    ]


def check_versions(journal):
    """Versions are in force in time and never go back in one start of a VM."""
    findings = []
    by_start = defaultdict(list)
    for probe in journal.version_probes:
        by_start[(probe.vm, probe.n_starts)].append(probe)
        is_late = (
            probe.status == STATUS_NO_ROUTE
            and probe.version == newest_published(journal, probe.sent_s)
            and probe.sent_s > journal.published_s[probe.version] + CONFIG_APPLY_S
        )
        if is_late and is_fault_free(
            journal, journal.published_s[probe.version], probe.ended_s
        ):
            findings.append(
                f"{probe.vm} does not serve version {probe.version} in time"
            )
    for (vm, _), probes in by_start.items():
        findings += find_downgrades(vm, probes)
    return findings


def newest_published(journal, at_s):
    """Return the newest version that was published by a time."""
    return max((v for v, s in journal.published_s.items() if s <= at_s), default=0)


def find_downgrades(vm, probes):
    """Return what one start of a VM served again after a later version."""
    findings = []
    newest, newest_s = 0, float("inf")
    for probe in sorted(probes, key=lambda item: item.sent_s):
        if probe.status != STATUS_OK:
            continue
        if probe.version > newest:
            newest, newest_s = probe.version, probe.ended_s
        elif probe.version < newest and probe.sent_s > newest_s + DOWNGRADE_TOLERANCE_S:
            findings.append(f"{vm} served version {probe.version} after {newest}")
    return findings


def check_drained(journal, servers):
    """A server that drains or is gone gets nothing new after the bound."""
    findings = []
    for span in journal.drained:
        server = next(s for s in servers if s.server_id == span.subject)
        findings += find_late_arrivals(journal, server, span, DRAIN_APPLY_S, "drained")
    return findings


def check_out_of_service(journal, servers):
    """The servers of a failure domain that is out get nothing after the bound."""
    findings = []
    for span in journal.out_of_service:
        for server in servers:
            if server.domain == span.subject:
                findings += find_late_arrivals(
                    journal, server, span, OUT_APPLY_S, "out"
                )
    return findings


def find_late_arrivals(journal, server, span, bound_s, reason):
    """Return arrivals at a server in a span, later than a bound."""
    return [
        f"{server.server_id} is {reason} and got {attempt_id} at {at_s:.2f} s"
        for at_s, attempt_id in server.arrivals
        if span.start_s + bound_s < at_s < span.end_s
        and is_fault_free(journal, span.start_s, at_s)
    ]


def check_cold(journal, servers):
    """A cold server gets no more than its rate, over all VMs."""
    limit = COLD_RATE_PER_S * COLD_OVERAGE_FACTOR + COLD_SLACK
    findings = []
    for span in journal.cold:
        server = next(s for s in servers if s.server_id == span.subject)
        times = [
            at_s
            for at_s, _ in server.arrivals
            if span.start_s + COLD_APPLY_S <= at_s < span.end_s
        ]
        for i, at_s in enumerate(times):
            n_within = bisect_right(times, at_s + COLD_WINDOW_S) - i
            if n_within > limit and is_fault_free(journal, span.start_s, at_s):
                text = f"{server.server_id} is cold and got {n_within} in a second"
                findings.append(text)
                break
    return findings


def check_retry_budget(journal, servers):
    """Repeats of a service stay within the budget over all VMs."""
    findings = []
    for service in sorted({server.service for server in servers}):
        arrivals = sorted(
            pair
            for server in servers
            if server.service == service
            for pair in server.arrivals
        )
        arrived_ids = set()
        retries = []
        for at_s, attempt_id in arrivals:
            if attempt_id in arrived_ids:
                retries.append(at_s)
            arrived_ids.add(attempt_id)
        is_order = service == "desk"
        requests = sorted(a.sent_s for a in journal.attempts if a.is_order == is_order)
        findings += find_over_budget(service, retries, requests)
    return findings


def find_over_budget(service, retries, requests):
    """Return the windows in which a service got too many repeats."""
    findings = []
    for at_s in retries:
        n_retries = count_within(retries, at_s - RETRY_WINDOW_S, at_s)
        offsets_s = (0.0, RETRY_WINDOW_S, RETRY_WINDOW_S / 2)
        n_requests = max(
            count_within(requests, at_s - RETRY_WINDOW_S - offset_s, at_s - offset_s)
            for offset_s in offsets_s
        )
        if n_retries > RETRY_RATIO * n_requests + RETRY_SLACK:
            findings.append(
                f"{service} got {n_retries} repeats of {n_requests} requests"
            )
    return findings[:1]


def count_within(times, from_s, to_s):
    """Count the sorted times between two times."""
    return bisect_right(times, to_s) - bisect_left(times, from_s)


def check_recovered(journal, end_s):
    """Once all faults are over, requests are served."""
    last_attempts = [a for a in journal.attempts if a.sent_s > end_s - RECOVERY_S / 2]
    n_served = sum(a.status == STATUS_OK for a in last_attempts)
    if last_attempts and n_served >= RECOVERED_SHARE_MIN * len(last_attempts):
        return []
    return [f"{n_served} of {len(last_attempts)} requests were served after the faults"]
