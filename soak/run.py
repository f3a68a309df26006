"""Runs one seed: starts the processes, injects the faults, checks the records."""

import tempfile
import time
from collections import Counter
from random import Random

import gevent
from hornbeamstand_core.records import Record

from .callers import Caller, probe_versions
from .cell import SoakCell, find_exit
from .checks import check_all
from .faults import FaultInjector
from .notice_checks import check_notices
from .records import Journal
from .schedule import draw_all

# Number of callers that send requests during a run.
N_CALLERS = 6
# Wait after the last request, in which requests in flight may still run.
END_WAIT_S = 0.5


class Report(Record):
    """The result of one seed.

    ``statuses`` counts the requests of callers by status, ``folder`` has the logs.
    """

    __slots__ = ("seed", "findings", "statuses", "n_faults", "folder")

    def __init__(self, seed, findings, statuses, n_faults, folder):
        self.seed = seed
        self.findings = findings
        self.statuses = statuses
        self.n_faults = n_faults
        self.folder = folder


def run_seed(
    seed, length_s, n_vms, folder=None, draw_faults=draw_all, n_callers=N_CALLERS
):
    """Run one seed for ``length_s``; returns its Report.

    Logs go to the folder, by default a new temporary one. ``draw_faults`` takes the
    seed and the length, and returns the Faults of the run.
    """
    folder = folder or tempfile.mkdtemp(prefix=f"soak-{seed}-")
    faults = draw_faults(seed, length_s)
    journal = Journal()
    with SoakCell(folder, n_vms) as cell:
        cell.add_servers()
        cell.publish()
        cell.start_all()
        started_s = gevent.get_hub().loop.now()

        def now_s():
            """Return the time on the clock with which servers record arrivals."""
            return gevent.get_hub().loop.now()

        journal.published_s[cell.version] = started_s
        journal.senders = cell.senders
        injector = FaultInjector(cell, journal, now_s)
        jobs = start_jobs(cell, journal, now_s, seed, n_callers)
        fault_jobs = [
            gevent.spawn_later(fault.at_s, injector.inject, fault) for fault in faults
        ]
        gevent.sleep(length_s)
        gevent.joinall(fault_jobs, timeout=10.0, raise_error=True)
        wait_after_faults(journal, now_s)
        end_s = now_s()
        gevent.killall(jobs)
        gevent.sleep(END_WAIT_S)
        journal.findings += find_unexpected_exits(cell)
        findings = [
            *check_all(journal, cell.servers, end_s),
            *check_notices(journal, cell.servers),
        ]
    statuses = Counter(attempt.status for attempt in journal.attempts)
    return Report(seed, findings, statuses, len(faults), folder)


def start_jobs(cell, journal, now_s, seed, n_callers):
    """Start the callers and the version probes; returns their greenlets."""
    callers = [
        Caller(cell, journal, now_s, f"c{i}", Random(f"{seed}-{i}"))
        for i in range(n_callers)
    ]
    jobs = [gevent.spawn(caller.run) for caller in callers]
    jobs.append(gevent.spawn(probe_versions, cell, journal, now_s))
    return jobs


def wait_after_faults(journal, now_s):
    """Wait until 5 s after the end of the last unplanned fault.

    The last requests are then sent after the time for recovery, so that check_recovered
    may expect them to be served.
    """
    wait_s = 5.0
    last_s = max((span.end_s for span in journal.unplanned_faults), default=0.0)
    gevent.sleep(max(0.0, last_s + wait_s - now_s()))


def find_unexpected_exits(cell):
    """Return findings for processes that exited without a fault that stopped them."""
    return [
        finding
        for vm in cell.vms
        if vm.name not in cell.claimed_vms
        for finding in find_exit(vm)
    ]


def fresh_seed():
    """Return a new seed, taken from the clock."""
    return time.time_ns() % 1_000_000_007
