"""What the end of a send tells of its target and its service."""

from ..balancer_messages import Decision
from ..messages import CANCELLED, CONNECT_FAILED, STATUS_ERROR, SendFailure

MEAN_WEIGHT = 0.05
SLOWDOWN_WEIGHT = 0.02
# A target that shed a request while it was full gets no other for this long.
FULL_MS = 60.0
MISDIRECTED_STATUS = 421
# A target that answered "not me" is another one; its entry will change.
MISDIRECTED_MS = 2500.0


def learn(service, target, result, latency_ms, now_ms):
    """Learn from one send's result; returns decisions for the log."""
    if isinstance(result, SendFailure):
        return learn_failure(service, target, result, latency_ms, now_ms)
    return learn_response(service, target, result, latency_ms, now_ms)


def learn_failure(service, target, failure, latency_ms, now_ms):
    """Learn from a send without a whole answer."""
    if failure.kind == CANCELLED:
        # A lost hedge is a lower bound of what the target would have taken.
        if service.mean_ms and latency_ms > service.mean_ms:
            target.note_latency_ratio(latency_ms / service.mean_ms, now_ms)
        return []
    is_unreachable = failure.kind == CONNECT_FAILED
    if not is_unreachable:
        target.note_error(True, now_ms)
    if target.note_failure(now_ms, is_unreachable):
        return [ejection_decision(service, target, failure.kind)]
    return []


def learn_response(service, target, response, latency_ms, now_ms):
    """Learn from a whole answer."""
    if response.report is not None:
        target.note_load(response.report, 1, now_ms)
        learn_slowdown(service, response.report)
    elif response.status < STATUS_ERROR:
        target.note_no_load()
    if response.status == MISDIRECTED_STATUS:
        target.ejected_until_ms = now_ms + MISDIRECTED_MS
        return [ejection_decision(service, target, "another target has the address")]
    if response.did_not_run:
        learn_shed(target, response.report, now_ms)
        return []
    if response.status >= STATUS_ERROR:
        target.note_error(True, now_ms)
        if target.note_failure(now_ms):
            return [ejection_decision(service, target, f"status {response.status}")]
        return []
    target.note_success()
    target.note_error(False, now_ms)
    if not target.is_cold(now_ms):
        learn_latency(service, target, latency_ms, now_ms)
    return []


def learn_shed(target, report, now_ms):
    """Tell a full target from one that sheds although it has room."""
    if report is None or report.n_running >= report.n_slots:
        target.full_until_ms = now_ms + FULL_MS
    else:
        target.note_error(True, now_ms)


def learn_slowdown(service, report):
    """Fold one speed figure into the service's usual one."""
    if report.slowdown is not None:
        service.typical_slowdown += SLOWDOWN_WEIGHT * (
            report.slowdown - service.typical_slowdown
        )


def learn_latency(service, target, latency_ms, now_ms):
    """Fold one good latency into the target's and the service's."""
    if service.mean_ms is None:
        service.mean_ms = latency_ms
    target.note_latency_ratio(latency_ms / max(1.0, service.mean_ms), now_ms)
    service.mean_ms += MEAN_WEIGHT * (latency_ms - service.mean_ms)


def ejection_decision(service, target, reason):
    """Return the decision that takes a target out for a while."""
    detail = f"{reason} for_ms={int(target.ejection_ms)}"
    return Decision(service.name, "", "eject", target.entry.target_id, detail)
