"""Counts the calls to the store after its return from an older copy, by kind.

Run with ``python -m benchmarks.era_calls --vms 17``. The VMs get no requests.
"""

import argparse
import tempfile
from collections import Counter
from pathlib import Path

import gevent

from soak.day.cell import DayCell
from soak.day.records import DayJournal
from standins.store import Store

# Timeout of the start of all VMs, and time from then to the copy.
START_TIMEOUT_S = 120.0
SETTLE_S = 8.0
# Age of the copy, and time after the return in which calls are counted.
COPY_AGE_S = 2.0
COUNTED_S = 3.0
# Interval at which the counts are split.
STEP_S = 0.5


class CountingStore(Store):
    """A Store that counts the calls that it serves by their kind."""

    __slots__ = ("counts",)

    def __init__(self):
        super().__init__()
        self.counts = Counter()

    def serve(self, environ, start_response):
        """Count one call and serve it (a WSGI application)."""
        name = environ["PATH_INFO"].split("/")[1]
        is_stale = "StaleOk=1" in environ["QUERY_STRING"]
        self.counts[f"{name} stale" if is_stale else name] += 1
        return super().serve(environ, start_response)


def measure(n_vms):
    """Return a list of the counts of each step after the return."""
    folder = Path(tempfile.mkdtemp(prefix=f"era-{n_vms}-"))
    cell = DayCell(folder, n_vms, DayJournal())
    cell.store = CountingStore()
    with cell:
        cell.add_servers()
        cell.publish()
        for vm in cell.vms:
            cell.start_vm(vm)
        cell.wait_for(lambda: all(map(cell.is_ready, cell.vms)), START_TIMEOUT_S)
        gevent.sleep(SETTLE_S)
        copy = cell.store.take_copy()
        gevent.sleep(COPY_AGE_S)
        counts = cell.store.counts
        counts.clear()
        cell.store.come_back(copy)
        steps = []
        for _ in range(round(COUNTED_S / STEP_S)):
            gevent.sleep(STEP_S)
            steps.append(dict(counts))
            counts.clear()
        return steps


def main():
    """Print the calls after one return."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--vms", type=int, default=17)
    args = parser.parse_args()
    steps = measure(args.vms)
    total = sum(map(Counter, steps), Counter())
    for i, counts in enumerate(steps):
        print(f"{STEP_S * (i + 1):.1f} s: {dict(sorted(counts.items()))}")
    print(f"{args.vms} VMs, {COUNTED_S:g} s: {dict(sorted(total.items()))}")


if __name__ == "__main__":
    main()
