"""Lets the store come back from an older copy, or owners die while it is down."""

from collections import deque

import gevent
import msgspec
from gevent.lock import BoundedSemaphore

from ..proxy import PASS, SILENT
from ..schedule import Fault
from .records import now_s

# Interval between two copies of the store, and the number that is kept.
COPY_INTERVAL_S = 0.5
N_COPIES = 22
# Minimum and maximum age of a copy, and time for which the store is away.
COPY_AGE_S = (1.0, 10.0)
AWAY_S = (0.1, 3.0)
# Interval at which targets write their entries, and the number of intervals after which
# the entry of a silent one is removed.
HEARTBEAT_S = 1.5
N_SILENT_HEARTBEATS = 3
# Time after which the operator writes again what the copy lacks, and publishes.
OPERATE_AGAIN_S = (0.1, 1.0)
PUBLISH_DELAY_S = 0.6
# Time from a change that the copy may lack to the drill.
LOST_CHANGE_S = (0.2, 4.0)
# Time by which what happens to a VM outlasts the store's absence.
OUTLAST_S = 1.0
# Numbers of VMs, inside and outside the failure domain whose owners die, that are
# stopped in turn before, the pause between two, and the time to the store's absence.
N_STOPPED_INSIDE = 2
N_STOPPED_OUTSIDE = 2
STOP_PAUSE_S = 0.5
STOPPED_S = 1.5
# Time for which the store is down while owners die.
DOWN_S = (6.0, 10.0)
KILLS_DELAY_S = 2.0
KILL_PAUSE_S = 0.4
# Time from a kill to the start, unless the VM starts again with the store's return.
DEAD_S = 1.5
KILLED_SHARE = 0.45
# Kinds of events before, during and after the store's absence.
BEFORE = ("drain", "leave", "target-reuse", "domain-out", "config")
DURING = ("", "freeze", "cut-store", "add-vm", "kill")
AFTER = ("", "", "restart-all", "stop")
# Time from then to the next drill: VMs that all start need a store that answers.
AFTER_S = 3.0


