"""What a hop through an entry VM costs, against direct and a bare relay.

All three are measured in one run, in turns, several times; only the differences
and ratios mean anything on another machine. Run by ``make bench``.
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
STEADY_S = 4.0
STEADY_RATE_PER_S = 100.0
N_STEADY_CONNECTIONS = 8
TOP_S = 3.0
N_TOP_CONNECTIONS = 32
N_SLOTS = 256


class Connection:
    """One keep-alive connection that sends the same request again and again."""

    def __init__(self, address, path):
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.wire = f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()

    def exchange(self):
        """Send one request and read its answer; returns the latency in ms."""
        started_s = time.perf_counter()
        self.sock.sendall(self.wire)
        data = b""
        while b"\r\n\r\n" not in data:
            data += self._receive()
        head, _, body = data.partition(b"\r\n\r\n")
        if b" 200 " not in head.split(b"\r\n", 1)[0]:
            raise RuntimeError(f"unexpected answer: {data!r}")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        while len(body) < length:
            body += self._receive()
        return (time.perf_counter() - started_s) * 1000.0

    def _receive(self):
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionError("closed")
        return data


def steady_latencies(address, path):
    """Return the latencies in ms of requests at a steady rate."""
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


def top_rate(address, path):
    """Return requests a second with many connections in a closed loop."""
    n_done = 0
    end_s = time.perf_counter() + TOP_S

    def send():
        nonlocal n_done
        connection = Connection(address, path)
        while time.perf_counter() < end_s:
            connection.exchange()
            n_done += 1

    gevent.joinall(
        [gevent.spawn(send) for _ in range(N_TOP_CONNECTIONS)], raise_error=True
    )
    return n_done / TOP_S


def start(cluster):
    """Start the target, the bare relay and one entry VM; returns the routes."""
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
    """Return per route all latencies and the top rates of every round."""
    latencies = {name: [] for name in routes}
    rates = {name: [] for name in routes}
    for _ in range(N_ROUNDS):
        for name, route in routes.items():
            latencies[name] += steady_latencies(*route)
        for name, route in routes.items():
            rates[name].append(top_rate(*route))
    return latencies, rates


def main():
    """Print the table."""
    with Cluster(["fd0"], {"lease_ms": 1000}) as cluster:
        latencies, rates = measure(start(cluster))
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
