"""The platform and the targets of a simulated cell, in memory."""

from hornbeamstand_core.view import View

LEASE_MS = 1000.0


class FakePlatform:
    """A platform in memory, which holds the view and the leases of a cell.

    ``leases`` maps a lease id to the time in ms at which the lease lapses. Calls fail
    unless ``is_up``. The next ``n_lost_answers`` answers to writes of the
    view are lost, although the writes may take effect. ``n_calls`` counts all calls.
    """

    def __init__(self, world):
        self.world = world
        self.view = View.empty()
        self.revision = 0
        self.leases = {}
        self.is_up = True
        self.n_lost_answers = 0
        self.n_calls = 0

    def grant(self):
        """Grant a lease and return its id."""
        lease_id = f"lease{len(self.leases)}"
        self.leases[lease_id] = self.world.now_ms + LEASE_MS
        return lease_id

    def renew(self, renew_ids, check_ids):
        """Renew the leases of the first list.

        Returns the ids in both lists whose leases have lapsed.
        """
        lapsed = []
        for lease_id in [*renew_ids, *check_ids]:
            if self.leases.get(lease_id, 0.0) < self.world.now_ms:
                lapsed.append(lease_id)
            elif lease_id in renew_ids:
                self.leases[lease_id] = self.world.now_ms + LEASE_MS
        return lapsed

    def write(self, view, revision):
        """Write the view by compare-and-swap and return whether it took effect."""
        if revision != self.revision:
            return False
        self.view = view
        self.revision += 1
        return True


class FakeTarget:
    """Counts the requests that really run on a target.

    ``n_overrun`` counts the starts of a request beyond the slots.
    """

    def __init__(self, slots):
        self.slots = slots
        self.n_running = 0
        self.n_running_max = 0
        self.n_overrun = 0

    def start(self):
        """Count a request that starts."""
        self.n_running += 1
        self.n_running_max = max(self.n_running_max, self.n_running)
        if self.n_running > self.slots:
            self.n_overrun += 1

    def end(self):
        """Count a request that ends."""
        self.n_running -= 1
