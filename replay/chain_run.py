"""One simulated request: the run of its filter chain, and its end for the caller."""


class RequestResult:
    """How one request of a caller ended.

    ``refusal`` is None for a success. Otherwise it is the Refusal, or the Answer if its
    status is 500 or above.
    """

    __slots__ = ("arrived_at_ms", "latency_ms", "refusal", "service_name")

    def __init__(self, arrived_at_ms, latency_ms, refusal, service_name):
        self.arrived_at_ms = arrived_at_ms
        self.latency_ms = latency_ms
        self.refusal = refusal
        self.service_name = service_name


class ChainRun:
    """The run of one VM's filter chain for one request.

    ``service_ms`` is the request's service time at a target that is not slowed down,
    and ``on_end`` is called with the chain's outcome.
    """

    __slots__ = ("vm", "call", "steps", "service_ms", "on_end", "is_done")

    def __init__(self, vm, call, service_ms, on_end):
        self.vm = vm
        self.call = call
        self.service_ms = service_ms
        self.on_end = on_end
        self.steps = vm.chain(call)
        self.is_done = False

    def step(self, reply=None):
        """Give the chain a reply and perform its effects.

        Returns at the end of the chain or at an effect whose reply comes later.
        """
        while True:
            try:
                effect = self.steps.send(reply)
            except StopIteration as stop:
                self.is_done = True
                self.on_end(stop.value)
                return
            reply = self.vm.perform(self, effect)
            if reply is WAIT:
                return


# Returned by performers of effects whose reply comes later.
WAIT = object()
