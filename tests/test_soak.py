"""The soak test: its schedule, its checks on made-up records, and short runs."""

import os
import socket
from types import SimpleNamespace

import pytest

from soak import checks, notice_checks
from soak.cell import SoakCell
from soak.faults import FaultInjector
from soak.notices import FOREIGN_BODY
from soak.records import Attempt, Journal, Span, VersionProbe
from soak.run import find_unexpected_exits, run_seed
from soak.schedule import (
    FAULT_FREE_END_S,
    FAULT_FREE_START_S,
    Fault,
    draw_all,
    draw_cold_notices,
    draw_faults,
)
from soak.senders import find_owner
from standins.edge_cell import RETRY_SLACK, EdgeCell
from standins.server import Server

# Length of a run.
SHORT_S = 11.0
N_VMS = 4
# Number of callers that send each server of the idempotent service more requests than
# the check of cold starts allows.
N_CALLERS_FOR_COLD_STARTS = 36
# Seeds that once had a finding, each with a comment that names the cause.
REGRESSION_SEEDS = ()


@pytest.mark.parametrize("seed", [7, *REGRESSION_SEEDS])
def test_guarantees_hold_through_the_faults_of_a_seed(seed, tmp_path):
    report = run_seed(seed, SHORT_S, N_VMS, tmp_path)
    assert report.findings == []
    assert report.statuses[200] > 0


def test_cold_rates_hold_under_a_load_that_would_break_them(tmp_path):
    """Guards against a check of cold starts that too low a load never makes fail."""
    report = run_seed(
        7, SHORT_S, N_VMS, tmp_path, draw_cold_notices, N_CALLERS_FOR_COLD_STARTS
    )
    assert report.n_faults > 0
    assert report.findings == []
    assert report.statuses[200] > 0


def test_a_seed_always_draws_the_same_faults():
    assert [slot_values(f) for f in draw_faults(5, 30.0)] == [
        slot_values(f) for f in draw_faults(5, 30.0)
    ]
    assert draw_faults(5, 30.0) != draw_faults(6, 30.0)


def test_notices_leave_the_other_faults_of_a_seed_as_they_are():
    faults = [slot_values(f) for f in draw_faults(5, 30.0)]
    everything = [slot_values(f) for f in draw_all(5, 30.0)]
    assert [values for values in everything if values in faults] == faults
    assert len(everything) > len(faults)


def slot_values(fault):
    return [getattr(fault, name) for name in fault.__slots__]


@pytest.mark.parametrize("seed", range(1, 20))
def test_both_ends_of_a_run_are_free_of_faults(seed):
    for fault in draw_all(seed, 20.0):
        assert fault.at_s >= FAULT_FREE_START_S
        assert fault.at_s + fault.duration_s <= 20.0 - FAULT_FREE_END_S + 1e-9


# Records that violate one guarantee each: the check of that guarantee must find it.


def server(name="desk-0", service="desk", domain="ub-a"):
    return Server(name, service, domain)


def attempt(name, status=200, sent_s=10.0, is_order=True, **values):
    path = f"/orders/{name}"
    body = values.get("body", f"ran {path} ".encode())
    seal = values.get("seal", "seal-desk-0")
    return Attempt(
        name, "edge-0", path, is_order, sent_s, sent_s + 0.1, status, seal, body
    )


def journal_of(*attempts):
    journal = Journal()
    journal.attempts += attempts
    return journal


def test_an_order_that_ran_twice_is_caught():
    one, two = server(), server("desk-1")
    one.runs["a"] += 1
    assert checks.check_once(journal_of(attempt("a")), [one, two]) == []
    two.runs["a"] += 1
    assert checks.check_once(journal_of(attempt("a")), [one, two])


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_refusal_of_an_order_that_ran_is_caught(status):
    one = server()
    journal = journal_of(attempt("a", status))
    assert checks.check_not_run(journal, [one]) == []
    one.runs["a"] += 1
    assert checks.check_not_run(journal, [one])


@pytest.mark.parametrize(
    "values", [{"body": b"ran /orders/b "}, {"body": b"ran"}, {"seal": None}]
)
def test_a_wrong_response_is_caught(values):
    assert checks.check_responses(journal_of(attempt("a"))) == []
    assert checks.check_responses(journal_of(attempt("a", **values)))


