"""Steady load on a cluster of real processes, from callers as documented."""

import time
from collections import Counter

import gevent

from standins.caller import Caller

LOOKUP_INTERVAL_S = 0.01
ORDER_INTERVAL_S = 0.04


class Load:
    """Sends lookups and orders until it is stopped.

    ``lookups`` and ``orders`` hold the outcomes; ``orders`` by idempotency key.
    """

    def __init__(self, cluster):
        self.caller = Caller([vm.front for vm in cluster.vms], seed=1)
        self.lookups = []
        self.orders = {}
        self._is_on = True
        self._senders = [gevent.spawn(self._look_up), gevent.spawn(self._order)]
        self._pending = []

    def _look_up(self):
        while self._is_on:
            self._pending.append(gevent.spawn(self._look_up_once))
            gevent.sleep(LOOKUP_INTERVAL_S)

    def _look_up_once(self):
        self.lookups.append(self.caller.call("shop", path="/jobs", n_tries=3))

    def _order(self):
        n_sent = 0
        while self._is_on:
            n_sent += 1
            self._pending.append(gevent.spawn(self._order_once, f"order-{n_sent}"))
            gevent.sleep(ORDER_INTERVAL_S)

    def _order_once(self, key):
        self.orders[key] = self.caller.call(
            "shop", "POST", "/orders", b"{}", key, n_tries=6
        )

    def stop(self):
        """Stop sending and wait for what is under way."""
        self._is_on = False
        gevent.joinall(self._senders)
        gevent.joinall(self._pending, timeout=20)
        self.caller.close()

    def failed_lookups(self):
        """Return the lookups that were not answered."""
        return [o for o in self.lookups if o.certainty != "ran"]

    def outcomes(self):
        """Return a count of the orders' outcomes."""
        return Counter(outcome.certainty for outcome in self.orders.values())


def run(seconds):
    """Let the load run for some time."""
    gevent.sleep(seconds)


def wait_for(is_done, timeout_s=20.0):
    """Wait, with the load going on, until a condition holds."""
    end_s = time.monotonic() + timeout_s
    while not is_done():
        assert time.monotonic() < end_s, "condition not reached"
        gevent.sleep(0.05)
