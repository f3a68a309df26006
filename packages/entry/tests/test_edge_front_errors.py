"""What a caller gets, and what is given back, when its request meets an error."""

import errno
from random import Random
from types import SimpleNamespace

import pytest
from gevent import socket
from hornbeamstand_core.controllers.load.admission import Admission
from hornbeamstand_core.edge_messages import (
    Abort,
    AcquireSlot,
    CheckStop,
    FindRoute,
    RequestPolicy,
    Routed,
    StartSend,
)
from hornbeamstand_core.event_messages import AwaitEvent, ExchangeEnded
from hornbeamstand_core.filters.edge_chain import build_edge_chain
from hornbeamstand_core.messages import (
    Account,
    Permit,
    Release,
    ReportError,
    UpstreamResponse,
)
from hornbeamstand_core.routes import CallerLimits
from hornbeamstand_entry.clock import make_process_clock
from hornbeamstand_entry.edge.dialect import Dialect, HeaderNames
from hornbeamstand_entry.edge.front import EdgeFront
from hornbeamstand_entry.edge.servers import start_server
from hornbeamstand_entry.edge.suspensions import Suspensions, make_boot_clock
from hornbeamstand_entry.tasks.byte_budget import ByteBudget
from hornbeamstand_entry.tasks.failures import report_failures_to
from hornbeamstand_entry.tasks.response_messages import CompleteResponse

NAMES = HeaderNames("Id", "Left", "Seal", "Not-Run", "Expect", "Load", "Wait")
REQUEST = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
PERMIT = Permit("shop", "t1", "127.0.0.1:1", "r~1", 0.0)


class FrontHarness:
    """An EdgeFront on a port of its own, with a performer that fails."""

    def __init__(self, stack, header_value="v", failing_class=None):
        self.effects = []
        self.reports = []
        self.failing_class = failing_class
        policy = RequestPolicy("shop", False, 1200.0, 600.0, 1, 2)
        response = CompleteResponse(200, [("A", header_value)], [b"ok"], "POST", False)
        ended = ExchangeEnded(PERMIT, UpstreamResponse(200, response), 1.0)
        self.replies = {
            FindRoute: Routed(policy, None, 0.0),
            CheckStop: True,
            AcquireSlot: PERMIT,
            AwaitEvent: ended,
        }
        classes = (*self.replies, StartSend, Abort, Release, Account, ReportError)
        node = SimpleNamespace(
            routing=SimpleNamespace(config=None), admission=Admission(Random(1))
        )
        clock = make_process_clock()
        self.front = EdgeFront(
            node,
            build_edge_chain(),
            dict.fromkeys(classes, self.perform),
            Dialect(NAMES, None, "/l", "/r", None, None, None, None),
            clock,
            SimpleNamespace(vm_id="vm1"),
            ByteBudget(1000),
            None,
            Suspensions(clock, make_boot_clock()),
        )
        report_failures_to(lambda *report: self.reports.append(report), stack)
        self.server = start_server(
            "127.0.0.1:0",
            self.front.serve_caller,
            stack,
            lambda: 5000.0,
            CallerLimits,
        )

    def perform(self, effect, context):
        self.effects.append(effect)
        if type(effect) is self.failing_class:
            raise OSError(errno.ECONNRESET, "reset by peer")
        return self.replies.get(type(effect))

    def n_performed(self, effect_class):
        return sum(type(effect) is effect_class for effect in self.effects)

    def request_status(self):
        """Send a request with a body; return the status of its response."""
        address = ("127.0.0.1", self.server.server_port)
        with socket.create_connection(address, timeout=3.0) as sock:
            sock.sendall(REQUEST)
            return int(sock.recv(4096).split(b" ")[1])

    def assert_nothing_is_held(self):
        assert self.front.n_requests == 0
        assert self.front.body_budget.n_used_bytes == 0


@pytest.mark.parametrize(
    "failing_class, status, n_released",
    [(AcquireSlot, 503, 0), (StartSend, 502, 1), (AwaitEvent, 502, 1)],
)
def test_caller_gets_a_true_answer_and_the_slot_is_released_after_an_error(
    stack, failing_class, status, n_released
):
    harness = FrontHarness(stack, failing_class=failing_class)
    assert harness.request_status() == status
    assert harness.n_performed(Release) == n_released
    assert harness.n_performed(Account) == harness.n_performed(ReportError) == 1
    harness.assert_nothing_is_held()


def test_error_behind_the_filters_is_logged_and_does_not_break_the_connection(stack):
    harness = FrontHarness(stack, header_value="a\u20ac")
    assert harness.request_status() == 500
    assert [name for name, _, _ in harness.reports] == ["http-server"]
    harness.assert_nothing_is_held()
