"""Measures the processor time of VMs that get no requests, for several fleet sizes.

Run with ``python -m benchmarks.idle``. The VMs share the first core of this process.
"""

import argparse
import os
import tempfile
from pathlib import Path

import gevent

from soak.day.cell import DayCell
from soak.day.records import DayJournal, now_s
from soak.day.run import set_apart_cores

# Timeout of the start of all VMs.
START_TIMEOUT_S = 90.0
# Index of the processor times in the fields of ``/proc/PID/stat`` after the name.
FIRST_TIME_FIELD = 11
TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")


def processor_s(vm):
    """Return the processor time of a VM's process since its start."""
    stat = Path(f"/proc/{vm.process.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return sum(int(x) for x in fields[FIRST_TIME_FIELD : FIRST_TIME_FIELD + 2]) * TICK_S


def measure(n_vms, settle_s, length_s):
    """Return the mean share of a core that each of ``n_vms`` idle VMs takes."""
    folder = Path(tempfile.mkdtemp(prefix=f"idle-{n_vms}-"))
    with set_apart_cores(1) as cores, DayCell(folder, n_vms, DayJournal()) as cell:
        cell.cores = cores
        cell.add_servers()
        cell.publish()
        for vm in cell.vms:
            cell.start_vm(vm)
        cell.wait_for(lambda: all(map(cell.is_ready, cell.vms)), START_TIMEOUT_S)
        gevent.sleep(settle_s)
        began_s = now_s()
        before_s = sum(map(processor_s, cell.vms))
        gevent.sleep(length_s)
        used_s = sum(map(processor_s, cell.vms)) - before_s
        return used_s / (now_s() - began_s) / n_vms


def main():
    """Measure the given sizes one after another."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--vms", type=int, nargs="+", default=[6, 18, 30, 60])
    parser.add_argument("--settle-s", type=float, default=14.0)
    parser.add_argument("--length-s", type=float, default=20.0)
    args = parser.parse_args()
    for n_vms in args.vms:
        share = measure(n_vms, args.settle_s, args.length_s)
        print(f"{n_vms} VMs: {share:.4f} of a core each, {share * n_vms:.2f} in all")


if __name__ == "__main__":
    main()
