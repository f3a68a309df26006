"""The start of a target, which a VM states with an answer that it relays to a peer."""

from types import SimpleNamespace

import pytest
from gevent.queue import SimpleQueue
from hornbeamstand_core.edge_messages import NoticeRelayed, RequestPolicy, TargetNotice
from hornbeamstand_core.event_messages import AwaitEvent
from hornbeamstand_core.messages import Answer
from hornbeamstand_core.relay_messages import Relay
from hornbeamstand_entry.clock import make_process_clock
from hornbeamstand_entry.edge.dialect import Dialect, HeaderNames
from hornbeamstand_entry.edge.front import EdgeFront
from hornbeamstand_entry.edge.performers import make_performers
from hornbeamstand_entry.tasks.exchange import ExchangeResult
from hornbeamstand_entry.tasks.response_messages import CompleteResponse
from result import Ok

NAMES = HeaderNames("Id", "Left", "Seal", "Not-Run", "Expect", "Load", "Wait")
NOTICE = TargetNotice(True)
START = "Hornbeam-Target-Start"


def make_dialect():
    return Dialect(
        NAMES, None, "/l", "/r", None, None, None, None, lambda status, get: NOTICE
    )


def header_items(respond, started_wall_ms):
    """Return the headers of a relayed answer of a target with this start."""
    clock = make_process_clock()
    front = EdgeFront(None, None, {}, make_dialect(), clock, None, None, None, None)
    response = CompleteResponse(200, [(START, "7")], [b"ok"], "GET", False)
    outcome = Ok(Answer(200, response, "t1", started_wall_ms))
    sent = []
    context = SimpleNamespace(caller_request_id=None)
    getattr(front, respond)(lambda status, items: sent.extend(items), outcome, context)
    return dict(sent)


def test_a_peer_is_told_the_start_of_the_target():
    items = header_items("_respond_peer", 1 << 40)
    assert items["Hornbeam-Target"] == "t1"
    assert items[START] == str(1 << 40)


def test_an_unknown_start_is_not_told():
    assert START not in header_items("_respond_peer", 0)


def test_a_caller_is_not_told_the_start_of_the_target():
    assert START not in header_items("_respond_caller", 1 << 40)


@pytest.mark.parametrize(
    ("value", "started_wall_ms"),
    [("1700000000000", 1_700_000_000_000), (None, None), ("soon", None), ("-1", None)],
)
def test_the_start_that_a_peer_tells_is_read(value, started_wall_ms):
    """Guards against a notice that is kept for a start that nobody stated."""
    clock = make_process_clock()
    posted = []
    items = [("Hornbeam-Target", "t1")] + ([(START, value)] if value else [])
    response = CompleteResponse(200, items, [b"ok"], "GET", False)
    pools = SimpleNamespace(
        post=lambda address, exchange: exchange.reply_to.put(
            ExchangeResult(exchange, response)
        )
    )
    performers = make_performers(
        SimpleNamespace(post=posted.append),
        None,
        pools,
        make_dialect(),
        None,
        None,
        clock,
        SimpleNamespace(peer_port=1),
        None,
    )
    context = SimpleNamespace(
        method="GET",
        path="/",
        header_items=[],
        body=b"",
        caller_request_id="r",
        mailbox=SimpleQueue(),
        pending=[],
        exchanges=[],
        key_by_exchange={},
    )
    policy = RequestPolicy("shop", True, 1000.0, 600.0, 1, 2)
    until_ms = clock.now_ms() + 1000.0
    performers[Relay](Relay("10.0.0.2", policy, until_ms), context)
    performers[AwaitEvent](AwaitEvent(until_ms), context)
    assert posted == [NoticeRelayed("shop", "t1", NOTICE, started_wall_ms)]
