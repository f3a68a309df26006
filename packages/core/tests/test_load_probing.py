"""Which targets are probed for their load, and which ones get requests unseen."""

from tests.edge_parts import ServiceHarness, is_permit, make_entry, needs_probes

from hornbeamstand_core.balancer_messages import SendProbe
from hornbeamstand_core.controllers.load.placing import UNKNOWN
from hornbeamstand_core.edge_messages import LoadReport


def test_a_target_of_unknown_slowdown_is_probed_before_its_first_request():
    """After a restart no slowdown is known, and a third of the targets are slow."""
    harness = ServiceHarness([make_entry("t1"), make_entry("t2"), make_entry("t3")])
    reply = harness.acquire(n_probe_rounds=0)
    assert needs_probes(reply)
    assert {probe.target_id for probe in reply.probes} == {"t1", "t2", "t3"}
    harness.report_load("t1", 5.0)
    harness.report_load("t2", 1.0)
    harness.report_load("t3", 5.0)
    assert harness.acquire(n_probe_rounds=1).target_id == "t2"


def test_a_slow_target_that_was_never_used_keeps_no_request_waiting():
    """Plays the first requests after a start, when no target has been used yet."""
    harness = ServiceHarness([make_entry("t1"), make_entry("t2"), make_entry("t3")])
    harness.now_ms = 2000.0
    harness.report_load("t1", slowdown=4.0)
    harness.report_load("t3", slowdown=1.0)
    assert harness.acquire().target_id == "t3"
    assert harness.acquire().target_id == "t3"


def test_an_unused_target_is_probed_and_gets_the_request_if_it_is_fast():
    harness = ServiceHarness([make_entry("t1"), make_entry("t2"), make_entry("t3")])
    harness.now_ms = 2000.0
    harness.report_load("t1", slowdown=1.0)
    harness.release(harness.acquire(), report=LoadReport(0, 0, 3, 1.0))
    reply = harness.acquire(n_probe_rounds=0)
    assert [probe.target_id for probe in reply.probes] == ["t2"]
    harness.report_load("t2", slowdown=4.0)
    assert harness.acquire(n_probe_rounds=1).target_id == "t1"
    reply = harness.acquire(n_probe_rounds=0)
    assert [probe.target_id for probe in reply.probes] == ["t3"]
    harness.report_load("t3", slowdown=1.0)
    assert harness.acquire(n_probe_rounds=1).target_id == "t3"


def test_an_unused_target_that_reports_no_load_gets_the_next_request():
    harness = ServiceHarness([make_entry("t1"), make_entry("t2")])
    harness.now_ms = 2000.0
    harness.report_load("t1", slowdown=1.0)
    harness.release(harness.acquire(), report=LoadReport(0, 0, 3, 1.0))
    harness.report_no_load("t2")
    assert harness.acquire(n_probe_rounds=0).target_id == "t2"


def test_few_targets_are_probed_for_each_request_that_waits():
    """Plays the first second after a start: many targets, none known to be fast.

    A VM that probes all of them opens a connection to each, and is too busy then to
    notice their answers in time.
    """
    harness = ServiceHarness([make_entry(f"t{i}") for i in range(1, 101)])
    for i in range(1, 101):
        harness.report_load(f"t{i}", slowdown=4.0)

    def n_probes_at(now_ms):
        harness.now_ms = now_ms
        messages = harness.service.drain(now_ms)
        return sum(isinstance(message, SendProbe) for message in messages)

    assert harness.acquire(objective_ms=5000.0, deadline_ms=9000.0) is None
    assert [n_probes_at(now_ms) for now_ms in (60.0, 70.0, 120.0)] == [3, 0, 3]
    assert harness.acquire(objective_ms=5000.0, deadline_ms=9000.0) is None
    assert n_probes_at(180.0) <= 6


def test_waiting_requests_find_the_targets_that_become_fast():
    harness = ServiceHarness([make_entry(f"t{i}") for i in range(1, 21)])
    for i in range(1, 21):
        harness.report_load(f"t{i}", slowdown=4.0)
    assert harness.acquire(objective_ms=5000.0, deadline_ms=9000.0) is None
    probed = set()
    for now_ms in range(60, 460, 10):
        harness.now_ms = float(now_ms)
        messages = harness.service.drain(harness.now_ms)
        probed |= {m.target_id for m in messages if isinstance(m, SendProbe)}
    assert len(probed) == 20


def test_a_target_that_reports_no_slowdown_is_not_probed_again():
    harness = ServiceHarness([make_entry("t1")])
    assert needs_probes(harness.acquire(n_probe_rounds=0))
    harness.report_no_load("t1")
    assert is_permit(harness.acquire(n_probe_rounds=0))


def test_a_target_that_responds_without_load_figures_is_not_probed():
    harness = ServiceHarness([make_entry("t1")])
    harness.release(harness.acquire())
    assert is_permit(harness.acquire(n_probe_rounds=0))


def test_a_target_that_does_not_answer_a_load_probe_counts_as_slow():
    harness = ServiceHarness([make_entry("t1"), make_entry("t2")])
    harness.report_no_load("t1", is_answered=False)
    harness.report_load("t2", 1.2)
    assert harness.acquire(n_probe_rounds=2).target_id == "t2"


def test_a_target_that_reports_no_load_is_not_slow_when_it_answers_no_probe():
    """Guards against hedges sent early because a busy target left a probe unanswered.

    Busy targets are asked whether they are cold, also those without load figures.
    """
    harness = ServiceHarness([make_entry("t1")])
    harness.release(harness.acquire())
    harness.report_no_load("t1", is_answered=False)
    assert harness.acquire().speed_class == UNKNOWN
