"""Measures the costs behind docs/CAPACITY.md; run by ``make slopes``.

Each row is a linear fit of a cost over at least three sizes: the cost of one more item,
the slope, and the fixed part. Times depend on the machine. docs/CAPACITY.md names the
run that its figures come from.
"""

import gc
import statistics
import sys
import time
import tracemalloc

from hornbeamstand_core.balancer_messages import DeferredReply
from hornbeamstand_core.config import (
    Configuration,
    FailureDomainSpec,
    ServiceSpec,
    TargetSpec,
)
from hornbeamstand_core.controllers.node import HOP_MS, Node
from hornbeamstand_core.controllers.orders.order_book import OrderBook
from hornbeamstand_core.controllers.owned_targets.balancer import Balancer
from hornbeamstand_core.controllers.owned_targets.choice import (
    make_least_expected_latency,
)
from hornbeamstand_core.controllers.owned_targets.limits import make_aimd
from hornbeamstand_core.filters import build_default_chain
from hornbeamstand_core.membership_messages import SendHeartbeat
from hornbeamstand_core.messages import (
    Acquire,
    Answer,
    Call,
    Release,
    Request,
    Send,
    UpstreamResponse,
)
from hornbeamstand_core.order_messages import EpochAdopted, RecordOutcome, ReserveOrder
from hornbeamstand_core.view import Member, View
from hornbeamstand_entry.lookup import answer_lookup
from hornbeamstand_entry.peer_codec import (
    KeptResponse,
    decode_datagram,
    encode_datagram,
)
from hornbeamstand_wire.folder import MergeCache, merge_texts

from replay.cell import Cell
from replay.world import World

# Number of measurements of each time, of which the least counts.
N_REPEATS = 5
SLOTS = 4
# A time that no measurement reaches.
FOREVER_MS = 1e12
# Mean number of targets of a service: 17,000 servers in 460 services.
TARGETS_PER_SERVICE = 37


def fit(label, unit, points):
    """Print the fit of (size, cost) points."""
    sizes, costs = zip(*points, strict=True)
    slope, fixed = statistics.linear_regression(sizes, costs)
    detail = ", ".join(f"{size:g}: {cost:.4g}" for size, cost in points)
    print(f"| {label} | {slope:.4g} | {fixed:.4g} | {unit} | {detail} |")
    sys.stdout.flush()


def best_us(action, n_calls):
    """Return the time of one call in microseconds, the least of several means."""
    best_s = float("inf")
    for _ in range(N_REPEATS):
        started_s = time.process_time()
        for _ in range(n_calls):
            action()
        best_s = min(best_s, (time.process_time() - started_s) / n_calls)
    return best_s * 1e6


