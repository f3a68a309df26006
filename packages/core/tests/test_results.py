"""What the product's own mode learns of a target from the result of a send."""

from hornbeamstand_core.config import ServiceSpec, TargetSpec
from hornbeamstand_core.controllers.owned_targets.choice import make_round_robin
from hornbeamstand_core.controllers.owned_targets.limits import make_aimd
from hornbeamstand_core.controllers.owned_targets.results import learn_result
from hornbeamstand_core.controllers.owned_targets.service import ServiceController
from hornbeamstand_core.controllers.owned_targets.target_state import (
    COLD,
    DRAINING,
    READY,
)
from hornbeamstand_core.messages import (
    NOT_RUN,
    TIMED_OUT,
    Acquire,
    SendFailure,
    TargetReport,
    UpstreamResponse,
)


def make_service():
    """Return a service with one target, which this VM owns."""
    spec = ServiceSpec({"t1": TargetSpec("127.0.0.1:80", "fd0", 4)})
    service = ServiceController("shop", spec, "vm", make_round_robin(), make_aimd(), 1)
    service.fence_end_at_ms = 10_000.0
    service.gain_target("t1", is_open=True)
    return service


def test_a_request_that_comes_after_its_deadline_gets_no_slot():
    """Guards against slots, and answers, of requests whose time has passed."""
    service = make_service()
    message = Acquire("shop", "r1", 100.0, (), may_forward=False, is_retry=False)
    reply, _ = service.acquire(message, 100.0)
    assert reply.reply.certainty == NOT_RUN


def test_sends_that_this_vm_began_too_late_say_nothing_about_their_target():
    """Guards against a late VM that finds no target for the requests that follow."""
    service = make_service()
    state = service.targets["t1"]
    service.baseline.note(10.0)
    limit_before = state.limit
    for _ in range(5):
        failure = SendFailure(TIMED_OUT, False, "127.0.0.1:80")
        learn_result(service, state, failure, 900.0, 1000.0)
    assert state.ejected_until_ms <= 1000.0
    assert state.limit == limit_before


def hear(service, state, start_id="", sent_at_ms=0.0, now_ms=0.0):
    """Learn from the answer to a request; return the target's phase."""
    report = TargetReport(start_id, state)
    result = UpstreamResponse(200, report=report)
    target = service.targets["t1"]
    learn_result(service, target, result, now_ms - sent_at_ms, now_ms)
    return target.phase


def test_an_answer_to_an_earlier_request_opens_no_draining_target():
    """Guards against requests to a target that has said that it drains."""
    service = make_service()
    hear(service, DRAINING, sent_at_ms=100.0, now_ms=120.0)
    assert hear(service, READY, sent_at_ms=110.0, now_ms=130.0) == DRAINING
    assert hear(service, READY, sent_at_ms=125.0, now_ms=140.0) == COLD


def test_an_answer_of_an_earlier_start_does_not_close_the_later_one():
    """Guards against a restarted target that gets no request until it is probed."""
    service = make_service()
    hear(service, COLD, "start-1", sent_at_ms=0.0, now_ms=10.0)
    hear(service, COLD, "start-2", sent_at_ms=100.0, now_ms=120.0)
    assert hear(service, DRAINING, "start-1", sent_at_ms=90.0, now_ms=130.0) == COLD
    assert service.targets["t1"].start_id == "start-2"
    assert hear(service, DRAINING, "start-2", sent_at_ms=90.0, now_ms=140.0) == DRAINING
