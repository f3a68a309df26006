"""Slots that are requested for callers that have left."""

from types import SimpleNamespace

import pytest
from hornbeamstand_core.edge_messages import FIRST, AcquireSlot
from hornbeamstand_core.messages import Permit, Withdraw
from hornbeamstand_entry.clock import make_process_clock
from hornbeamstand_entry.context import CALLER_GONE
from hornbeamstand_entry.edge.context import STOP_ENDS, EdgeContext
from hornbeamstand_entry.edge.performers import make_performers

EFFECT = AcquireSlot("shop", "r~1", "r~1#1", FIRST, False, 1, 1000.0, 600.0)
PERMIT = Permit("shop", "t1", "127.0.0.1:1", "r~1#1", 0.0)


def acquire(context):
    """Request a slot, which is granted; return the messages to the control task."""
    messages = []

    def ask(effect, mailbox):
        messages.append(effect)
        mailbox.put(PERMIT)

    control_task = SimpleNamespace(ask=ask, post=messages.append)
    clock = make_process_clock()
    performers = make_performers(
        control_task, None, None, None, None, None, clock, None, None
    )
    assert performers[AcquireSlot](EFFECT, context) is PERMIT
    return messages


@pytest.mark.parametrize("interrupt", [CALLER_GONE, STOP_ENDS])
@pytest.mark.parametrize("events", ["pending", "mailbox"])
def test_a_request_does_not_wait_for_a_slot_if_its_caller_left_before(
    events, interrupt
):
    """Guards against an order that waits, and then runs, for nobody."""
    context = EdgeContext("r", "POST", "/", [], b"")
    put = context.pending.append if events == "pending" else context.mailbox.put
    put(interrupt)
    assert acquire(context) == [EFFECT, Withdraw("shop", "r~1")]
    assert list(context.pending) == [interrupt]


def test_a_request_whose_caller_is_there_is_not_withdrawn():
    assert acquire(EdgeContext("r", "POST", "/", [], b"")) == [EFFECT]
