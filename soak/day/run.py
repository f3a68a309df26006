"""Runs one day and reports what was lost, by the clauses of the rules."""

import os
import tempfile
from collections import Counter
from contextlib import ExitStack, contextmanager
from pathlib import Path
from random import Random

import gevent

from .callers import make_callers, send_arrivals
from .cell import DayCell
from .checks import check_denied, check_orders, check_recovered
from .config_logs import check_config_logs
from .ends import check_answered, count_beside
from .lost import find_losses
from .memory import check_memory
from .operations import Operations
from .own_answers import count_own_answers
from .records import DayJournal, now_s
from .report import DayReport
from .schedule import LAST_S
from .site import KINDS
from .store_checks import check_refusals, check_strays, describe_beside

# Beginnings of the kinds of events beside which the ends of attempts are counted.
COUNTED_KINDS = ("add-many", "endless", "crowd")
# Interval at which the lag of the event loop is measured, and the least one noted.
LAG_INTERVAL_S = 0.02
LAG_MIN_S = 0.02
# Wait after the last request: longer than any deadline.
END_WAIT_S = 4.6


def run_day(plan, folder=None):
    """Play a DayPlan; returns its DayReport."""
    folder = Path(folder or tempfile.mkdtemp(prefix=f"day-{plan.seed}-"))
    journal = DayJournal()
    events = plan.events()
    with ExitStack() as stack:
        cores = stack.enter_context(set_apart_cores(plan.n_cores))
        cell = stack.enter_context(DayCell(folder, plan.n_vms, journal, plan.has_cuts))
        cell.cores = cores
        cell.add_servers()
        cell.publish()
        cell.start_all()
        cell.young_vms.clear()
        prober = play_day(cell, journal, events, plan)
        findings = [*journal.findings, *check_orders(journal)]
        findings += check_memory(cell, "the day")
        findings += [*check_denied(journal), *check_config_logs(folder)]
        findings += [*check_strays(journal), *check_refusals(journal)]
        findings += [*check_answered(journal), *check_recovered(journal)]
    statuses = Counter(attempt.status for attempt in journal.attempts)
    ends = Counter(attempt.end for attempt in journal.attempts)
    lag_s = max((lag for _, lag in journal.lags), default=0.0)
    losses = find_losses(journal)
    beside = [
        f"{work.kind}, {work.end_s - work.start_s:.1f} s: {count_beside(journal, work)}"
        for work in [*journal.planned, *journal.unplanned]
        if work.kind.startswith(COUNTED_KINDS)
    ]
    beside += describe_beside(journal, prober.late)
    beside += count_own_answers(journal)
    return DayReport(
        plan.seed,
        len(events),
        dict(sorted(statuses.items())),
        dict(sorted(ends.items())),
        losses,
        findings,
        beside,
        lag_s,
        folder,
    )


@contextmanager
def set_apart_cores(n_cores):
    """Yield ``n_cores`` cores on which this process does not run meanwhile.

    With 0 cores, the result is None and this process runs on all.
    """
    if not n_cores:
        yield None
        return
    own = os.sched_getaffinity(0)
    cores = set(sorted(own)[:n_cores])
    os.sched_setaffinity(0, own - cores or own)
    try:
        yield cores
    finally:
        os.sched_setaffinity(0, own)


def play_day(cell, journal, events, plan):
    """Play the traffic and the events of a day, and the end of all processes.

    Returns the Prober of its configurations.
    """
    seed = plan.seed
    operations = Operations(cell, journal, seed)
    rng = Random(f"{seed}-callers")
    callers = make_callers(cell, journal, rng, plan.n_keeping)
    jobs = [
        gevent.spawn(
            send_arrivals, kind, callers, cell, Random(f"{seed}-{kind.prefix}")
        )
        for kind in KINDS
    ]
    watchers = [
        gevent.spawn(operations.processes.watch_exits),
        gevent.spawn(measure_lag, journal),
        gevent.spawn(operations.prober.watch_regress),
        gevent.spawn(operations.store_drills.keep_copies),
    ]
    played = [gevent.spawn_later(x.at_s, operations.play, x) for x in events]
    gevent.sleep(plan.length_s - LAST_S)
    if not plan.only:
        operations.kill_all()
    gevent.sleep(LAST_S)
    gevent.killall(jobs)
    gevent.joinall(played, timeout=LAST_S, raise_error=True)
    gevent.sleep(END_WAIT_S)
    gevent.killall(watchers)
    return operations.prober


def measure_lag(journal):
    """Note how late this process's event loop is."""
    while True:
        due_s = now_s() + LAG_INTERVAL_S
        gevent.sleep(LAG_INTERVAL_S)
        gevent.get_hub().loop.update_now()
        if now_s() - due_s > LAG_MIN_S:
            journal.lags.append((now_s(), now_s() - due_s))
