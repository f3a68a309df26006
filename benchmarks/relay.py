"""Measures what an entry VM adds to a request; run by ``make bench``.

An entry VM is compared with a direct connection to the target and with a bare relay.
All three are measured several times by turns in one run. The times depend on the
machine, so only their differences and ratios may be compared between machines.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import socket  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402

from standins.cluster import Cluster, free_addresses, request, wait_until  # noqa: E402

N_ROUNDS = 5
# Length of each measurement of latencies at a constant rate.
STEADY_S = 4.0
STEADY_RATE_PER_S = 100.0
N_STEADY_CONNECTIONS = 8
# Length of each measurement of the highest rate, for which every connection sends its
# next request as soon as the last one has ended.
CLOSED_LOOP_S = 3.0
N_CLOSED_LOOP_CONNECTIONS = 32
# Slots of the target: more than there are connections, so that none waits for a slot.
N_SLOTS = 256


class Connection:
    """A keep-alive connection that sends the same request repeatedly."""

    def __init__(self, address, path):
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.request_bytes = f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()

    def exchange(self):
        """Send one request, read its response and return the latency in ms."""
        started_s = time.perf_counter()
        self.sock.sendall(self.request_bytes)
        data = b""
        while b"\r\n\r\n" not in data:
            data += self._receive()
        head, _, body = data.partition(b"\r\n\r\n")
        if b" 200 " not in head.split(b"\r\n", 1)[0]:
            raise RuntimeError(f"expected a response with status 200, got {data!r}")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        while len(body) < length:
            body += self._receive()
        return (time.perf_counter() - started_s) * 1000.0

    def _receive(self):
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionError("connection closed before the response was complete")
        return data


def steady_latencies(address, path):
    """Return the sorted latencies in ms of requests at a constant rate."""
    latencies = []
    end_s = time.perf_counter() + STEADY_S
    pause_s = N_STEADY_CONNECTIONS / STEADY_RATE_PER_S

    def send(offset_s):
        connection = Connection(address, path)
        gevent.sleep(offset_s)
        while time.perf_counter() < end_s:
            latencies.append(connection.exchange())
            gevent.sleep(pause_s)

    step_s = pause_s / N_STEADY_CONNECTIONS
    gevent.joinall(
        [gevent.spawn(send, i * step_s) for i in range(N_STEADY_CONNECTIONS)],
        raise_error=True,
    )
    return sorted(latencies)


def closed_loop_rate(address, path):
    """Return the requests per second of many connections in a closed loop."""
    n_done = 0
    end_s = time.perf_counter() + CLOSED_LOOP_S

    def send():
        nonlocal n_done
        connection = Connection(address, path)
        while time.perf_counter() < end_s:
            connection.exchange()
            n_done += 1

    gevent.joinall(
        [gevent.spawn(send) for _ in range(N_CLOSED_LOOP_CONNECTIONS)], raise_error=True
    )
    return n_done / CLOSED_LOOP_S


def start_routes(cluster):
    """Start the target, the bare relay and one entry VM.

    Returns a dict that maps each route's name to its address and path.
    """
    target, relay = free_addresses(2)
    module = [sys.executable, "-m", "benchmarks.fast_target"]
    cluster.spawn([*module, "target", target], "target.log")
    cluster.spawn([*module, "relay", relay, target], "relay.log")
    cluster.start_platform()
    folder = cluster.folder / "config"
    folder.mkdir()
    spec = {"address": target, "failure_domain": "fd0", "slots": N_SLOTS}
    service = {"targets": {"t0": spec}, "deadline_max_ms": 1000}
    service["cold_start"] = {"limit": N_SLOTS}
    body = {"failure_domains": {"fd0": {}}, "services": {"fast": service}}
    (folder / "fast.json").write_text(json.dumps(body))
    cluster.publish(folder)
    vm = cluster.start_vm()
    cluster.wait_ready(1)
    wait_until(lambda: request(relay, "GET", "/x")[0] == 200)
    return {
        "direct": (target, "/x"),
        "bare relay": (relay, "/x"),
        "entry VM": (vm.front_address, "/services/fast/x"),
    }


def quantile(ordered, share):
    """Return a quantile of sorted values."""
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def measure(routes):
    """Return the latencies and the closed-loop rates of all rounds by route."""
    latencies = {name: [] for name in routes}
    rates = {name: [] for name in routes}
    for _ in range(N_ROUNDS):
        for name, route in routes.items():
            latencies[name] += steady_latencies(*route)
        for name, route in routes.items():
            rates[name].append(closed_loop_rate(*route))
    return latencies, rates


def main():
    """Measure every route and print the table."""
    with Cluster(["fd0"], {"lease_ms": 1000}) as cluster:
        latencies, rates = measure(start_routes(cluster))
    direct = sorted(latencies["direct"])
    bare_rate = sorted(rates["bare relay"])[N_ROUNDS // 2]
    print(
        "| route | p50 ms | p99 ms | added p50 | added p99 | rate/s | of bare relay |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for name in latencies:
        ordered = sorted(latencies[name])
        p50_ms, p99_ms = quantile(ordered, 0.5), quantile(ordered, 0.99)
        rate = sorted(rates[name])[N_ROUNDS // 2]
        print(
            f"| {name} | {p50_ms:.3f} | {p99_ms:.3f} |"
            f" {p50_ms - quantile(direct, 0.5):.3f} |"
            f" {p99_ms - quantile(direct, 0.99):.3f} |"
            f" {rate:.0f} | {rate / bare_rate:.2f} |"
        )


if __name__ == "__main__":
    main()
