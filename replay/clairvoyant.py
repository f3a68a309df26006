"""The ideal to compare with: a central queue that sees every target's free slots.

Its latency is taken as the lower bound.
"""

from collections import deque

from .chain_run import RequestResult


class Clairvoyant:
    """Serves requests in the order of their arrival, each on the fastest free target.

    It passes no request from VM to VM, sees every slot and knows the present slowdown
    of each target.
    """

    def __init__(self, world, targets):
        self.world = world
        self.targets = targets
        self.results = []
        self._queue = deque()

    def request(self, service_name, service_ms, method="GET"):
        """Queue one request and start what can be started."""
        self._queue.append((service_name, service_ms, self.world.now_ms))
        self._serve()

    def _serve(self):
        while self._queue:
            free = [t for t in self.targets.values() if self._is_free(t)]
            if not free:
                return
            target = min(free, key=lambda t: t.factor)
            self._start(target, *self._queue.popleft())

    def _is_free(self, target):
        return target.mode == "ok" and target.n_running < target.slots - target.n_stolen

    def _start(self, target, service_name, service_ms, at_ms):
        def end(reply):
            latency_ms = self.world.now_ms - at_ms
            self.results.append(RequestResult(at_ms, latency_ms, None, service_name))
            self.world.call_later(0.0, self._serve)

        target.receive(service_ms, end)
