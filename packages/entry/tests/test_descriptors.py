"""Few file descriptors: what a process may open, and what it closes for it."""

import errno
import resource

import gevent
import pytest
from gevent import socket as gevent_socket
from hornbeamstand_core.messages import NO_DESCRIPTOR
from hornbeamstand_entry.clock import make_process_clock
from hornbeamstand_entry.edge import descriptors, servers
from hornbeamstand_entry.edge.descriptors import ConnectionLimits
from hornbeamstand_entry.edge.servers import stop_accepting
from hornbeamstand_entry.tasks.connection_rules import ConnectionRules
from hornbeamstand_entry.tasks.exchange import Exchange
from hornbeamstand_entry.tasks.open_connections import OpenConnections
from hornbeamstand_entry.tasks.pools import Pools

from tests.caller_front import Front, connect, exchange, read_to_end

GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
TIMEOUT_MS = 2000.0


@pytest.fixture
def low_soft_limit():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (256, hard))
    yield hard
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


class Log:
    def __init__(self):
        self.lines = []

    def warning(self, event, **fields):
        self.lines.append((event, fields))


def test_a_soft_limit_that_was_inherited_is_raised(low_soft_limit):
    log = Log()
    assert descriptors.prepare_descriptors(512, log) == 512
    assert resource.getrlimit(resource.RLIMIT_NOFILE) == (512, low_soft_limit)
    assert log.lines == []


def test_a_limit_below_the_settings_is_logged_with_both_figures(monkeypatch):
    log = Log()
    monkeypatch.setattr(descriptors, "raise_soft_limit", lambda n_wanted: 64)
    assert descriptors.prepare_descriptors(4100, log) == 64
    fields = {"descriptors_limit": 64, "stated": 4100}
    assert log.lines == [("process: descriptors limited", fields)]


@pytest.mark.parametrize("n_descriptors", [16, 64, 1024, 4100])
def test_every_accepted_connection_leaves_a_descriptor_for_its_request(n_descriptors):
    limits = ConnectionLimits.from_descriptors(n_descriptors)
    n_accepted = limits.n_callers_max + limits.n_peers_max
    assert min(limits.n_callers_max, limits.n_peers_max) >= 1
    assert limits.n_sends_max == n_accepted
    assert n_descriptors < 28 or 2 * n_accepted < n_descriptors


def start_pools(stack, n_max, **rule_values):
    """Return pools that share a limit, and the servers' addresses."""
    open_connections = OpenConnections(n_max)
    rules = ConnectionRules(open_connections=open_connections, **rule_values)
    pools = Pools(make_process_clock(), stack, rules)
    addresses = [f"127.0.0.1:{Front(stack).server.server_port}" for _ in range(2)]
    return pools, open_connections, addresses


def send(pools, address, is_optional=False):
    not_after_ms = pools.clock.now_ms() + TIMEOUT_MS
    sent = Exchange(
        "GET",
        GET,
        not_after_ms,
        False,
        1000,
        gevent.queue.SimpleQueue(),
        is_optional=is_optional,
    )
    pools.post(address, sent)
    result = sent.receive_result(TIMEOUT_MS)
    gevent.sleep(0.01)
    return result


def test_an_idle_connection_makes_room_for_one_to_another_address(stack):
    """Guards against idle connections that hold descriptors which sends need."""
    pools, open_connections, addresses = start_pools(stack, 1)
    for address in addresses * 2:
        assert send(pools, address).status_code == 200
        assert open_connections.n_open == 1


def test_a_connection_that_is_being_closed_makes_no_room_a_second_time(stack):
    """Guards against a healthy target that is taken for unreachable at the maximum."""
    pools, open_connections, addresses = start_pools(stack, 1, idle_max_ms=50.0)
    assert send(pools, addresses[0]).status_code == 200
    gevent.sleep(0.1)
    pools.sweep()
    assert send(pools, addresses[1]).status_code == 200
    gevent.sleep(0.1)
    assert open_connections.n_open == 1


def test_an_outdated_connection_is_replaced_at_the_maximum(stack):
    pools, open_connections, addresses = start_pools(stack, 1, idle_max_ms=50.0)
    for _ in range(3):
        assert send(pools, addresses[0]).status_code == 200
        gevent.sleep(0.1)
    assert open_connections.n_open == 1


def test_what_requests_can_do_without_takes_no_last_descriptor(stack):
    pools, open_connections, addresses = start_pools(stack, 2)
    open_connections.n_open += 1
    assert send(pools, addresses[0], is_optional=True).kind == NO_DESCRIPTOR
    assert send(pools, addresses[0]).status_code == 200


def test_a_send_without_a_descriptor_is_told_from_a_target_that_refuses(
    stack, monkeypatch
):
    """Guards against the ejection of targets for a lack of this VM."""
    pools, _, addresses = start_pools(stack, 2)

    def fail(*args):
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr(gevent_socket, "socket", fail)
    failure = send(pools, addresses[0])
    assert (failure.kind, failure.may_have_run) == (NO_DESCRIPTOR, False)


# Callers' connections.


def start_full_front(stack):
    """Return a front that has one connection, its maximum, and a caller that has it."""
    front = Front(stack)
    front.server.n_connections_max = 1
    sock = connect(stack, front)
    gevent.sleep(0.01)
    return front, sock


def test_a_connection_that_is_held_back_is_served_once_another_has_ended(stack):
    front, _ = start_full_front(stack)
    assert exchange(stack, front, GET).startswith(b"HTTP/1.1 200")
    assert front.server.n_held_back


def test_a_connection_whose_first_request_is_on_its_way_is_not_ended(stack):
    """Guards against the end of connections that were accepted just now."""
    front, sock = start_full_front(stack)
    front.server.min_idle_ms = TIMEOUT_MS
    waiting = gevent.spawn(exchange, stack, front, GET)
    gevent.sleep(0.1)
    sock.sendall(GET)
    response = read_to_end(sock)
    assert response.startswith(b"HTTP/1.1 200")
    assert b"Connection: close" in response
    assert waiting.get(timeout=3.0).startswith(b"HTTP/1.1 200")


def test_a_server_that_holds_callers_back_does_not_count_as_accepting(
    stack, monkeypatch
):
    """Guards against a VM that says it is ready while it takes nobody."""
    monkeypatch.setattr(servers, "ACCEPTING_MS", 50.0)
    front, sock = start_full_front(stack)
    front.server.min_idle_ms = TIMEOUT_MS
    assert front.server.is_accepting()
    waiting = gevent.spawn(exchange, stack, front, GET)
    gevent.sleep(0.2)
    assert not front.server.is_accepting()
    sock.sendall(GET)
    assert waiting.get(timeout=3.0).startswith(b"HTTP/1.1 200")
    gevent.sleep(0.01)
    assert front.server.is_accepting()


def test_a_stop_accepts_no_more_connections_than_the_maximum(stack):
    front, sock = start_full_front(stack)
    waiting = gevent.spawn(exchange, stack, front, GET)
    gevent.sleep(0.01)
    assert not stop_accepting([front.server])
    sock.close()
    with gevent.Timeout(3.0):
        while not stop_accepting([front.server]):
            gevent.sleep(0.01)
    assert waiting.get(timeout=3.0).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize(("n_descriptors", "n_left"), [(64, 24), (4100, 256)])
def test_some_descriptors_are_left_for_all_but_requests(n_descriptors, n_left):
    limits = ConnectionLimits.from_descriptors(n_descriptors)
    n_connections = limits.n_callers_max + limits.n_peers_max + limits.n_sends_max
    assert n_descriptors - n_connections == n_left
