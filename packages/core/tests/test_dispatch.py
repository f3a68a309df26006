"""The filter that sends a call to its target."""

import pytest

from hornbeamstand_core.filters.dispatch import dispatch
from hornbeamstand_core.messages import Call, Permit, Release, Request, SendFailure


def test_an_unexpected_error_of_a_send_releases_its_slot():
    """Guards against slots that stay taken until the process ends."""
    call = Call(Request("r1", "shop"))
    call.permit = Permit("shop", "t1", "t1:80", "r1", 0.0)
    steps = dispatch(call)
    permit = next(steps).permit
    release = steps.throw(RuntimeError("no memory"))
    assert isinstance(release, Release) and release.permit is permit
    assert release.result == SendFailure(release.result.kind, True, "t1")
    with pytest.raises(RuntimeError, match="no memory"):
        next(steps)
