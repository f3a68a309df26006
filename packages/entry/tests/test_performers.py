"""Hand-overs: what a failed one tells of the peer."""

from types import SimpleNamespace

from gevent.queue import SimpleQueue
from hornbeamstand_core.balancer_messages import CapacityReport
from hornbeamstand_core.messages import CONNECT_FAILED, Forward, Request, SendFailure
from hornbeamstand_core.view import Member, View
from hornbeamstand_entry.clock import make_process_clock
from hornbeamstand_entry.context import CALLER_GONE, RequestContext
from hornbeamstand_entry.performers import make_performers
from hornbeamstand_entry.tasks.connections import Done


def forward(end):
    """Hand one request to a peer; returns what the decider was told."""
    clock = make_process_clock()
    mailbox = SimpleQueue()
    control_task = SimpleNamespace(task=SimpleNamespace(post=mailbox.put))
    members = {"vm1": Member("vm1", "127.0.0.1:1", "", "fd0")}
    node = SimpleNamespace(membership=SimpleNamespace(view=View(1, members)))
    pools = SimpleNamespace(post=lambda address, order: order.reply_to.put(end(order)))
    settings = SimpleNamespace(answer_max_bytes=1000)
    performers = make_performers(node, control_task, None, pools, None, clock, settings)
    context = RequestContext(Request("r~1", "shop"), "/", [], b"")
    effect = Forward("vm1", clock.now_ms() + 1000.0, True)
    assert isinstance(performers[Forward](effect, context), SendFailure)
    return [mailbox.get() for _ in range(len(mailbox))]


def test_peer_that_refuses_connections_gets_no_more():
    (news,) = forward(lambda order: Done(order, SendFailure(CONNECT_FAILED, False)))
    assert isinstance(news, CapacityReport)
    assert news.n_free == 0


def test_caller_that_goes_away_says_nothing_of_the_peer():
    assert forward(lambda order: CALLER_GONE) == []
