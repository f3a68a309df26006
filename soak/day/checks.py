"""Finds what must not happen on any day, whatever is played."""

from .lost import NOT_RUN_STATUSES
from .records import ANSWERED

STATUS_NO_KEY = 401
STATUS_NO_ROUTE = 404
# Length of the last part, in which most requests must be served.
RECOVERED_S = 4.0
RECOVERED_SHARE_MIN = 0.9


def check_orders(journal):
    """Return findings for requests that ran twice, after a refusal or elsewhere."""
    findings = []
    for attempt in journal.attempts:
        n_runs = len(journal.runs.get(attempt.attempt_id, ()))
        if attempt.kind.is_order and n_runs > 1:
            findings.append(f"order {attempt.attempt_id} ran {n_runs} times")
        if attempt.kind.is_order and n_runs and attempt.status in NOT_RUN_STATUSES:
            if not attempt.seal:
                findings.append(f"{attempt.attempt_id} got {attempt.status} and ran")
        findings += [
            f"{attempt.attempt_id} of {attempt.kind.service} ran at {run.service}"
            for run in journal.runs.get(attempt.attempt_id, ())
            if not attempt.kind.may_run_at(run.service)
        ]
        is_mixed = attempt.status == 200 and not (
            attempt.seal and attempt.is_body_whole
        )
        if is_mixed:
            findings.append(
                f"{attempt.attempt_id} got an answer without a seal or body"
            )
    return findings


def check_denied(journal):
    """Return findings for 401 or 404 to requests that all configurations allow."""
    return [
        f"{attempt.attempt_id} got {attempt.status} from {attempt.vm} at"
        f" {attempt.ended_s:.2f} for a route and key of all versions"
        for attempt in journal.attempts
        if attempt.has_lasting_route
        and attempt.status in (STATUS_NO_KEY, STATUS_NO_ROUTE)
        and not attempt.seal
    ]


def check_recovered(journal):
    """Return a finding if too few of the last requests were served."""
    end_s = max(attempt.began_s for attempt in journal.attempts)
    last = [x for x in journal.attempts if x.began_s > end_s - RECOVERED_S]
    n_served = sum(x.end == ANSWERED and x.status == 200 for x in last)
    if n_served < RECOVERED_SHARE_MIN * len(last):
        return [f"served {n_served} of the last {len(last)} requests"]
    return []
