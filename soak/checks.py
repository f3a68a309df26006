"""The promises, checked on what callers and servers saw. Each returns findings.

Bounds with a time hold only while there was no unplanned fault for ``CONTACT_S``.
"""

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict

from standins.edge_cell import COLD_RATE_PER_S, RETRY_RATIO, RETRY_SLACK

CONTACT_S = 3.0
DRAIN_S = 2.0
OUT_S = 5.0
CONFIG_S = 2.0
DOWNGRADE_S = 0.25
BUDGET_WINDOW_S = 10.0
COLD_WINDOW_S = 1.0
COLD_OVERAGE = 1.5
COLD_SLACK = 5.0
# A cold start that the store has just learned of is known to VMs by then.
COLD_KNOWN_S = 1.0
NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])
STATUS_OK = 200
STATUS_NO_ROUTE = 404
RECOVERED_SHARE = 0.9


def check_all(journal, servers, end_s):
    """Return every finding of one run."""
    return [
        *journal.findings,
        *check_once(journal, servers),
        *check_not_run(journal, servers),
        *check_answers(journal),
        *check_lost(journal, servers),
        *check_versions(journal),
        *check_drained(journal, servers),
        *check_out(journal, servers),
        *check_cold(journal, servers),
        *check_budget(journal, servers),
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


def check_answers(journal):
    """A success is the server's whole answer to the caller's own request."""
    found = []
    for attempt in journal.attempts:
        if attempt.status != STATUS_OK:
            continue
        expected = f"ran {attempt.path} ".encode()
        if attempt.body != expected or not (attempt.seal or "").startswith("seal-"):
            found.append(f"{attempt.attempt_id} got another answer: {attempt.body!r}")
    return found


def is_calm(journal, from_s, to_s):
    """Tell whether no unplanned fault struck from before one time to another."""
    return not any(
        span.start_s <= to_s and span.end_s >= from_s - CONTACT_S
        for span in journal.harm
    )


def check_lost(journal, servers):
    """Planned work breaks off no request that a server has taken."""
    arrived = {attempt_id for server in servers for _, attempt_id in server.arrivals}
    return [
        f"{attempt.attempt_id} at {attempt.vm} was lost at {attempt.sent_s:.2f} s"
        for attempt in journal.attempts
        if attempt.status == 0
        and attempt.attempt_id in arrived
        and is_calm(journal, attempt.sent_s, attempt.ended_s)
    ]


def check_versions(journal):
    """Versions are in force in time and never go back in one start of a VM."""
    found = []
    by_start = defaultdict(list)
    for seen in journal.versions:
        by_start[(seen.vm, seen.start)].append(seen)
        is_late = (
            seen.status == STATUS_NO_ROUTE
            and seen.version == newest_at(journal, seen.sent_s)
            and seen.sent_s > journal.published_s[seen.version] + CONFIG_S
        )
        if is_late and is_calm(
            journal, journal.published_s[seen.version], seen.ended_s
        ):
            found.append(f"{seen.vm} does not serve version {seen.version} in time")
    for (vm, _), all_seen in by_start.items():
        found += check_back(vm, all_seen)
    return found


def newest_at(journal, at_s):
    """Return the newest version that was published by a time."""
    return max((v for v, s in journal.published_s.items() if s <= at_s), default=0)


def check_back(vm, all_seen):
    """Return what one start of a VM served again after a later version."""
    found = []
    newest, newest_s = 0, float("inf")
    for seen in sorted(all_seen, key=lambda item: item.sent_s):
        if seen.status != STATUS_OK:
            continue
        if seen.version > newest:
            newest, newest_s = seen.version, seen.ended_s
        elif seen.version < newest and seen.sent_s > newest_s + DOWNGRADE_S:
            found.append(f"{vm} served version {seen.version} after {newest}")
    return found


def check_drained(journal, servers):
    """A server that drains or is gone gets nothing new after the bound."""
    found = []
    for span in journal.drained:
        server = next(s for s in servers if s.server_id == span.subject)
        found += late_arrivals(journal, server, span, DRAIN_S, "drained")
    return found


def check_out(journal, servers):
    """The servers of a failure domain that is out get nothing after the bound."""
    found = []
    for span in journal.out:
        for server in servers:
            if server.domain == span.subject:
                found += late_arrivals(journal, server, span, OUT_S, "out")
    return found


def late_arrivals(journal, server, span, bound_s, word):
    """Return arrivals at a server in a span, later than a bound."""
    return [
        f"{server.server_id} is {word} and got {attempt_id} at {at_s:.2f} s"
        for at_s, attempt_id in server.arrivals
        if span.start_s + bound_s < at_s < span.end_s
        and is_calm(journal, span.start_s, at_s)
    ]


def check_cold(journal, servers):
    """A cold server gets no more than its rate, over all VMs."""
    limit = COLD_RATE_PER_S * COLD_OVERAGE + COLD_SLACK
    found = []
    for span in journal.cold:
        server = next(s for s in servers if s.server_id == span.subject)
        times = [
            at_s
            for at_s, _ in server.arrivals
            if span.start_s + COLD_KNOWN_S <= at_s < span.end_s
        ]
        for i, at_s in enumerate(times):
            n_within = bisect_right(times, at_s + COLD_WINDOW_S) - i
            if n_within > limit and is_calm(journal, span.start_s, at_s):
                text = f"{server.server_id} is cold and got {n_within} in a second"
                found.append(text)
                break
    return found


def check_budget(journal, servers):
    """Repeats of a service stay within the budget over all VMs."""
    found = []
    for service in sorted({server.service for server in servers}):
        arrivals = sorted(
            pair
            for server in servers
            if server.service == service
            for pair in server.arrivals
        )
        seen = set()
        repeats = []
        for at_s, attempt_id in arrivals:
            if attempt_id in seen:
                repeats.append(at_s)
            seen.add(attempt_id)
        is_order = service == "desk"
        requests = sorted(a.sent_s for a in journal.attempts if a.is_order == is_order)
        found += over_budget(service, repeats, requests)
    return found


def over_budget(service, repeats, requests):
    """Return the windows in which a service got too many repeats."""
    found = []
    for at_s in repeats:
        n_repeats = n_within(repeats, at_s - BUDGET_WINDOW_S, at_s)
        starts = (0.0, BUDGET_WINDOW_S, BUDGET_WINDOW_S / 2)
        n_requests = max(
            n_within(requests, at_s - BUDGET_WINDOW_S - before_s, at_s - before_s)
            for before_s in starts
        )
        if n_repeats > RETRY_RATIO * n_requests + RETRY_SLACK:
            found.append(f"{service} got {n_repeats} repeats of {n_requests} requests")
    return found[:1]


def n_within(times, from_s, to_s):
    """Count the sorted times between two times."""
    return bisect_right(times, to_s) - bisect_left(times, from_s)


def check_recovered(journal, end_s):
    """Once all faults are over, requests are served."""
    last = [a for a in journal.attempts if a.sent_s > end_s - CONTACT_S / 2]
    n_served = sum(a.status == STATUS_OK for a in last)
    if last and n_served >= RECOVERED_SHARE * len(last):
        return []
    return [f"{n_served} of {len(last)} requests were served after the faults"]
