"""The set of service controllers of one entry VM, driven by messages."""

from ..balancer_messages import CapacityReport, DeferredReply, ProbeResult
from ..messages import Acquire, Refusal, Release, SpendRetry, Withdraw
from .service import ServiceController


class Balancer:
    """Route each message to the controller of its service.

    Parameters
    ----------
    member_id : str
        This VM.
    make_choice, make_limit : callable
        Build the closures of a new service controller.
    hop_ms : float
        Expected time from this VM to a peer, one way.
    """

    __slots__ = ("member_id", "services", "_make_choice", "_make_limit", "_hop_ms")

    def __init__(self, member_id, make_choice, make_limit, hop_ms):
        self.member_id = member_id
        self.services = {}
        self._make_choice = make_choice
        self._make_limit = make_limit
        self._hop_ms = hop_ms

    def add_service(self, name, spec):
        """Return the service's controller, made if it is new."""
        if name not in self.services:
            self.services[name] = ServiceController(
                name,
                spec,
                self.member_id,
                self._make_choice(),
                self._make_limit(),
                self._hop_ms,
            )
        return self.services[name]

    def has_waiting(self):
        """Tell whether any request waits for a slot."""
        return any(len(service.queue) for service in self.services.values())

    def extend_fence(self, fence_at_ms):
        """Allow dispatches until a later time on the local clock."""
        for service in self.services.values():
            service.fence_at_ms = fence_at_ms

    def handle(self, message, now_ms):
        """Take one message; returns the messages it leads to."""
        service = self.services.get(message_service_name(message))
        if service is None:
            return self._refuse_unknown(message)
        handler = HANDLERS[type(message)]
        return handler(service, message, now_ms)

    def _refuse_unknown(self, message):
        if not isinstance(message, Acquire):
            return []
        refusal = Refusal("service not ready", step="choose", peer=message.service_name)
        return [DeferredReply(message.request_id, refusal)]

    def tick(self, now_ms):
        """Expire waiting requests, send probes and news; returns messages."""
        out = []
        for service in self.services.values():
            if len(service.queue):
                out += service.drain(now_ms)
            out += service.find_probe(now_ms)
        return out


def message_service_name(message):
    """Return the name of the service that a message concerns."""
    if isinstance(message, Release):
        return message.permit.service_name
    return message.service_name


def note_capacity(service, message, now_ms):
    """Take a peer's news and hand waiting requests to it."""
    service.peers.note(message)
    if len(service.queue):
        return service.drain(now_ms)
    return []


def spend_retry(service, message, now_ms):
    """Return whether the retry budget allows one more dispatch."""
    return [service.retry_budget.spend()]


HANDLERS = {
    Acquire: ServiceController.acquire,
    Release: ServiceController.release,
    Withdraw: ServiceController.withdraw,
    ProbeResult: ServiceController.note_probe,
    CapacityReport: note_capacity,
    SpendRetry: spend_retry,
}
