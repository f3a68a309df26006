"""What a decision about a request does: plain functions of a service's capacity.

A request gets a slot of a target, or a refusal. Each returns the reply and the
decisions for the log.
"""

from ...balancer_messages import Decision, DeferredReply
from ...edge_messages import FIRST
from ...messages import CANCELLED, NOT_RUN, Permit, Refusal
from ..domains.leaving import leaving_reason
from ..targets.load_probing import cold_check
from .placing import speed_class
from .retry_delay import retry_delay_ms


def grant(service, message, target, now_ms):
    """Take a slot of a target for a request; return the reply and decisions."""
    leaves = "" if service.is_near(target) else note_leaving(service, now_ms)
    service.n_sent += 1
    target.start(message.dispatch_id, now_ms)
    if message.kind == FIRST:
        service.shares.note_served(message, now_ms)
    service.versions.note_sent(message, target, now_ms)
    return [
        DeferredReply(
            message.request_id, make_permit(service, message, target, now_ms)
        ),
        describe_send(service, message, target, leaves, now_ms),
        *cold_check(service, target, now_ms),
    ]


def make_permit(service, message, target, now_ms):
    """Return the Permit of a send to a target."""
    entry = target.entry
    return Permit(
        service.name,
        entry.target_id,
        entry.address,
        message.dispatch_id,
        now_ms,
        speed_class(target, now_ms),
        entry.started_wall_ms,
        message.objective_ms,
    )


def describe_send(service, message, target, leaves, now_ms):
    """Return the Decision of a send; ``leaves`` tells why it leaves, if it does."""
    entry = target.entry
    detail = (
        f"{message.kind} pace={speed_class(target, now_ms)} speed={target.slowdown}"
        f" age_ms={int(now_ms - target.slowdown_at_ms)}"
        f" in_flight={len(target.started_at_ms)}/{entry.n_slots}{leaves}"
    )
    return Decision(service.name, message.request_id, "send", entry.target_id, detail)


def note_leaving(service, now_ms):
    """Count a request that leaves this failure domain; return why, for the log."""
    reason = leaving_reason(service, now_ms)
    service.leaving.n_left[reason] += 1
    return f" leaves={reason}"


def refuse(service, message, reason, now_ms):
    """Return the refusal of a request that did not run, and the decision."""
    will_return = reason != CANCELLED
    retry_ms = retry_delay_ms(service, message, service.rng, now_ms, will_return)
    refusal = Refusal(reason, NOT_RUN, 503, "choose", service.name, retry_ms)
    action = "refuse" if message.kind == FIRST else "no repeat"
    return [
        DeferredReply(message.request_id, refusal),
        Decision(service.name, message.request_id, action, "", reason),
    ]
