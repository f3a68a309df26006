"""Measures what VMs use of the system's resources over a long day with all troubles.

Run with ``python -m benchmarks.resources``. Some VMs are spared: they are frozen, cut
off and reloaded as the others are, but no event ends their processes. The numbers of
VMs, targets and routes stay about the same, so that what rises is kept by the process.
"""

import argparse
import csv
import os
import tempfile
from pathlib import Path
from random import Random

import gevent

from soak.day.callers import make_callers, send_arrivals
from soak.day.cell import DayCell
from soak.day.checks import check_orders
from soak.day.operations import DRAINING_S, Operations
from soak.day.records import DayJournal, now_s
from soak.day.run import measure_lag
from soak.day.schedule import DAYS, draw_events
from soak.day.site import KINDS, SERVICES

# Kinds of events that only add VMs. One that stops beside a removal adds one for it.
ADDING_KINDS = frozenset(["add-vm", "add-many"])
# Maximum number of routes.
N_ROUTES_MAX = 12
# Interval at which surplus targets leave.
TRIM_INTERVAL_S = 5.0
# Share of a run before the slopes are taken: caches and pools fill.
WARM_UP_SHARE = 0.4
HOUR_S = 3600.0
DAY_S = 24.0 * HOUR_S
BYTES_PER_KB = 1024
# Lines of the status file whose values are sampled, and their columns.
STATUS_COLUMNS = {
    "VmRSS": "resident_kb",
    "VmSize": "address_space_kb",
    "VmData": "data_kb",
    "Threads": "n_threads",
}
COLUMNS = [*STATUS_COLUMNS.values(), "n_descriptors", "n_sockets", "n_time_wait"]
TCP_TABLE = Path("/proc/net/tcp")
# Column of a socket's state in the table of sockets, and the state of a closed one
# whose port is kept.
STATE_FIELD = 3
TIME_WAIT = "06"


class SteadyCell(DayCell):
    """A DayCell with a bounded number of routes."""

    def change_routes(self, rng):
        """Draw one change of the routes, but none that adds a route beyond the most."""
        super().change_routes(rng)
        if len(self.routes) > N_ROUTES_MAX:
            self.routes.popitem()

    def trim_targets(self):
        """Let targets leave that services have beyond their usual number, forever."""
        while True:
            gevent.sleep(TRIM_INTERVAL_S)
            for service, (n_targets, _) in SERVICES.items():
                live = [x for x in self.live_targets() if x.service == service]
                for target in live[n_targets + 1 :]:
                    self.remove_target(target)

    def remove_target(self, target):
        """Let a target leave in order."""
        target.state = "draining"
        self.write_entry(target)
        gevent.sleep(DRAINING_S)
        self.store.delete(f"servers/{target.server_id}")
        gevent.sleep(DRAINING_S)
        target.stop()


def read_sockets():
    """Return the states of the sockets of each local IP address, as the system names.

    The address is that of the system's table.
    """
    states = {}
    for line in TCP_TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        ip = fields[1].partition(":")[0]
        states.setdefault(ip, []).append(fields[STATE_FIELD])
    return states


def encode_ip(ip):
    """Return an IP address as the system's table of sockets has it."""
    return "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))


def sample(vm, states):
    """Return the values of COLUMNS for the process of a VM."""
    folder = Path(f"/proc/{vm.process.pid}")
    values = {}
    for line in (folder / "status").read_text().splitlines():
        label, _, value = line.partition(":")
        if label in STATUS_COLUMNS:
            values[STATUS_COLUMNS[label]] = int(value.split()[0])
    own_states = states.get(encode_ip(vm.ip), [])
    values["n_descriptors"] = len(os.listdir(folder / "fd"))
    values["n_sockets"] = len(own_states)
    values["n_time_wait"] = own_states.count(TIME_WAIT)
    return [values[column] for column in COLUMNS]


def sample_spared(cell, rows, interval_s, file):
    """Add a row for each spared VM at intervals, forever."""
    writer = csv.writer(file)
    began_s = now_s()
    spared = [vm for vm in cell.vms if vm.name in cell.spared_vms]
    while True:
        states = read_sockets()
        for vm in spared:
            row = [vm.name, round(now_s() - began_s, 1), *sample(vm, states)]
            rows.append(row)
            writer.writerow(row)
        file.flush()
        gevent.sleep(interval_s)


def fit_slope(points):
    """Return the slope of the least-squares line through points (x, y)."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / spread


def report(rows):
    """Print how each figure of each VM developed after the warm-up."""
    names = sorted({row[0] for row in rows})
    print("vm, figure: after the warm-up, at the end, slopes per hour of both halves")
    for name in names:
        own = [row[1:] for row in rows if row[0] == name]
        late = own[int(len(own) * WARM_UP_SHARE) :]
        for i, column in enumerate(COLUMNS, start=1):
            points = [(row[0] / HOUR_S, row[i]) for row in late]
            middle = len(points) // 2
            halves = [fit_slope(points[:middle]), fit_slope(points[middle:])]
            at_day = points[-1][1] + halves[1] * DAY_S / HOUR_S
            print(
                f"{name} {column}: {points[0][1]} {points[-1][1]}, "
                f"{halves[0]:+.0f} {halves[1]:+.0f}; after a day {at_day:.0f}"
            )


def draw_long_day(seed, length_s):
    """Return the events of a day with all troubles that adds no VMs."""
    # The seeds of a kind of day are apart by the number of kinds.
    seed = seed * len(DAYS) - 1
    events = draw_events(seed, length_s, has_cuts=True)
    return [event for event in events if event.kind not in ADDING_KINDS]


def play(cell, journal, args, rows, file):
    """Play the traffic and the events, and sample the spared VMs."""
    operations = Operations(cell, journal, args.seed)
    rng = Random(f"{args.seed}-callers")
    callers = make_callers(cell, journal, rng, args.kept)
    jobs = [
        gevent.spawn(
            send_arrivals, kind, callers, cell, Random(f"{args.seed}-{kind.prefix}")
        )
        for kind in KINDS
    ]
    jobs.append(gevent.spawn(cell.trim_targets))
    jobs.append(gevent.spawn(operations.processes.watch_exits))
    jobs.append(gevent.spawn(measure_lag, journal))
    jobs.append(gevent.spawn(sample_spared, cell, rows, args.interval_s, file))
    for event in draw_long_day(args.seed, args.length_s):
        gevent.spawn_later(event.at_s, operations.play, event)
    gevent.sleep(args.length_s)
    gevent.killall(jobs)


def run(args):
    """Run one trial and report it."""
    folder = Path(tempfile.mkdtemp(prefix="resources-"))
    print(f"samples and logs in {folder}", flush=True)
    journal = DayJournal()
    rows = []
    with (
        SteadyCell(folder, args.n_vms, journal, has_cuts=True) as cell,
        open(folder / "samples.csv", "w", newline="") as file,
    ):
        cell.add_servers()
        cell.publish()
        cell.start_all()
        cell.young_vms.clear()
        cell.spared_vms = {vm.name for vm in cell.vms[: args.n_spared]}
        play(cell, journal, args, rows, file)
    report(rows)
    for finding in [*journal.findings, *check_orders(journal)]:
        print(f"FINDING {finding}")


def main():
    """Run one trial."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--n-vms", type=int, default=17)
    parser.add_argument("--n-spared", type=int, default=4)
    parser.add_argument("--kept", type=int, default=80)
    parser.add_argument("--length-s", type=float, default=1500.0)
    parser.add_argument("--interval-s", type=float, default=5.0)
    run(parser.parse_args())


if __name__ == "__main__":
    main()
