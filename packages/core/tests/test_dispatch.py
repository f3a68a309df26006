"""The filter that sends a call to its target."""

import pytest

from hornbeamstand_core.filters.dispatch import dispatch
from hornbeamstand_core.messages import (
    NOT_RUN,
    Call,
    Permit,
    Release,
    Request,
    Send,
    SendFailure,
)


def make_call(waited_ms=0.0, granted_at_ms=0.0):
    """Return a call of a second with a permit from a time after its arrival."""
    call = Call(Request("r1", "shop", waited_ms=waited_ms))
    call.limit_at_ms = call.deadline_at_ms = 1000.0 - waited_ms
    call.permit = Permit("shop", "t1", "t1:80", "r1", granted_at_ms)
    return call


@pytest.mark.parametrize(
    ("waited_ms", "step_ms", "is_refused"),
    [(700.0, 2.0, False), (0.0, 700.0, False), (250.0, 200.0, True)],
)
def test_a_call_whose_steps_were_late_is_refused_before_it_is_sent(
    waited_ms, step_ms, is_refused
):
    """Guards against requests of a late VM that get neither answer nor refusal."""
    call = make_call(waited_ms, step_ms)
    steps = dispatch(call)
    effect = next(steps)
    assert isinstance(effect, Release if is_refused else Send)
    if not is_refused:
        return
    assert not effect.result.may_have_run
    with pytest.raises(StopIteration) as stop:
        next(steps)
    refusal = stop.value.value.err_value
    assert (refusal.status, refusal.certainty) == (503, NOT_RUN)


def test_an_unexpected_error_of_a_send_releases_its_slot():
    """Guards against slots that stay taken until the process ends."""
    call = make_call()
    steps = dispatch(call)
    permit = next(steps).permit
    release = steps.throw(RuntimeError("no memory"))
    assert isinstance(release, Release) and release.permit is permit
    assert release.result == SendFailure(release.result.kind, True, "t1")
    with pytest.raises(RuntimeError, match="no memory"):
        next(steps)