def test_a_lost_response_is_caught_unless_a_fault_was_active():
    one = server()
    one.arrivals.append((10.0, "a"))
    journal = journal_of(attempt("a", 0))
    assert checks.check_lost(journal, [one])
    journal.unplanned_faults.append(Span("kill", 8.0, 8.5))
    assert checks.check_lost(journal, [one]) == []


def version_probe(version, sent_s, status=200, n_starts=1):
    return VersionProbe("edge-0", n_starts, version, sent_s, sent_s + 0.01, status)


def test_a_version_that_goes_back_is_caught():
    journal = Journal()
    journal.published_s = {1: 0.0, 2: 5.0}
    journal.version_probes = [
        version_probe(1, 4.0),
        version_probe(2, 6.0),
        version_probe(1, 6.1),
    ]
    assert checks.check_versions(journal) == []
    journal.version_probes.append(version_probe(1, 7.0))
    assert checks.check_versions(journal)


def test_a_version_goes_back_only_within_one_start():
    journal = Journal()
    journal.published_s = {1: 0.0, 2: 5.0}
    journal.version_probes = [version_probe(2, 6.0), version_probe(1, 7.0, n_starts=2)]
    assert checks.check_versions(journal) == []


def test_a_version_that_is_late_is_caught():
    journal = Journal()
    journal.published_s = {1: 0.0, 2: 5.0}
    journal.version_probes = [version_probe(2, 6.5, 404)]
    assert checks.check_versions(journal) == []
    journal.version_probes = [version_probe(2, 7.5, 404)]
    assert checks.check_versions(journal)


@pytest.mark.parametrize(
    ("check", "journal_field", "subject", "bound_s"),
    [
        (checks.check_drained, "drained", "desk-0", checks.DRAIN_APPLY_S),
        (checks.check_out_of_service, "out_of_service", "ub-a", checks.OUT_APPLY_S),
    ],
)
def test_late_requests_to_drained_or_out_of_service_servers_are_caught(
    check, journal_field, subject, bound_s
):
    journal, one = Journal(), server()
    getattr(journal, journal_field).append(Span(subject, 10.0, 30.0))
    one.arrivals.append((10.0 + bound_s - 0.1, "a"))
    assert check(journal, [one]) == []
    one.arrivals.append((10.0 + bound_s + 0.1, "b"))
    assert check(journal, [one])


def test_too_much_for_a_cold_server_is_caught():
    journal, one = Journal(), server()
    journal.cold.append(Span("desk-0", 10.0, 13.0))
    limit = int(checks.COLD_RATE_PER_S * checks.COLD_OVERAGE_FACTOR + checks.COLD_SLACK)
    one.arrivals += [(11.5 + i * 0.01, f"a{i}") for i in range(limit)]
    assert checks.check_cold(journal, [one]) == []
    one.arrivals.append((11.9, "b"))
    assert checks.check_cold(journal, [one])


def test_too_many_retries_are_caught():
    one = server()
    journal = journal_of(*[attempt(f"a{i}") for i in range(10)])
    one.arrivals += [(10.0, f"a{i % 10}") for i in range(10 + RETRY_SLACK + 2)]
    assert checks.check_retry_budget(journal, [one]) == []
    one.arrivals.append((10.0, "a0"))
    assert checks.check_retry_budget(journal, [one])


def test_a_system_that_does_not_recover_is_caught():
    journal = journal_of(*[attempt(f"a{i}", 503, 19.5) for i in range(5)])
    assert checks.check_recovered(journal, 20.0)
    journal = journal_of(*[attempt(f"a{i}", 200, 19.5) for i in range(5)])
    assert checks.check_recovered(journal, 20.0) == []


# Records of servers that say something of themselves.


PORT = 4000


def journal_of_sender(*attempts):
    """Return a journal in which edge-0 opened the connection from PORT to desk-0."""
    journal = journal_of(*attempts)
    journal.senders[("desk-0", PORT)] = "edge-0"
    return journal


def leaving_journal(server, sent_s):
    """Return a journal in which edge-0 knows at 10.1 s and sends one request later."""
    journal = journal_of_sender(attempt("a"), attempt("b", sent_s=sent_s))
    journal.leaving.append(Span("desk-0", 9.0, 30.0))
    server.arrivals += [(10.0, "a"), (sent_s, "b")]
    server.peer_ports += [PORT, PORT]
    server.leaving_answers.append((PORT, "a"))
    return journal


