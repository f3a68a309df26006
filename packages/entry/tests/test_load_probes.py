"""Load probes of a VM that is late itself."""

import socket
import time
from types import SimpleNamespace

import gevent
from gevent.queue import SimpleQueue
from hornbeamstand_core.balancer_messages import SendProbe
from hornbeamstand_core.load_probe_messages import ProbeLoads, ProbesNeeded
from hornbeamstand_core.messages import TIMED_OUT, SendFailure
from hornbeamstand_entry.clock import make_process_clock
from hornbeamstand_entry.edge import load_probes
from hornbeamstand_entry.edge.load_probes import LoadProber
from hornbeamstand_entry.edge.performers import make_performers
from hornbeamstand_entry.tasks.exchange import ExchangeResult
from hornbeamstand_entry.tasks.pools import Pools

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
# Timeout of a probe within which it is sent on a busy machine too.
TIMEOUT_MS = 500.0
NOT_SENT = SendFailure(TIMED_OUT, False, "127.0.0.1:1")


def make_dialect():
    """Return a dialect whose targets report no load."""
    return SimpleNamespace(
        headers=SimpleNamespace(load="Server-Load"), decode_notice=lambda *args: None
    )


def test_a_probe_that_was_not_sent_says_nothing_about_its_target(stack):
    """Guards against a late VM that takes its targets for slow."""
    results = SimpleQueue()
    control_task = SimpleNamespace(post=results.put)
    pools = SimpleNamespace(
        post=lambda address, exchange: exchange.reply_to.put(
            ExchangeResult(exchange, NOT_SENT)
        )
    )
    clock = make_process_clock()
    prober = LoadProber(pools, control_task, make_dialect(), clock)
    prober.start(stack)
    prober.post(SendProbe("shop", "t1", "127.0.0.1:1", "/health"))
    gevent.sleep(0.05)
    metrics = SimpleNamespace(n_load_probes=0)
    performers = make_performers(
        control_task, pools, None, make_dialect(), metrics, None, clock, None, None
    )
    context = SimpleNamespace(mailbox=SimpleQueue(), key_by_exchange={}, pending=[])
    needed = ProbesNeeded([SendProbe("shop", "t1", "127.0.0.1:1", "/health")])
    performers[ProbeLoads](ProbeLoads(needed), context)
    assert results.empty()


def test_an_answer_that_a_late_vm_has_not_read_yet_counts(stack, monkeypatch):
    monkeypatch.setattr(load_probes, "LOAD_PROBE_TIMEOUT_MS", TIMEOUT_MS)
    listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    results = SimpleQueue()
    clock = make_process_clock()
    prober = LoadProber(
        Pools(clock, stack), SimpleNamespace(post=results.put), make_dialect(), clock
    )
    prober.start(stack)
    prober.post(SendProbe("shop", "t1", address, "/health"))
    while not any(exchange.is_sent for exchange in prober._in_flight):
        gevent.sleep(0.001)
    target = stack.enter_context(listener.accept()[0])
    target.sendall(ANSWER)
    # The prober's next message comes before its sockets are read.
    prober.post(SendProbe("shop", "t2", address, "/health"))
    time.sleep(1.5 * TIMEOUT_MS / 1000.0)
    result = results.get(timeout=5.0)
    assert (result.target_id, result.is_answered) == ("t1", True)
