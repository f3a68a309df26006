"""The loans of slots between owners in different failure domains, of all services."""

from ...edge_node_messages import SendToPeer
from ...room_messages import RoomOffered, RoomWanted


class RoomLending:
    """Asks other owners for room, and answers those that ask.

    ``handlers`` maps message types to methods.

    Parameters
    ----------
    me : EdgeIdentity
        This VM.
    services : dict
        The ServiceCapacity by name.
    peers : PeerView
        The other VMs, and the owners among them.
    owns : callable
        Takes a service's name, a failure domain and the local time, and returns whether
        this VM is the service's owner there.
    """

    __slots__ = ("me", "services", "peers", "owns", "handlers")

    def __init__(self, me, services, peers, owns):
        self.me = me
        self.services = services
        self.peers = peers
        self.owns = owns
        self.handlers = {RoomWanted: self._offer, RoomOffered: self._note_offer}

    def _owns_here(self, name, now_ms):
        return self.owns(name, self.me.failure_domain, now_ms)

    def _offer(self, message, now_ms):
        service = self.services.get(message.service_name)
        if service is None or not self._owns_here(service.name, now_ms):
            return []
        offer = service.leaving.offer(service, message, now_ms)
        return [] if offer is None else [SendToPeer(message.ip, offer)]

    def _note_offer(self, message, now_ms):
        service = self.services.get(message.service_name)
        if service is None:
            return []
        service.leaving.note_offer(service, message, now_ms)
        return service.drain(now_ms)

    def ask(self, service_names, now_ms):
        """Ask the other owners of the services whose targets here are too few."""
        out = []
        for name in service_names:
            service = self.services.get(name)
            if service is not None and self._owns_here(name, now_ms):
                owners = self.peers.owner_by_domain(name, now_ms)
                out += service.leaving.ask(service, owners, self.me.ip, now_ms)
        return out

    def count_left(self):
        """Return the numbers of sends to other domains, by service and reason."""
        return {
            (service.name, reason): n_sends
            for service in self.services.values()
            for reason, n_sends in service.leaving.n_left.items()
        }
