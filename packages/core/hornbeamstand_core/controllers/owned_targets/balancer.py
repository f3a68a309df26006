"""The service controllers of one entry VM behind one message interface."""

from ...balancer_messages import CapacityReport, DeferredReply, ProbeResult
from ...messages import Acquire, Refusal, Release, SpendRetry, Withdraw
from .service import ServiceController


class Balancer:
    """Routes each message to the controller of its service.

    Parameters
    ----------
    member_id : str
        Id of this VM.
    make_choice, make_limit : callable
        Make the closures ``choose`` and ``adjust_limit`` of a new service controller.
    hop_ms : float
        Expected one-way time from this VM to a peer.
    """

    __slots__ = ("member_id", "services", "_make_choice", "_make_limit", "_hop_ms")

    def __init__(self, member_id, make_choice, make_limit, hop_ms):
        self.member_id = member_id
        self.services = {}
        self._make_choice = make_choice
        self._make_limit = make_limit
        self._hop_ms = hop_ms

    def add_service(self, name, spec):
        """Return the controller of a service; create it if the service is new."""
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
        """Return whether any request waits for a slot."""
        return any(len(service.queue) for service in self.services.values())

    def set_fence_end(self, fence_end_at_ms):
        """Set the time on the local clock up to which dispatches are allowed."""
        for service in self.services.values():
            service.fence_end_at_ms = fence_end_at_ms

    def handle(self, message, now_ms):
        """Handle one message; return the messages that result from it."""
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
        """Serve or expire queued requests and send due probes; return messages."""
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
    """Record a peer's free capacity and serve the queue with it; return messages."""
    service.peers.note(message)
    if len(service.queue):
        return service.drain(now_ms)
    return []


def spend_retry(service, message, now_ms):
    """Take one retry from the budget; return a list with whether one was left."""
    return [service.retry_budget.spend()]


HANDLERS = {
    Acquire: ServiceController.acquire,
    Release: ServiceController.release,
    Withdraw: ServiceController.withdraw,
    ProbeResult: ServiceController.note_probe,
    CapacityReport: note_capacity,
    SpendRetry: spend_retry,
}