def test_a_late_request_to_a_leaving_server_is_caught_unless_its_vm_restarted():
    bound_s = 10.1 + notice_checks.LEAVING_APPLY_S
    early, late = server(), server()
    journal = leaving_journal(early, bound_s - 0.05)
    assert notice_checks.check_leaving(journal, [early]) == []
    journal = leaving_journal(late, bound_s + 0.05)
    journal.outages.append(Span("edge-1", 11.0, 12.0))
    assert notice_checks.check_leaving(journal, [late])
    journal.outages.append(Span("edge-0", 11.0, 12.0))
    assert notice_checks.check_leaving(journal, [late]) == []


def test_a_vm_that_sent_on_no_answer_of_a_leaving_server_is_not_judged():
    one = server()
    journal = leaving_journal(one, 20.0)
    journal.attempts[0].seal = "seal-desk-1"
    assert notice_checks.check_leaving(journal, [one]) == []


@pytest.mark.parametrize(
    ("n_arrivals", "at_s", "is_caught"),
    [(3, 10.6, True), (2, 10.6, False), (3, 10.4, False), (3, 12.1, False)],
)
def test_too_many_requests_in_a_pause_are_caught(n_arrivals, at_s, is_caught):
    journal, one = journal_of_sender(), server()
    one.arrivals += [(10.0, "a"), *((at_s, f"b{i}") for i in range(n_arrivals))]
    one.peer_ports += [PORT] * (n_arrivals + 1)
    one.pauses.append((10.0, PORT, 2.0))
    assert bool(notice_checks.check_paused(journal, [one])) == is_caught
    journal.outages.append(Span("edge-0", 8.0, 10.5))
    assert notice_checks.check_paused(journal, [one]) == []


@pytest.mark.parametrize("kind", sorted(notice_checks.LINK_KINDS))
def test_requests_that_a_disturbed_link_held_back_do_not_break_a_pause(kind):
    journal, one = journal_of_sender(), server()
    one.arrivals += [(10.6, f"b{i}") for i in range(3)]
    one.peer_ports += [PORT] * 3
    one.pauses.append((10.0, PORT, 2.0))
    assert notice_checks.check_paused(journal, [one])
    journal.unplanned_faults.append(Span(kind, 9.0, 10.5))
    assert notice_checks.check_paused(journal, [one]) == []


def test_the_process_that_opened_a_connection_is_found():
    vm = SimpleNamespace(process=SimpleNamespace(pid=os.getpid()))
    listener = socket.create_server(("127.0.0.1", 0))
    with listener, socket.create_connection(listener.getsockname()) as sock:
        ends = sock.getsockname(), listener.getsockname()
        assert find_owner([vm], *ends) is vm
        assert find_owner([], *ends) is None
    assert find_owner([vm], *ends) is None


def test_too_much_for_a_server_that_says_that_it_is_cold_is_caught():
    journal, one = Journal(), server()
    journal.cold_notices.append(Span("desk-0", 10.0, 13.0))
    limit = int(checks.COLD_RATE_PER_S * checks.COLD_OVERAGE_FACTOR + checks.COLD_SLACK)
    start_s = 10.0 + notice_checks.COLD_NOTICE_APPLY_S
    one.arrivals += [(start_s + i * 0.01, f"a{i}") for i in range(limit)]
    assert notice_checks.check_notices(journal, [one]) == []
    one.arrivals.append((start_s + 0.9, "b"))
    assert notice_checks.check_notices(journal, [one])


def test_an_answer_of_a_foreign_entry_is_caught():
    assert notice_checks.check_foreign(journal_of(attempt("a"))) == []
    journal = journal_of(attempt("a", 404, body=FOREIGN_BODY))
    assert notice_checks.check_foreign(journal)


@pytest.mark.parametrize("kind", ["kill", "stop"])
def test_a_process_that_ended_by_itself_is_found(kind, tmp_path):
    with SoakCell(tmp_path, 1) as cell:
        vm = cell.vms[0]
        cell.start_vm(vm)
        assert find_unexpected_exits(cell) == []
        cell.kill(vm)
        assert find_unexpected_exits(cell)
        journal = Journal()
        FaultInjector(cell, journal, lambda: 0.0).inject(Fault(0.0, kind, 0, 0.1))
        assert journal.findings == ["edge-0 exited unexpectedly with status -9"]


def test_cells_that_run_at_the_same_time_share_no_address(tmp_path):
    with EdgeCell(tmp_path, 1) as one, EdgeCell(tmp_path, 1) as other:
        assert one.vms[0].ip != other.vms[0].ip
