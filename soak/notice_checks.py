"""Checks that VMs follow what servers say of themselves.

Each check returns a list of findings. A server can't tell which VM sent a request: the
attempt id names the VM that the caller used, which may have passed the request on to
another VM. A VM that stopped, froze or lost its connections may have moved the choice
of servers to a VM without the notice, so nothing is judged around such a fault.
"""

from .checks import RECOVERY_S, find_over_cold_rate
from .notices import FOREIGN_BODY
from .schedule import STORE_KINDS, VM_KINDS

# Maximum time until a VM that passed on an answer of a leaving server sends it no
# request any more.
LEAVING_APPLY_S = 2.0
# Time from a rejection with a pause until the pause must be kept.
PAUSE_APPLY_S = 0.5
# Maximum number of requests from one VM in a pause.
N_PAUSED_MAX = 2
# Maximum time until every VM knows of a cold start from health answers.
COLD_NOTICE_APPLY_S = 0.5
# Kinds of faults after which another VM may choose servers, and those that may hold
# back requests that were sent before.
MOVING_KINDS = frozenset([*VM_KINDS, *STORE_KINDS])
LINK_KINDS = frozenset(["server-delay", "server-silent", "server-one-way"])


def check_notices(journal, servers, n_vms):
    """Return all findings about what servers said of themselves."""
    return [
        *check_leaving(journal, servers),
        *check_paused(journal, servers, n_vms),
        *find_over_cold_rate(
            journal, servers, journal.cold_notices, COLD_NOTICE_APPLY_S
        ),
        *check_foreign(journal),
    ]


def is_settled(journal, from_s, to_s, kinds=MOVING_KINDS):
    """Return whether no stop of a VM and no fault of some kinds was active in a time.

    The ``RECOVERY_S`` before ``from_s`` must be free of them too.
    """
    spans = [s for s in journal.unplanned_faults if s.subject in kinds]
    return not any(
        span.start_s <= to_s and span.end_s >= from_s - RECOVERY_S
        for span in [*spans, *journal.stops]
    )


def check_leaving(journal, servers):
    """Check that VMs send no new requests to a server that said that it leaves.

    A VM knows from the first answer of the server that it passed on to a caller. None
    of the requests that callers sent to this VM later than the bound after that may
    reach the server. Requests that are no caller's, and VMs whose callers got no such
    answer, are not judged.
    """
    attempts = {attempt.attempt_id: attempt for attempt in journal.attempts}
    findings = []
    for span in journal.leaving:
        server = next(s for s in servers if s.server_id == span.subject)
        arrived = [
            attempts[attempt_id]
            for at_s, attempt_id in server.arrivals
            if span.start_s <= at_s < span.end_s and attempt_id in attempts
        ]
        known_s = first_answers(server, arrived)
        findings += [
            f"{server.server_id} said that it leaves and got {attempt.attempt_id}"
            f" from {attempt.vm}, sent at {attempt.sent_s:.2f} s"
            for attempt in arrived
            if attempt.sent_s > known_s.get(attempt.vm, span.end_s) + LEAVING_APPLY_S
            and is_settled(journal, known_s[attempt.vm], attempt.ended_s)
        ]
    return findings


def first_answers(server, attempts):
    """Return the time of the first answer of a server by the VM that passed it on."""
    known_s = {}
    for attempt in attempts:
        if attempt.seal == f"seal-{server.server_id}":
            earlier_s = known_s.get(attempt.vm, attempt.ended_s)
            known_s[attempt.vm] = min(earlier_s, attempt.ended_s)
    return known_s


def check_paused(journal, servers, n_vms):
    """Check that a server gets hardly any requests in a pause for which it asked.

    A pause counts for the VM whose caller's request was rejected, and for the requests
    of that VM's callers. Since another VM may have sent them, only their sum over all
    VMs is judged. Requests that are no caller's are not counted.
    """
    vms = {attempt.attempt_id: attempt.vm for attempt in journal.attempts}
    findings = []
    for server in servers:
        arrivals = [(s, vms[name]) for s, name in server.arrivals if name in vms]
        pauses = [(s, vms[name], p) for s, name, p in server.pauses if name in vms]
        for at_s, _, pause_s in pauses:
            end_s = at_s + pause_s
            n_arrived = count_in_pause(arrivals, pauses, at_s, end_s)
            if n_arrived > N_PAUSED_MAX * n_vms and is_settled(
                journal, at_s, end_s, MOVING_KINDS | LINK_KINDS
            ):
                findings.append(
                    f"{server.server_id} got {n_arrived} requests in the pause for"
                    f" which it asked at {at_s:.2f} s"
                )
                break
    return findings


def count_in_pause(arrivals, pauses, from_s, to_s):
    """Return the number of arrivals in a pause, from VMs that knew of it.

    A VM knows ``PAUSE_APPLY_S`` after the first rejection of its own in that time.
    """
    known_s = {}
    for at_s, vm, _ in pauses:
        if from_s <= at_s < to_s:
            known_s.setdefault(vm, at_s + PAUSE_APPLY_S)
    return sum(known_s.get(vm, to_s) < at_s < to_s for at_s, vm in arrivals)


def check_foreign(journal):
    """Check that no caller gets the answer of a program that is no server."""
    return [
        f"{attempt.attempt_id} got an answer of a foreign entry"
        for attempt in journal.attempts
        if attempt.body == FOREIGN_BODY
    ]
