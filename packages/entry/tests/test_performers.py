"""What a failed forwarded request changes in the recorded capacity of the peer."""

from types import SimpleNamespace

import pytest
from gevent.queue import SimpleQueue
from hornbeamstand_core.balancer_messages import CapacityReport
from hornbeamstand_core.event_messages import AnswerMarginGrown
from hornbeamstand_core.messages import (
    CONNECT_FAILED,
    NOT_RUN,
    Forward,
    Permit,
    Refusal,
    Request,
    Send,
    SendFailure,
)
from hornbeamstand_core.order_messages import DONE, SendOrders, StoredOrder
from hornbeamstand_core.view import Member, View
from hornbeamstand_entry.clock import make_process_clock
from hornbeamstand_entry.context import CALLER_GONE, RequestContext
from hornbeamstand_entry.peer_codec import decode_orders, encode_orders
from hornbeamstand_entry.performers import make_performers
from hornbeamstand_entry.tasks.exchange import ExchangeResult
from hornbeamstand_entry.tasks.response_messages import CompleteResponse


def forward_request(end):
    """Forward one request to a peer; return the messages to the control task."""
    clock = make_process_clock()
    mailbox = SimpleQueue()
    control_task = SimpleNamespace(task=SimpleNamespace(post=mailbox.put))
    members = {"vm1": Member("vm1", "127.0.0.1:1", "", "fd0")}
    node = SimpleNamespace(membership=SimpleNamespace(view=View(1, members)))
    pools = SimpleNamespace(
        post=lambda address, exchange: exchange.reply_to.put(end(exchange))
    )
    settings = SimpleNamespace(answer_max_bytes=1000)
    performers = make_performers(node, control_task, None, pools, None, clock, settings)
    context = RequestContext(Request("r~1", "shop"), "/", [], b"")
    effect = Forward("vm1", clock.now_ms() + 1000.0, True)
    assert isinstance(performers[Forward](effect, context), SendFailure)
    return [mailbox.get() for _ in range(len(mailbox))]


def test_a_target_is_expected_to_echo_the_id_of_the_request():
    exchanges = []
    pools = SimpleNamespace(post=lambda address, exchange: exchanges.append(exchange))
    settings = SimpleNamespace(answer_max_bytes=1000)
    clock = make_process_clock()
    performers = make_performers(None, None, None, pools, None, clock, settings)
    context = RequestContext(Request("r~1", "shop"), "/", [], b"")
    permit = Permit("shop", "t1", "127.0.0.1:1", "r~1", clock.now_ms())
    performers[Send](Send(permit, clock.now_ms() + 1.0, True), context)
    assert [exchange.expected_id for exchange in exchanges] == ["r~1"]


def test_a_send_in_progress_ends_sooner_once_the_vm_is_late():
    """Guards against late answers of a VM that got late after the send."""
    pools = SimpleNamespace(post=lambda address, exchange: None)
    settings = SimpleNamespace(answer_max_bytes=1000)
    clock = make_process_clock()
    performers = make_performers(None, None, None, pools, None, clock, settings)
    context = RequestContext(Request("r~1", "shop"), "/", [], b"")
    context.call.limit_ms = 2000.0
    context.call.limit_at_ms = context.call.deadline_at_ms = clock.now_ms() + 300.0
    permit = Permit("shop", "t1", "127.0.0.1:1", "r~1", clock.now_ms())
    context.mailbox.put(AnswerMarginGrown(250.0))
    began_ms = clock.now_ms()
    performers[Send](Send(permit, context.call.deadline_at_ms, True), context)
    assert clock.now_ms() - began_ms < 200.0


@pytest.mark.parametrize("status", [200, 400, 408, 431, 500])
def test_an_answer_that_only_the_peers_server_wrote_is_no_answer(status):
    """Guards against a peer's own error that callers get as an answer that ran."""
    response = CompleteResponse(status, [], [b""], "POST", False)
    assert forward_request(lambda exchange: ExchangeResult(exchange, response)) == []


def test_refused_connection_sets_the_peers_free_capacity_to_zero():
    (report,) = forward_request(
        lambda exchange: ExchangeResult(exchange, SendFailure(CONNECT_FAILED, False))
    )
    assert isinstance(report, CapacityReport)
    assert report.n_free == 0


def test_orders_of_a_peer_with_an_unknown_outcome_are_malformed():
    refusal = Refusal("r", NOT_RUN, 503)
    stored = StoredOrder("shop", "k", DONE, refusal, 0.0, "vm1")
    raw = encode_orders("vm1", SendOrders("vm2", [stored]))
    assert decode_orders(raw).orders == [stored]
    assert decode_orders(raw.replace(b"\xa1f", b"\xa1z", 1)) is None


def test_caller_disconnect_leaves_the_peers_capacity_unchanged():
    assert forward_request(lambda exchange: CALLER_GONE) == []
