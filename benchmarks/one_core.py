"""Counts how requests end when all VMs share a few processor cores.

Run with ``python -m benchmarks.one_core``. The stand-ins and the callers run on the
other cores. The traffic, the deadlines and the targets are those of the soak's day.
"""

import argparse
import os
import tempfile
from collections import Counter
from pathlib import Path
from random import Random

import gevent

from soak.day.callers import make_callers, send_arrivals
from soak.day.cell import DayCell
from soak.day.checks import check_orders
from soak.day.ends import name_end
from soak.day.records import DayJournal, now_s
from soak.day.run import measure_lag
from soak.day.site import KINDS

N_FRESH = 5
# Wait after the last request: longer than any deadline.
END_WAIT_S = 4.6
# Length of the parts of the run that are counted apart.
PART_S = 5.0


def play(cell, journal, args):
    """Send the traffic; if there are callers that keep connections, all of them do."""
    n_kept, seed = args.kept, args.seed
    rng = Random(f"{seed}-callers")
    callers = make_callers(cell, journal, rng, n_kept, 0 if n_kept else N_FRESH)
    jobs = [
        gevent.spawn(
            send_arrivals, kind, callers, cell, Random(f"{seed}-{kind.prefix}-{i}")
        )
        for kind in KINDS
        for i in range(args.n_times)
    ]
    jobs.append(gevent.spawn(measure_lag, journal))
    gevent.sleep(args.length_s)
    gevent.killall(jobs)
    gevent.sleep(END_WAIT_S)


def report(journal, started_s, folder):
    """Print the ends of all attempts, then those of each part of the run."""
    parts = {}
    for attempt in journal.attempts:
        part = int((attempt.began_s - started_s) / PART_S)
        parts.setdefault(part, Counter())[name_end(attempt)] += 1
    total = sum(parts.values(), Counter())
    lag_s = max((lag for _, lag in journal.lags), default=0.0)
    print(f"{total.total()} requests {dict(sorted(total.items()))}")
    for part, counts in sorted(parts.items()):
        print(f"  from {part * PART_S:.0f} s: {dict(sorted(counts.items()))}")
    print(
        f"  lag of the trial {lag_s * 1000:.0f} ms, {check_orders(journal)}, {folder}"
    )


def run(args):
    """Run one trial and report it."""
    folder = Path(tempfile.mkdtemp(prefix="one-core-"))
    journal = DayJournal()
    others = os.sched_getaffinity(0)
    with DayCell(folder, args.n_vms, journal) as cell:
        if args.cores:
            cell.cores = {int(core) for core in args.cores.split(",")}
            os.sched_setaffinity(0, others - cell.cores)
        cell.add_servers()
        cell.publish()
        began_s = now_s()
        for vm in cell.vms:
            cell.start_vm(vm)
        is_enough = any if args.early else all
        cell.wait_for(lambda: is_enough(map(cell.is_ready, cell.vms)), timeout_s=60.0)
        started_s = now_s()
        print(f"ready after {started_s - began_s:.1f} s, load {os.getloadavg()[0]:.1f}")
        play(cell, journal, args)
    report(journal, started_s, folder)


def main():
    """Run trials."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kept", type=int, default=80)
    parser.add_argument("--cores", default="7", help="such as 6,7; empty for all")
    parser.add_argument("--n-times", type=int, default=1, help="times the day's rate")
    parser.add_argument("--n-vms", type=int, default=18)
    parser.add_argument("--length-s", type=float, default=20.0)
    parser.add_argument(
        "--early", action="store_true", help="send from the first ready VM on"
    )
    parser.add_argument("--seed", type=int, default=1)
    run(parser.parse_args())


if __name__ == "__main__":
    main()
