"""An operator's roll-out on a cell: the order, new servers, and the end of one side."""

import gevent
import msgspec

from standins.edge_cell import DOMAINS, EdgeCell

OLD_VERSION = "v1"
NEW_VERSION = "v2"
# Interval at which the operator reads the status.
STATUS_INTERVAL_S = 0.02


class RolloutCell(EdgeCell):
    """A cell whose settings have bounds of roll-outs."""

    more_bounds = 'CanaryShare = 0.1\nCanarySlack = 50\nRollback = "5000ms"\n'


class Rollout:
    """Moves a service to new servers, and stops the old ones once it is complete.

    ``state`` is the last state that the status had, and ``states`` are all of them.

    Parameters
    ----------
    cell : RolloutCell
        The cell, whose servers of the service are the old ones.
    service : str
        The service.
    duration_s : float
        Time for the move.
    """

    def __init__(self, cell, service, duration_s):
        self.cell = cell
        self.service = service
        self.duration_s = duration_s
        self.old = [server for server in cell.servers if server.service == service]
        self.new = []
        self.states = []

    @property
    def state(self):
        """The last state of the status, or None."""
        return self.states[-1] if self.states else None

    def start(self, **values):
        """Write the order and start one new server for each old one."""
        order = {
            "Backend": self.service,
            "TargetVersion": NEW_VERSION,
            "Duration": f"{self.duration_s}s",
        }
        self.cell.store.put(f"op/rollout/{self.service}", order)
        for i in range(len(self.old)):
            self.new.append(self._start_server(i, values))
        watcher = gevent.spawn(self._watch)
        self.cell.stack.callback(watcher.kill, block=False)

    def _start_server(self, i, values):
        name = f"{self.service}-new-{i}"
        server = self.cell.make_server(name, self.service, DOMAINS[i % len(DOMAINS)])
        server.version = NEW_VERSION
        server.started_wall_ms = 2
        for field, value in values.items():
            setattr(server, field, value)
        self.cell.write_entry(server)
        return server

    def _watch(self):
        while self.state in (None, "running"):
            item = self.cell.store.items.get(f"status/rollout/{self.service}")
            state = msgspec.json.decode(item.value)["State"] if item else None
            if state is not None and state != self.state:
                self.states.append(state)
            gevent.sleep(STATUS_INTERVAL_S)
        if self.state == "complete":
            for server in self.old:
                server.stop()
                self.cell.store.delete(f"servers/{server.server_id}")
