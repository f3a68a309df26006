"""Checks of the guarantees on the records of callers and servers.

Each check returns a list of findings, empty if the guarantee held. Time bounds are
checked only where no unplanned fault was active in the ``RECOVERY_S`` before.
"""

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict

from standins.edge_cell import COLD_RATE_PER_S, RETRY_RATIO, RETRY_SLACK

# Maximum time after an unplanned fault until the VMs reach the store and the servers
# again. No time bound is checked until it has passed.
RECOVERY_S = 3.0
# Maximum time until a draining or removed server gets no new requests.
DRAIN_APPLY_S = 2.0
# Maximum time until the servers of a failure domain get no requests after it was taken
# out of service.
OUT_APPLY_S = 5.0
# Maximum time until a published configuration version is in force on every VM.
CONFIG_APPLY_S = 2.0
# Maximum time for which a VM may still serve the old version after it has served a
# newer one.
DOWNGRADE_TOLERANCE_S = 0.25
# Length of the window of the retry budget.
RETRY_WINDOW_S = 10.0
# Length of the window in which the requests to a cold server are counted.
COLD_WINDOW_S = 1.0
# Maximum number of requests to a cold server in a window: its rate times this factor,
# plus the slack.
COLD_OVERAGE_FACTOR = 1.5
COLD_SLACK = 5.0
# Maximum time until every VM knows of a cold start after it was written to the store.
COLD_APPLY_S = 1.0
# Statuses that say that the request did not run.
NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])
STATUS_OK = 200
STATUS_NO_ROUTE = 404
# Minimum share of requests served once all faults are over.
RECOVERED_SHARE_MIN = 0.9


def check_all(journal, servers, end_s):
    """Return all findings of one run, which ended at ``end_s``."""
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
    """Return the number of runs of each attempt id over all servers."""
    counts = Counter()
    for server in servers:
        counts.update(server.runs)
    return counts


def check_once(journal, servers):
    """Check that each order ran at most once, over all servers."""
    runs = count_runs(servers)
    return [
        f"order {attempt.attempt_id} ran {runs[attempt.attempt_id]} times"
        for attempt in journal.attempts
        if attempt.is_order and runs[attempt.attempt_id] > 1
    ]


def check_not_run(journal, servers):
    """Check that no order ran that was refused as not run."""
    runs = count_runs(servers)
    return [
        f"order {attempt.attempt_id} got status {attempt.status} although it ran"
        for attempt in journal.attempts
        if attempt.is_order
        and attempt.status in NOT_RUN_STATUSES
        and runs[attempt.attempt_id]
    ]


def check_responses(journal):
    """Check that each success is the complete response to the caller's own request."""
    findings = []
    for attempt in journal.attempts:
        if attempt.status != STATUS_OK:
            continue
        expected = f"ran {attempt.path} ".encode()
        if attempt.body != expected or not (attempt.seal or "").startswith("seal-"):
            findings.append(
                f"{attempt.attempt_id} got a wrong response: {attempt.body!r}"
            )
    return findings


def is_fault_free(journal, from_s, to_s):
    """Return whether no unplanned fault was active between two times.

    The ``RECOVERY_S`` before ``from_s`` must be free of faults too.
    """
    return not any(
        span.start_s <= to_s and span.end_s >= from_s - RECOVERY_S
        for span in journal.unplanned_faults
    )


def check_lost(journal, servers):
    """Check that planned work loses no response to a request that reached a server."""
    arrived = {attempt_id for server in servers for _, attempt_id in server.arrivals}
    return [
        f"{attempt.attempt_id} got no response from {attempt.vm},"
        f" sent at {attempt.sent_s:.2f} s"
        for attempt in journal.attempts
        if attempt.status == 0
        and attempt.attempt_id in arrived
        and is_fault_free(journal, attempt.sent_s, attempt.ended_s)
    ]