class StoreDrills:
    """Plays drills on a DayCell, one at a time.

    Parameters
    ----------
    operations : Operations
        Plays the events beside the drills.
    rng : Random
        Draws the drills.
    """

    __slots__ = ("operations", "cell", "journal", "rng", "_copies", "_lock")

    def __init__(self, operations, rng):
        self.operations = operations
        self.cell = operations.cell
        self.journal = operations.journal
        self.rng = rng
        self._copies = deque(maxlen=N_COPIES)
        self._lock = BoundedSemaphore()

    def keep_copies(self):
        """Copy the store at intervals until the greenlet is killed."""
        while True:
            self._copies.append((now_s(), self.cell.store.take_copy()))
            gevent.sleep(COPY_INTERVAL_S)

    def come_back_from_copy(self, event):
        """Let the store be away and come back, unless another drill lasts too long."""
        if not self._lock.acquire(timeout=event.duration_s):
            return
        try:
            self._play_beside(self.rng.choice(BEFORE), OUTLAST_S)
            gevent.sleep(self.rng.uniform(*LOST_CHANGE_S))
            away_s = self.rng.uniform(*AWAY_S)
            self._play_beside(self.rng.choice(DURING), away_s + OUTLAST_S)
            self._lose_changes(away_s)
            after = self.rng.choice(AFTER)
            self._play_beside(after, OUTLAST_S)
            gevent.sleep(AFTER_S if after else 0.0)
        finally:
            self._lock.release()

    def _play_beside(self, kind, duration_s):
        if kind:
            event = Fault(0.0, kind, self.rng.randrange(1000), duration_s)
            gevent.spawn(self.operations.play, event)

    def _lose_changes(self, away_s):
        work = self.journal.add_unplanned("store-copy")
        is_back_at_once = self.rng.random() < 0.5
        self._go_away()
        if is_back_at_once:
            self._come_back()
        gevent.sleep(away_s)
        if not is_back_at_once:
            self._come_back()
        self._return()
        work.end_s = now_s()
        self._write_again()

    def _go_away(self):
        """Let calls fail at once, or hang."""
        store = self.cell.store
        if self.rng.random() < 0.5:
            store.mode = "silent"
            store.silence_connections()
        else:
            store.mode = "busy"
            self._reset_connections()

    def _return(self):
        self.cell.store.mode = "ok"
        if self.rng.random() < 0.5:
            self._reset_connections()

    def _reset_connections(self):
        for proxy in self.cell.store_proxies:
            proxy.reset_all()

    def _come_back(self):
        """Restore a copy; in half of the drills, revisions pass those before."""
        store = self.cell.store
        lost_revision = store.revision
        taken_s, copy = self._draw_copy()
        store.come_back(copy)
        while self._copies and self._copies[-1][0] > taken_s:
            self._copies.pop()
        if self.rng.random() < 0.5:
            target = self.cell.live_targets()[0]
            while store.revision <= lost_revision:
                self.cell.write_entry(target)

    def _draw_copy(self):
        age_s = self.rng.uniform(*COPY_AGE_S)
        return min(self._copies, key=lambda copy: abs(now_s() - age_s - copy[0]))

    # What is written again after a return.

    def _write_again(self):
        """Let the operator and the targets write again what the copy lacks."""
        gevent.spawn_later(self.rng.uniform(*OPERATE_AGAIN_S), self._operate_again)
        gevent.spawn_later(PUBLISH_DELAY_S, self.operations.publish)
        for target in self.cell.servers:
            delay_s = self.rng.uniform(0.0, HEARTBEAT_S)
            gevent.spawn_later(delay_s, self._write_entry_again, target)
            delay_s = N_SILENT_HEARTBEATS * HEARTBEAT_S
            gevent.spawn_later(delay_s, self._remove_silent, target)

    def _operate_again(self):
        store = self.cell.store
        item = store.items.get("op/config")
        version = msgspec.json.decode(item.value)["Version"] if item else ""
        if version != f"r{self.cell.version}":
            self.cell.publish_again()
        keys = {f"op/evacuate/{domain}" for domain in self.journal.domains_out}
        stored = {key for key in store.items if key.startswith("op/evacuate/")}
        for key in keys - stored:
            store.put(key, {})
        for key in stored - keys:
            store.delete(key)

    def _write_entry_again(self, target):
        """Write the entry of a target, or remove that of one that leaves."""
        key = f"servers/{target.server_id}"
        if target.state == "left":
            self.cell.store.delete(key)
        elif target.state != "gone":
            item = self.cell.store.items.get(key)
            entry = msgspec.json.decode(item.value) if item else {"Status": {}}
            if entry["Status"].get("State") != target.state:
                self.cell.write_entry(target)

    def _remove_silent(self, target):
        if target.state in ("left", "gone"):
            self.cell.store.delete(f"servers/{target.server_id}")

    # Owners that die while the store is down.

    def kill_owners(self, event):
        """Let the store be down, and kill several VMs one after another."""
        if not self._lock.acquire(timeout=event.duration_s):
            return
        try:
            down_s = self.rng.uniform(*DOWN_S)
            starts_with_store = self.rng.random() < 0.5
            killed = self._stop_in_turn()
            work = self.journal.add_unplanned("store-down")
            self._go_away()
            gevent.sleep(KILLS_DELAY_S)
            end_s = work.start_s + down_s
            for vm in killed:
                dead_s = end_s - now_s() if starts_with_store else DEAD_S
                gevent.spawn(self.operations.kill_vms, [vm], dead_s)
                gevent.sleep(KILL_PAUSE_S)
            gevent.sleep(max(0.0, end_s - now_s()))
            self._return()
            work.end_s = now_s()
        finally:
            self._lock.release()

    def _stop_in_turn(self):
        """Restart some VMs; return others to kill, all of a failure domain first."""
        vms = self.rng.sample(self.cell.vms, len(self.cell.vms))
        domain = vms[0].domain
        inside = [vm for vm in vms if vm.domain == domain]
        outside = [vm for vm in vms if vm.domain != domain]
        for vm in inside[:N_STOPPED_INSIDE] + outside[:N_STOPPED_OUTSIDE]:
            gevent.spawn(self.operations.processes.stop, vm)
            gevent.sleep(STOP_PAUSE_S)
        gevent.sleep(STOPPED_S)
        killed = inside[N_STOPPED_INSIDE:] + outside[N_STOPPED_OUTSIDE:]
        return killed[: int(KILLED_SHARE * len(vms))]

    def cut_from_store(self, event):
        """Let the calls of one VM to the store hang for a while."""
        vm = self.cell.vms[event.index % len(self.cell.vms)]
        work = self.journal.add_unplanned("cut-store", vm.name)
        proxy = self.cell.store_proxy(vm)
        proxy.mode = SILENT
        gevent.sleep(event.duration_s)
        proxy.mode = PASS
        work.end_s = now_s()
