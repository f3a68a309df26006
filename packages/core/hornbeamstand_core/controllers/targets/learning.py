"""Updates of a target's and a service's state from the result of a send."""

from ...balancer_messages import Decision
from ...messages import (
    CANCELLED,
    CONNECT_FAILED,
    LACKS_OF_VM,
    STATUS_ERROR,
    TIMED_OUT,
    SendFailure,
)

# Weight of a new latency in the service's mean.
MEAN_WEIGHT = 0.05
# Weight of a new slowdown figure in the service's typical slowdown.
SLOWDOWN_WEIGHT = 0.02
# Time for which a target that rejected a request while it was full gets no other.
FULL_MS = 60.0
# Multiple of the mean latency from which on a cancelled send counts as an error: its
# target may never have answered.
HANG_FACTOR = 5.0
# Multiple of the mean size of an exchange, and minimum size, from which on the response
# to a cancelled send counts as an error: its target may never have ended it.
RUNAWAY_FACTOR = 16
RUNAWAY_MIN_BYTES = 1 << 20
# Status "Misdirected Request": the request was meant for a different target.
MISDIRECTED_STATUS = 421
# Ejection time after a misdirected request: a different target has the address now,
# and the entry in discovery will change.
MISDIRECTED_MS = 2500.0


def learn(service, target, result, latency_ms, now_ms):
    """Update the target and the service; return decisions for the log."""
    if isinstance(result, SendFailure):
        return learn_failure(service, target, result, latency_ms, now_ms)
    return learn_response(service, target, result, latency_ms, now_ms)


def learn_failure(service, target, failure, latency_ms, now_ms):
    """Learn from a send that did not get a complete response."""
    if failure.kind in LACKS_OF_VM:
        return []
    if failure.kind == CANCELLED:
        return learn_cancelled(service, target, failure, latency_ms, now_ms)
    if failure.kind == TIMED_OUT and not failure.may_have_run:
        # The time ended on this VM, before the request was sent.
        return []
    is_unreachable = failure.kind == CONNECT_FAILED
    if not is_unreachable:
        target.note_error(True, now_ms)
    if target.note_failure(now_ms, is_unreachable):
        return [ejection_decision(service, target, failure.kind, now_ms)]
    return []


def learn_cancelled(service, target, failure, latency_ms, now_ms):
    """Learn from a send that was cancelled, such as a hedge that came second.

    Its latency and what was read of its response are lower bounds of what the target
    would have taken and sent.
    """
    if service.mean_ms and latency_ms > service.mean_ms:
        target.note_latency_ratio(latency_ms / service.mean_ms, now_ms)
    if is_runaway(failure.n_read_bytes, service.leaving.mean_bytes):
        target.note_error(True, now_ms)
        if target.note_failure(now_ms):
            reason = f"{failure.n_read_bytes} bytes without an end"
            return [ejection_decision(service, target, reason, now_ms)]
    elif service.mean_ms and latency_ms > HANG_FACTOR * service.mean_ms:
        target.note_error(True, now_ms)
    return []


def is_runaway(n_read_bytes, mean_bytes):
    """Return whether an incomplete response is far longer than those of its service."""
    return n_read_bytes > max(RUNAWAY_MIN_BYTES, RUNAWAY_FACTOR * mean_bytes)


def learn_response(service, target, response, latency_ms, now_ms):
    """Learn from a complete response."""
    out = []
    notice = heard_notice(response)
    if notice is not None:
        out += service.hear_notice(target, notice, now_ms)
    return out + learn_outcome(service, target, response, latency_ms, now_ms)


def heard_notice(result):
    """Return the notice in the result of a send, of its target itself, or None.

    A misdirected request was answered by another target.
    """
    if isinstance(result, SendFailure) or result.status == MISDIRECTED_STATUS:
        return None
    return result.notice


def learn_outcome(service, target, response, latency_ms, now_ms):
    """Learn from the load and the status of a complete response."""
    if response.report is not None:
        target.note_load(response.report, 1, now_ms)
        learn_slowdown(service, response.report)
    elif response.status < STATUS_ERROR:
        target.note_no_load()
    if response.status == MISDIRECTED_STATUS:
        target.ejected_until_ms = now_ms + MISDIRECTED_MS
        reason = "another target has the address"
        return [ejection_decision(service, target, reason, now_ms)]
    if response.did_not_run:
        learn_shed(target, response.report, now_ms)
        return []
    if response.status >= STATUS_ERROR:
        target.note_error(True, now_ms)
        if target.note_failure(now_ms):
            reason = f"status {response.status}"
            return [ejection_decision(service, target, reason, now_ms)]
        return []
    target.note_success()
    target.note_error(False, now_ms)
    if response.n_bytes:
        service.leaving.note_size(response.n_bytes)
    if not target.is_cold(now_ms):
        learn_latency(service, target, latency_ms, now_ms)
    return []


def learn_shed(target, report, now_ms):
    """Learn from a request that the target rejected without running it.

    If it reports free slots at the same time it is not full, and the rejection counts
    as an error.
    """
    if report is None or report.n_running >= report.n_slots:
        target.full_until_ms = now_ms + FULL_MS
    else:
        target.note_error(True, now_ms)


def learn_slowdown(service, report):
    """Update the service's typical slowdown with one reported figure."""
    if report.slowdown is not None:
        service.typical_slowdown += SLOWDOWN_WEIGHT * (
            report.slowdown - service.typical_slowdown
        )


def learn_latency(service, target, latency_ms, now_ms):
    """Update the target's latency ratio and the service's mean latency."""
    if service.mean_ms is None:
        service.mean_ms = latency_ms
    target.note_latency_ratio(latency_ms / max(1.0, service.mean_ms), now_ms)
    service.mean_ms += MEAN_WEIGHT * (latency_ms - service.mean_ms)
    service.fast_latency.note(latency_ms, now_ms)


def ejection_decision(service, target, reason, now_ms):
    """Return the decision for the log that a target was ejected."""
    detail = f"{reason} for_ms={int(target.ejected_until_ms - now_ms)}"
    return Decision(service.name, "", "eject", target.entry.target_id, detail)