def memory_bytes(build):
    """Return the number of bytes that the return value of ``build`` occupies."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    n_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return n_bytes


def make_service(n_targets):
    """Return a service with targets in three failure domains."""
    targets = {
        f"t{i}": TargetSpec(f"127.0.0.1:{i % 60000 + 1}", f"fd{i % 3}", SLOTS)
        for i in range(n_targets)
    }
    return ServiceSpec(targets)


def make_configuration(n_services, n_targets):
    """Return a configuration with services of equal size."""
    services = {f"service-{i}": make_service(n_targets) for i in range(n_services)}
    domains = {f"fd{i}": FailureDomainSpec() for i in range(3)}
    return Configuration(services, domains)


def make_balancer(n_services, n_targets):
    """Return a balancer that owns every target."""
    balancer = Balancer("vm", make_least_expected_latency, make_aimd, HOP_MS)
    for i in range(n_services):
        service = balancer.add_service(f"service-{i}", make_service(n_targets))
        for target_id in service.spec.targets:
            service.gain_target(target_id, True)
    balancer.set_fence_end(FOREVER_MS)
    return balancer


def decision_us(n_services, n_targets):
    """Return the time in us to run one request through the whole chain."""
    balancer = make_balancer(n_services, n_targets)
    spec = balancer.services["service-0"].spec
    chain = build_default_chain(lambda name: spec, lambda call: None)
    now_ms = 0.0

    def decide():
        nonlocal now_ms
        now_ms += 1.0
        steps = chain(Call(Request("r", "service-0", arrived_at_ms=now_ms)))
        effect = next(steps)
        reply = None
        while True:
            if type(effect) is Acquire:
                out = balancer.handle(effect, now_ms)
                reply = next(m.reply for m in out if type(m) is DeferredReply)
            elif type(effect) is Send:
                reply = UpstreamResponse(200)
            elif type(effect) is Release:
                reply = balancer.handle(effect, now_ms + 0.5) and None
            try:
                effect = steps.send(reply)
            except StopIteration:
                return

    return best_us(decide, 2000)


def measure_decisions():
    """Fit the cost of a decision."""
    points = [(n, decision_us(1, n)) for n in (5, 10, 20, 40)]
    fit("decision, per owned target of its service", "us", points)
    points = [(n, decision_us(n, 10)) for n in (1, 50, 150, 460)]
    fit("decision, per other service", "us", points)


def measure_state():
    """Fit the memory of targets, requests in flight and orders."""
    points = [
        (n, memory_bytes(lambda n=n: make_balancer(1, n))) for n in (100, 400, 1600)
    ]
    fit("owner state, per target", "bytes", points)

    def in_flight(n_requests):
        balancer = make_balancer(1, 1)
        state = balancer.services["service-0"].targets["t0"]
        for i in range(n_requests):
            state.started_at_ms[f"vm1-{i}~{i}"] = float(i)
        return balancer

    points = [(n, memory_bytes(lambda n=n: in_flight(n))) for n in (100, 400, 1600)]
    fit("owner state, per request in flight", "bytes", points)
    points = [
        (n, memory_bytes(lambda n=n: make_order_book(n))) for n in (100, 400, 1600)
    ]
    fit("order book, per kept order of 200 bytes", "bytes", points)


def make_order_book(n_orders):
    """Return an order book that keeps the responses of completed orders."""
    book = OrderBook("vm0", 0.0)
    view = View(1, {"vm0": Member("vm0", "", "", "fd0")})
    book.adopt_epoch(EpochAdopted(view, make_configuration(1, 1)), 0.0)
    for i in range(n_orders):
        key = f"order-{i:010d}"
        message = ReserveOrder("service-0", key, f"r{i}", FOREVER_MS, 0, False)
        (reserved,) = book.reserve(message, 0.0)
        kept = KeptResponse("POST", [["Content-Type", "text/plain"]], bytes(200))
        outcome = RecordOutcome(
            "service-0", key, Answer(200, kept), reserved.reply.attempt
        )
        book.record_outcome(outcome, 0.0)
    return book


def make_node(n_members, n_services):
    """Return a node that has adopted the view of a cell."""
    members = {
        f"vm{i}": Member(f"vm{i}", f"10.0.0.{i}:1", f"10.0.0.{i}:2", f"fd{i % 3}")
        for i in range(n_members)
    }
    node = Node(
        members["vm0"],
        2000.0,
        make_configuration(n_services, TARGETS_PER_SERVICE),
        make_least_expected_latency,
        make_aimd,
        0.0,
    )
    node.membership.adopt_view(View(1, members), 0.0)
    return node


def heartbeat_costs(n_members, n_services):
    """Return the costs of a heartbeat.

    They are the time in us to make and encode it, the time in us to decode and handle
    it, and its size in bytes.
    """
    node = make_node(n_members, n_services)
    peer = node.membership.view.members["vm1"]
    now_ms = 0.0

    def make():
        nonlocal now_ms
        now_ms += 400.0
        sends = [
            m
            for m in node.membership.send_heartbeats(now_ms)
            if type(m) is SendHeartbeat
        ]
        return [encode_datagram(send.heartbeat) for send in sends]

    made = make()
    make_us = best_us(make, 20) / max(1, len(made))
    other = make_node(n_members, n_services)
    other.membership.me = peer
    sent_ms = 0.0

    def receive():
        nonlocal sent_ms
        sent_ms += 1.0
        heartbeat = decode_datagram(made[0])
        heartbeat.sent_at_ms = sent_ms
        other.handle(heartbeat, sent_ms)

    return make_us, best_us(receive, 50), len(made[0])


def measure_heartbeats():
    """Fit the costs of a heartbeat over the members and over the services."""
    costs = {n: heartbeat_costs(n, 3) for n in (5, 13, 30, 60)}
    fit("heartbeat made, per member", "us", [(n, c[0]) for n, c in costs.items()])
    fit("heartbeat taken, per member", "us", [(n, c[1]) for n, c in costs.items()])
    fit("heartbeat, per member", "bytes", [(n, c[2]) for n, c in costs.items()])
    costs = {n: heartbeat_costs(13, n) for n in (3, 12, 48)}
    fit("heartbeat made, per service", "us", [(n, c[0]) for n, c in costs.items()])
    fit("heartbeat taken, per service", "us", [(n, c[1]) for n, c in costs.items()])
    fit("heartbeat, per service", "bytes", [(n, c[2]) for n, c in costs.items()])


def service_text(index):
    """Return the JSON file of one service."""
    targets = ",".join(
        f'"t{i}":{{"address":"10.0.0.1:{i + 1}","failure_domain":"fd0","slots":4}}'
        for i in range(TARGETS_PER_SERVICE)
    )
    return f'{{"services":{{"service-{index}":{{"targets":{{{targets}}}}}}}}}'


def measure_configuration():
    """Fit the costs of a configuration over services of 37 targets.

    In the rows, "first" is reading the whole configuration at a start, and "edit" a
    change of one file.
    """
    domain = '{"failure_domains":{"fd0":{}}}'
    first, edit, adopt, memory = [], [], [], []
    for n_services in (10, 40, 160):
        texts = {f"{i}.json": service_text(i) for i in range(n_services)}
        texts["domains.json"] = domain
        first.append((n_services, best_us(lambda t=texts: merge_texts(t), 1) / 1000))
        costs = edit_costs_ms(texts)
        edit.append((n_services, costs[0]))
        adopt.append((n_services, costs[1]))
        memory.append((n_services, memory_bytes(lambda t=texts: merge_texts(t)) / 1024))
    fit("configuration, first, per service", "ms", first)
    fit("configuration, edit merged and checked, per service", "ms", edit)
    fit("configuration, edit adopted, per service", "ms", adopt)
    fit("configuration kept, per service", "KiB", memory)


def edit_costs_ms(texts):
    """Return the times in ms to merge and to adopt an edit of one file."""
    cache = MergeCache()
    node = make_node(13, 1)
    adopt_configuration = node.membership.ownership.adopt_configuration
    adopt_configuration(merge_texts(texts, cache).unwrap(), 0.0)
    merge_ms, adopt_ms = [], []
    for i in range(N_REPEATS):
        texts["0.json"] = service_text(0).replace(
            '"targets"', f'"deadline_ms":{i + 100},"targets"', 1
        )
        started_s = time.process_time()
        configuration = merge_texts(texts, cache).unwrap()
        merged_s = time.process_time()
        adopt_configuration(configuration, 0.0)
        adopt_ms.append((time.process_time() - merged_s) * 1000)
        merge_ms.append((merged_s - started_s) * 1000)
    return min(merge_ms), min(adopt_ms)


def measure_lookups():
    """Fit the time of answering a lookup over the targets of the service."""
    points = []
    for n_targets in (10, 40, 160):
        node = make_node(13, 1)
        node.membership.adopt_configuration(make_newer_configuration(n_targets), 0.0)

        def look_up(node=node):
            answer_lookup(node, "service-0", lambda status, items: None)

        points.append((n_targets, best_us(look_up, 500)))
    fit("lookup answered, per target of the service", "us", points)


def make_newer_configuration(n_targets):
    """Return a configuration that is newer than the first one of a node."""
    configuration = make_configuration(1, n_targets)
    configuration.version = 1
    return configuration


def measure_platform_calls():
    """Fit the calls per second to the platform over the VMs of one cell."""
    points = []
    for n_vms in (4, 8, 16):
        cell = Cell(World(), make_configuration(1, 6), n_vms, seed=1)
        cell.world.run_until(10_000.0)
        before = cell.platform.n_calls
        cell.world.run_until(20_000.0)
        points.append((n_vms, (cell.platform.n_calls - before) / 10.0))
    fit("platform calls of one cell at a 1 s lease, per VM", "1/s", points)


def main():
    """Measure every cost and print the fits."""
    started_s = time.monotonic()
    print("| what | per item | fixed | unit | size: cost |")
    print("| --- | --- | --- | --- | --- |")
    measure_decisions()
    measure_lookups()
    measure_state()
    measure_heartbeats()
    measure_configuration()
    measure_platform_calls()
    print(f"\ntook {time.monotonic() - started_s:.0f} s")


if __name__ == "__main__":
    main()
