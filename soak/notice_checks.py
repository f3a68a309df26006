"""Checks that VMs follow what servers say of themselves.

Each check returns a list of findings. The VM that sent a request to a server is the one
whose process opened the connection. It is unknown, and the request isn't judged, if the
connection was closed before its owner could be looked up.
"""

from .checks import find_over_cold_rate
from .notices import FOREIGN_BODY

# Maximum time until a VM that passed on an answer of a leaving server sends it no
# request any more.
LEAVING_APPLY_S = 2.0
# Time from a rejection with a pause until the pause must be kept.
PAUSE_APPLY_S = 0.5
# Maximum number of requests from one VM in a pause.
N_PAUSED_MAX = 2
# Maximum time until every VM knows of a cold start from health answers.
COLD_NOTICE_APPLY_S = 0.5
# Kinds of faults that may hold back requests that a VM sent before a pause.
LINK_KINDS = frozenset(["server-delay", "server-silent", "server-one-way"])


def check_notices(journal, servers):
    """Return all findings about what servers said of themselves."""
    return [
        *check_leaving(journal, servers),
        *check_paused(journal, servers),
        *find_over_cold_rate(
            journal, servers, journal.cold_notices, COLD_NOTICE_APPLY_S
        ),
        *check_foreign(journal),
    ]


def has_run_on(journal, vm, from_s, to_s):
    """Return whether the process of a VM ran on between two times."""
    return not any(
        span.subject == vm and span.start_s <= to_s and span.end_s >= from_s
        for span in journal.outages
    )


def has_link_fault(journal, from_s, to_s):
    """Return whether a link to a server was disturbed between two times."""
    return any(
        span.subject in LINK_KINDS and span.start_s <= to_s and span.end_s >= from_s
        for span in journal.unplanned_faults
    )


def check_leaving(journal, servers):
    """Check that VMs send no new requests to a server that said that it leaves.

    A VM knows from the first answer of the server that it sent on and a caller got. Of
    the requests that callers sent later than the bound after that, none may reach the
    server from this VM. VMs that sent on no such answer, and requests that are no
    caller's, are not judged.
    """
    attempts = {attempt.attempt_id: attempt for attempt in journal.attempts}
    findings = []
    for span in journal.leaving:
        server = next(s for s in servers if s.server_id == span.subject)
        known_s = first_answers(journal, server, span, attempts)
        for (at_s, attempt_id), port in zip(
            server.arrivals, server.peer_ports, strict=True
        ):
            vm = journal.senders.get((server.server_id, port))
            if vm not in known_s or attempt_id not in attempts or at_s >= span.end_s:
                continue
            sent_s = attempts[attempt_id].sent_s
            is_late = sent_s > known_s[vm] + LEAVING_APPLY_S
            if is_late and has_run_on(journal, vm, known_s[vm], at_s):
                findings.append(
                    f"{server.server_id} said that it leaves and got {attempt_id}"
                    f" from {vm}, sent at {sent_s:.2f} s"
                )
    return findings


def first_answers(journal, server, span, attempts):
    """Return, by VM, when a caller got the first answer that the server leaves."""
    known_s = {}
    for port, attempt_id in server.leaving_answers:
        vm = journal.senders.get((server.server_id, port))
        attempt = attempts.get(attempt_id)
        if vm is None or attempt is None:
            continue
        is_sent_on = attempt.seal == f"seal-{server.server_id}"
        if is_sent_on and span.start_s <= attempt.ended_s < span.end_s:
            known_s[vm] = min(known_s.get(vm, attempt.ended_s), attempt.ended_s)
    return known_s


def check_paused(journal, servers):
    """Check that a server gets hardly any requests in a pause for which it asked.

    The pause counts for the VM that sent the rejected request, from ``PAUSE_APPLY_S``
    after the rejection to its end.
    """
    findings = []
    for server in servers:
        for at_s, port, pause_s in server.pauses:
            vm = journal.senders.get((server.server_id, port))
            end_s = at_s + pause_s
            n_arrived = count_from(journal, server, vm, at_s + PAUSE_APPLY_S, end_s)
            if (
                vm is not None
                and n_arrived > N_PAUSED_MAX
                and has_run_on(journal, vm, at_s, end_s)
                and not has_link_fault(journal, at_s, end_s)
            ):
                findings.append(
                    f"{server.server_id} got {n_arrived} requests from {vm} in the"
                    f" pause for which it asked at {at_s:.2f} s"
                )
                break
    return findings


def count_from(journal, server, vm, from_s, to_s):
    """Return the number of requests that a server got from a VM between two times."""
    return sum(
        from_s < at_s < to_s and journal.senders.get((server.server_id, port)) == vm
        for (at_s, _), port in zip(server.arrivals, server.peer_ports, strict=True)
    )


def check_foreign(journal):
    """Check that no caller gets the answer of a program that is no server."""
    return [
        f"{attempt.attempt_id} got an answer of a foreign entry"
        for attempt in journal.attempts
        if attempt.body == FOREIGN_BODY
    ]
