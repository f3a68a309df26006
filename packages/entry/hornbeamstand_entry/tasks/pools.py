"""Connection pools of a process, one for each address."""

from .connections import ConnectionPool


class Pools:
    """Creates the pool of an address when the address is first used.

    ``rules`` are the ConnectionRules of all pools, or None for the defaults.
    """

    __slots__ = ("clock", "rules", "stack", "_pools")

    def __init__(self, clock, stack, rules=None):
        self.clock = clock
        self.rules = rules
        self.stack = stack
        self._pools = {}

    def post(self, address, exchange):
        """Pass an exchange to the pool of an address."""
        pool = self._pools.get(address)
        if pool is None:
            pool = ConnectionPool(address, self.clock, self.rules)
            pool.start(self.stack)
            self._pools[address] = pool
        pool.task.post(exchange)
