"""Plays the events of a day: planned work of operators, and disruptions."""

from random import Random

import gevent

from standins.edge_cell import DOMAINS

from ..proxy import ONE_WAY, PASS, SILENT
from .crowds import play_crowd
from .endless import play_endless
from .probes import Prober
from .processes import Processes
from .records import now_s
from .site import GRACE_S, SERVICES
from .store_drills import StoreDrills

# Time from a configuration to a stop beside it, either way.
BESIDE_S = 0.6
# Time for which a target goes on after it reported that it drains, and in which its
# entry is gone.
DRAINING_S = 2.2
LEAVING_S = 3.0
# Number of VMs that are stopped in turn, and the pause between two.
N_IN_TURN = 4
IN_TURN_PAUSE_S = 0.5
# Time for which a failure domain is out of service.
OUT_S = 9.0
SLOW_SPEED = 4.0
# Time for which all VMs are down before the last part of the day.
DURATION_ALL_S = 0.2
# VMs that are added at the same moment, as a share of those at the start.
ADDED_SHARE = 0.75
LOOKUP_TTLS_S = (2, 3, 4, 5)


class Operations:
    """Plays events on a DayCell and records them in its DayJournal."""

    __slots__ = (
        "cell",
        "journal",
        "rng",
        "processes",
        "prober",
        "store_drills",
        "_players",
    )

    def __init__(self, cell, journal, seed):
        self.cell = cell
        self.journal = journal
        self.rng = Random(f"{seed}-operations")
        self.processes = Processes(cell, journal)
        self.prober = Prober(cell, journal)
        self.store_drills = StoreDrills(self, Random(f"{seed}-drills"))
        self._players = {
            "stop": self._stop,
            "stop-two": self._stop_two,
            "stop-in-turn": self._stop_in_turn,
            "stop-young": self._stop_young,
            "stop-beside-config": self._stop_beside_config,
            "stop-beside-removal": self._stop_beside_removal,
            "stop-without-store": self._stop_without_store,
            "reload": self._reload,
            "config": lambda event: self.publish(),
            "drain": self._drain,
            "leave": self._leave,
            "domain-out": self._take_domain_out,
            "add-vm": self._add_vm,
            "add-many": self._add_many,
            "freeze": self._freeze,
            "freeze-in-stop": self._freeze_in_stop,
            "stop-in-freeze": self._stop_in_freeze,
            "kill": self._kill,
            "kill-half": self._kill_half,
            "kill-all": lambda event: self.kill_all(),
            "cut-domains": self._cut_domains,
            "cut-vm": self._cut_vm,
            "cut-peers-one-way": self._cut_peers_one_way,
            "cut-store-one-way": self._cut_store_one_way,
            "target-crash": self._crash_target,
            "target-reset": self._reset_target,
            "target-reuse": self._reuse_address,
            "target-slow": self._slow_target,
            "endless": lambda event: play_endless(cell, journal, seed, event),
            "crowd": lambda event: play_crowd(cell, journal, seed, event),
            "store-refuses-one": self._refuse_one,
            "store-reset": self._reset_store,
            "store-forgets": lambda event: cell.store.compact_history(),
            "restart-all": lambda event: self.kill_all(),
            "store-copy": self.store_drills.come_back_from_copy,
            "store-down": self.store_drills.kill_owners,
            "cut-store": self.store_drills.cut_from_store,
        }
        for mode in ("busy", "many", "silent", "lost"):
            self._players[f"store-{mode}"] = self._make_store_mode(mode)

    def play(self, event):
        """Play one event until its end."""
        self._players[event.kind](event)

    def _vm(self, event, offset=0):
        return self.cell.vms[(event.index + offset) % len(self.cell.vms)]

    # Planned work.

    def _stop(self, event):
        self.processes.stop(self._vm(event))

    def _stop_two(self, event):
        first, second = self._vm(event), self._vm(event, 1)
        job = gevent.spawn(self.processes.stop, first)
        gevent.sleep(event.duration_s / 4.0)
        self.processes.stop(second)
        job.join()

    def _stop_in_turn(self, event):
        for vm in [self._vm(event, i) for i in range(N_IN_TURN)]:
            self.processes.stop(vm)
            gevent.sleep(IN_TURN_PAUSE_S)

    def _stop_young(self, event):
        vm = self.processes.stop(self._vm(event))
        if vm is not None:
            gevent.sleep(event.duration_s)
            self.processes.stop(vm)

    def _stop_beside_config(self, event):
        job = gevent.spawn(self.publish)
        gevent.sleep(self.rng.random() * BESIDE_S)
        self._stop(event)
        self.publish()
        job.join()

    def _stop_beside_removal(self, event):
        job = gevent.spawn(self.processes.stop, self._vm(event), restarts=False)
        gevent.sleep(event.duration_s / 4.0)
        self.processes.stop(self._vm(event, 1))
        job.join()
        self._add_vm(event)

    def _reload(self, event):
        vm = self._vm(event)
        self.cell.write_settings(vm, self.rng.choice(LOOKUP_TTLS_S))
        self.processes.reload(vm)

    def publish(self):
        """Publish a version with one change of the routes."""
        work = self.journal.add_planned("config")
        self.cell.change_routes(self.rng)
        self.cell.publish()
        work.end_s = now_s()
        gevent.spawn(self.prober.check_applied, self.cell.version)

    def _drain(self, event):
        targets = self.cell.live_targets()
        target = targets[event.index % len(targets)]
        self.cell.add_target(target.service, target.domain)
        target.state = "draining"
        self.cell.write_entry(target)
        self.journal.left_s[target.server_id] = now_s()
        gevent.sleep(DRAINING_S)
        self._remove(target)

    def _leave(self, event):
        """Let a target leave that never reports that it drains."""
        targets = self.cell.live_targets()
        target = targets[event.index % len(targets)]
        self.cell.add_target(target.service, target.domain)
        self.journal.left_s[target.server_id] = now_s()
        self._remove(target)

    def _remove(self, target):
        """Remove the entry of a target, which goes on for a while."""
        target.state = "left"
        self.cell.store.delete(f"servers/{target.server_id}")
        gevent.sleep(LEAVING_S)
        target.state = "gone"
        target.stop()

    def _take_domain_out(self, event):
        """Take a failure domain out of service for a while, if none is."""
        if self.journal.domains_out:
            return
        domain = DOMAINS[event.index % len(DOMAINS)]
        self.cell.store.put(f"op/evacuate/{domain}", {})
        self.journal.domains_out[domain] = now_s()
        gevent.sleep(OUT_S)
        del self.journal.domains_out[domain]
        self.cell.store.delete(f"op/evacuate/{domain}")

    def _add_vm(self, event):
        self.processes.watch_start(self.cell.add_vm())

    def _add_many(self, event):
        work = self.journal.add_planned("add-many")
        vms = self.cell.add_vms(int(ADDED_SHARE * self.cell.n_vms))
        gevent.joinall([self.processes.watch_start(vm) for vm in vms])
        work.end_s = now_s()

    # Disruptions of VMs.

    def _freeze(self, event):
        vm = self._vm(event)
        if self.processes.claim(vm):
            self.processes.freeze(vm, event.duration_s)
            self.processes.release(vm)

    def _freeze_in_stop(self, event):
        vm = self._vm(event)
        job = gevent.spawn(self.processes.stop, vm)
        gevent.sleep(event.duration_s / 4.0)
        if vm.process.poll() is None:
            self.processes.freeze(vm, min(event.duration_s, GRACE_S / 3.0))
        job.join()

    def _stop_in_freeze(self, event):
        vm = self._vm(event)
        if vm.name in self.cell.claimed_vms:
            return
        job = gevent.spawn(self.processes.freeze, vm, event.duration_s)
        gevent.sleep(event.duration_s / 2.0)
        self.processes.stop(vm)
        job.join()

    def _kill(self, event):
        self.kill_vms([self._vm(event)], event.duration_s)

    def _kill_half(self, event):
        self.kill_vms(self.cell.vms[event.index % 2 :: 2], event.duration_s)

    def kill_all(self):
        """Kill all VMs and start them again."""
        self.kill_vms(list(self.cell.vms), DURATION_ALL_S)

    def kill_vms(self, vms, duration_s):
        """Kill VMs that no event has, and start them again after a while."""
        claimed = [vm for vm in vms if self.processes.claim_to_end(vm)]
        works = [self.journal.add_unplanned("kill", vm.name) for vm in claimed]
        for vm in claimed:
            self.cell.kill(vm)
        gevent.sleep(duration_s)
        for vm, work in zip(claimed, works, strict=True):
            self.processes.restart(vm)
            work.end_s = now_s()

    # Cuts.

    def _cut(self, kind, vm, paths, event, store_mode=PASS):
        """Cut paths, and change how the store's answers reach a VM, for a while."""
        work = self.journal.add_unplanned(kind, vm.name if vm else "")
        proxies = [self.cell.store_proxy(vm)] if store_mode != PASS else []
        self.cell.network.set_cut(paths, True)
        for proxy in proxies:
            proxy.mode = store_mode
        gevent.sleep(event.duration_s)
        for proxy in proxies:
            proxy.mode = PASS
        self.cell.network.set_cut(paths, False)
        work.end_s = now_s()

    def _cut_domains(self, event):
        first, second = (
            [vm for vm in self.cell.vms if vm.domain == domain]
            for domain in self.rng.sample(DOMAINS, 2)
        )
        between = self.cell.network.between
        paths = between(first, second) + between(second, first)
        self._cut("cut-domains", None, paths, event)

    def _cut_vm(self, event):
        vm = self._vm(event)
        between = self.cell.network.between
        paths = between([vm], self.cell.vms) + between(self.cell.vms, [vm])
        self._cut("cut-vm", vm, paths, event, SILENT)

    def _cut_peers_one_way(self, event):
        vm = self._vm(event)
        ends = [[vm], self.cell.vms]
        self.rng.shuffle(ends)
        paths = self.cell.network.between(*ends)
        self._cut("cut-peers-one-way", vm, paths, event)

    def _cut_store_one_way(self, event):
        self._cut("cut-store-one-way", self._vm(event), [], event, ONE_WAY)

    # Disruptions of targets.

    def _target(self, event):
        targets = self.cell.live_targets()
        return targets[event.index % len(targets)]

    def _crash_target(self, event):
        target = self._target(event)
        work = self.journal.add_unplanned("target-crash")
        target.state = "gone"
        target.crash()
        gevent.sleep(event.duration_s)
        self.cell.store.delete(f"servers/{target.server_id}")
        self.cell.add_target(target.service, target.domain)
        work.end_s = now_s()

    def _reuse_address(self, event):
        """Let a target of another service start at the address of one that ends."""
        target = self._target(event)
        work = self.journal.add_unplanned("target-reuse")
        target.state = "gone"
        target.crash()
        port = int(target.address.rpartition(":")[2])
        others = [name for name in SERVICES if name != target.service]
        self.cell.add_target(self.rng.choice(others), target.domain, port)
        gevent.sleep(event.duration_s)
        self.cell.store.delete(f"servers/{target.server_id}")
        self.cell.add_target(target.service, target.domain)
        work.end_s = now_s()

    def _reset_target(self, event):
        work = self.journal.add_unplanned("target-reset")
        self._target(event).reset_connections()
        work.end_s = now_s()

    def _slow_target(self, event):
        work = self.journal.add_unplanned("target-slow")
        target = self._target(event)
        target.speed = SLOW_SPEED
        gevent.sleep(event.duration_s)
        target.speed = 1.0
        work.end_s = now_s()

    # Disruptions of the store.

    def _make_store_mode(self, mode):
        def disturb(event):
            work = self.journal.add_unplanned(f"store-{mode}")
            self.cell.store.mode = mode
            gevent.sleep(event.duration_s)
            self.cell.store.mode = "ok"
            work.end_s = now_s()

        return disturb

    def _stop_without_store(self, event):
        job = gevent.spawn(self._players["store-busy"], event)
        gevent.sleep(event.duration_s / 4.0)
        self._stop(event)
        job.join()

    def _refuse_one(self, event):
        proxies = self.cell.store_proxies
        proxy = proxies[event.index % len(proxies)]
        work = self.journal.add_unplanned("store-refuses-one")
        proxy.mode = SILENT
        gevent.sleep(event.duration_s)
        proxy.mode = PASS
        work.end_s = now_s()

    def _reset_store(self, event):
        work = self.journal.add_unplanned("store-reset")
        for proxy in self.cell.store_proxies:
            proxy.reset_all()
        work.end_s = now_s()