def check_versions(journal):
    """Check that VMs apply versions in time and never go back to an older one.

    Each start of a VM is checked on its own.
    """
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
                f"{probe.vm} did not serve version {probe.version}"
                f" within {CONFIG_APPLY_S:g} s of its publication"
            )
    for (vm, _), probes in by_start.items():
        findings += find_downgrades(vm, probes)
    return findings


def newest_published(journal, at_s):
    """Return the newest version published at or before a time, or 0."""
    return max((v for v, s in journal.published_s.items() if s <= at_s), default=0)


def find_downgrades(vm, probes):
    """Return findings for older versions served after a newer one.

    ``probes`` are those of one start of a VM.
    """
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
    """Check that draining and removed servers get no new requests after the bound."""
    findings = []
    for span in journal.drained:
        server = next(s for s in servers if s.server_id == span.subject)
        findings += find_late_arrivals(journal, server, span, DRAIN_APPLY_S, "drained")
    return findings


def check_out_of_service(journal, servers):
    """Check that domains out of service get no requests after the bound."""
    findings = []
    for span in journal.out_of_service:
        for server in servers:
            if server.domain == span.subject:
                findings += find_late_arrivals(
                    journal, server, span, OUT_APPLY_S, "out of service"
                )
    return findings


def find_late_arrivals(journal, server, span, bound_s, reason):
    """Return findings for requests that reached a server too late.

    They arrived within the span, later than ``bound_s`` after its start, and no
    unplanned fault can explain them.
    """
    return [
        f"{server.server_id} is {reason} and got request {attempt_id} at {at_s:.2f} s"
        for at_s, attempt_id in server.arrivals
        if span.start_s + bound_s < at_s < span.end_s
        and is_fault_free(journal, span.start_s, at_s)
    ]


def check_cold(journal, servers):
    """Check that a cold server gets no more than its rate from all VMs together."""
    return find_over_cold_rate(journal, servers, journal.cold, COLD_APPLY_S)


def find_over_cold_rate(journal, servers, spans, apply_s):
    """Return findings for cold servers that got more than their rate.

    ``apply_s`` is the time after the start of each span from which on the rate holds.
    """
    limit = COLD_RATE_PER_S * COLD_OVERAGE_FACTOR + COLD_SLACK
    findings = []
    for span in spans:
        server = next(s for s in servers if s.server_id == span.subject)
        times = [
            at_s
            for at_s, _ in server.arrivals
            if span.start_s + apply_s <= at_s < span.end_s
        ]
        for i, at_s in enumerate(times):
            n_within = bisect_right(times, at_s + COLD_WINDOW_S) - i
            if n_within > limit and is_fault_free(journal, span.start_s, at_s):
                text = (
                    f"{server.server_id} is cold and got {n_within} requests"
                    f" in a second, at most {limit:g} are allowed"
                )
                findings.append(text)
                break
    return findings


def check_retry_budget(journal, servers):
    """Check that the retries of a service over all VMs stay within the budget.

    Every arrival of an attempt id after the first one counts as a retry.
    """
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
    """Return a finding for the first window with too many retries, if any.

    The budget is computed from the requests of the same window, of the window before
    or of the one half a window earlier, whichever has the most.
    """
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
                f"{service} got {n_retries} retries for {n_requests} requests"
            )
    return findings[:1]


def count_within(times, from_s, to_s):
    """Return the number of sorted times between two times, both included."""
    return bisect_right(times, to_s) - bisect_left(times, from_s)


def check_recovered(journal, end_s):
    """Check that requests are served once all faults are over."""
    last_attempts = [a for a in journal.attempts if a.sent_s > end_s - RECOVERY_S / 2]
    n_served = sum(a.status == STATUS_OK for a in last_attempts)
    if last_attempts and n_served >= RECOVERED_SHARE_MIN * len(last_attempts):
        return []
    return [f"{n_served} of {len(last_attempts)} requests were served after the faults"]
