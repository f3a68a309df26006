"""Steady load on a cluster of real processes, by a caller that follows CALLERS.md."""

import time
from collections import Counter

import gevent

from standins.caller import Caller

QUERY_INTERVAL_S = 0.01
ORDER_INTERVAL_S = 0.04


class Load:
    """Sends queries and orders at fixed intervals until it is stopped.

    A query is an idempotent GET request, and an order a POST request with an
    idempotency key. ``queries`` is the list of the queries' outcomes, and ``orders``
    maps idempotency keys to the orders' outcomes.
    """

    def __init__(self, cluster):
        self.caller = Caller([vm.front_address for vm in cluster.vms], seed=1)
        self.queries = []
        self.orders = {}
        self._is_sending = True
        self._senders = [
            gevent.spawn(self._send_queries),
            gevent.spawn(self._send_orders),
        ]
        self._pending = []

    def _send_queries(self):
        while self._is_sending:
            self._pending.append(gevent.spawn(self._send_query))
            gevent.sleep(QUERY_INTERVAL_S)

    def _send_query(self):
        self.queries.append(self.caller.call("shop", path="/jobs", n_tries=3))

    def _send_orders(self):
        n_sent = 0
        while self._is_sending:
            n_sent += 1
            self._pending.append(gevent.spawn(self._send_order, f"order-{n_sent}"))
            gevent.sleep(ORDER_INTERVAL_S)

    def _send_order(self, key):
        self.orders[key] = self.caller.call(
            "shop", "POST", "/orders", b"{}", key, n_tries=6
        )

    def stop(self):
        """Stop sending and wait for the requests in flight."""
        self._is_sending = False
        gevent.joinall(self._senders)
        gevent.joinall(self._pending, timeout=20)
        self.caller.close()

    def failed_queries(self):
        """Return the outcomes of the queries whose certainty is not "ran"."""
        return [o for o in self.queries if o.certainty != "ran"]

    def count_order_outcomes(self):
        """Return the number of orders for each certainty of their outcome."""
        return Counter(outcome.certainty for outcome in self.orders.values())


def run_for(seconds):
    """Wait for a time in seconds, during which the load goes on."""
    gevent.sleep(seconds)


def wait_for(is_done, timeout_s=20.0):
    """Wait until a condition holds; meanwhile, the load goes on.

    Raises AssertionError if the condition does not hold in time.
    """
    end_s = time.monotonic() + timeout_s
    while not is_done():
        assert time.monotonic() < end_s, f"condition not met within {timeout_s:g} s"
        gevent.sleep(0.05)
