"""The demo on the platform's protocol, with three VMs.

One VM crashes, a failure domain goes out of service, and the store is down for a while.
Ends by itself with status 0. The status is 1 if an order ran more than once, if a
caller got the response to another request, or if less than ``SERVED_SHARE_MIN`` of the
requests got status 200.
"""

import sys
import tempfile
from collections import Counter

import gevent

from standins.edge_cell import DOMAINS, EdgeCell

# Time for which callers send requests.
RUN_S = 8.0
# Interval between two requests of the four callers together, without the time until
# the response.
REQUEST_INTERVAL_S = 0.02
# Times of the events after the start of the callers.
CRASH_AT_S = 2.0
DOMAIN_OUT_AT_S = 3.5
STORE_DOWN_AT_S = 5.0
STORE_UP_AT_S = 6.5
# Minimum share of requests that get status 200. Requests in flight at the crash fail.
SERVED_SHARE_MIN = 0.97
# Path prefix -> (service, kind of its requests).
PREFIXES = {"/tools/": ("shop", "idempotent"), "/orders/": ("desk", "non_idempotent")}


def send_requests(cell, tally, caller_index):
    """Send requests to the running VMs in turn; every fourth one is an order."""
    n_sent = 0
    while True:
        gevent.sleep(REQUEST_INTERVAL_S * 4)
        n_sent += 1
        vms = [vm for vm in cell.vms if vm.process.poll() is None]
        vm = vms[(n_sent + caller_index) % len(vms)]
        is_order = n_sent % 4 == 0
        path = f"/{'orders' if is_order else 'tools'}/{caller_index}-{n_sent}"
        response = cell.send(vm, path, "POST" if is_order else "GET")
        tally[response.status] += 1
        if response.status == 200 and path.encode() not in response.body:
            tally["mismatched"] += 1


def run_events(cell):
    """Run the demo's events under load; returns the counts of the callers."""
    for i in range(9):
        cell.add_server(f"tool-{i}", "shop", DOMAINS[i % 3])
    for i in range(6):
        cell.add_server(f"desk-{i}", "desk", DOMAINS[i % 3])
    cell.set_config(1, PREFIXES)
    cell.start_all()
    tally = Counter()
    callers = [gevent.spawn(send_requests, cell, tally, i) for i in range(4)]
    events = [
        (CRASH_AT_S, "crash of one VM", lambda: cell.kill(cell.vms[0])),
        (
            DOMAIN_OUT_AT_S,
            "failure domain out",
            lambda: cell.store.put("op/evacuate/ub-b", {}),
        ),
        (STORE_DOWN_AT_S, "store down", lambda: setattr(cell.store, "mode", "busy")),
        (STORE_UP_AT_S, "store up", lambda: setattr(cell.store, "mode", "ok")),
    ]
    for at_s, text, action in events:
        gevent.spawn_later(at_s, run_event, text, action)
    gevent.sleep(RUN_S)
    gevent.killall(callers)
    return tally


def run_event(text, action):
    """Print the name of an event and carry it out."""
    print(f"-- {text}")
    action()


def main():
    """Run the demo; returns its exit status."""
    with tempfile.TemporaryDirectory() as folder, EdgeCell(folder) as cell:
        tally = run_events(cell)
        n_total = sum(tally.values()) - tally["mismatched"]
        served = tally[200] / max(1, n_total)
        duplicated = sum(
            n > 1 for s in cell.servers if s.service == "desk" for n in s.runs.values()
        )
        print(
            f"requests {n_total}, answered 200: {served:.3f}, by status {dict(tally)}"
        )
        print(
            f"orders run more than once {duplicated}, "
            f"responses to another request {tally['mismatched']}"
        )
        print(f"calls to the store {cell.store.n_calls}")
        is_passed = (
            served >= SERVED_SHARE_MIN and not duplicated and not tally["mismatched"]
        )
        print("ok" if is_passed else "FAILED")
        return 0 if is_passed else 1


if __name__ == "__main__":
    sys.exit(main())
