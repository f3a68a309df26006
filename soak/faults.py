"""Injects faults into a cell from outside of its processes."""

import signal

import gevent

from standins.edge_cell import DOMAINS, GRACE_MS

from .cell import find_exit
from .notices import become_cold, leave, pause, write_foreign_entry
from .proxy import DELAY, ONE_WAY, PASS, SILENT
from .records import Span
from .schedule import PLANNED_KINDS

MS_PER_S = 1000.0
# Time allowed for a planned stop beyond the grace period; a longer stop is a finding.
STOP_MARGIN_S = 0.7
# Exit statuses of a planned stop; the second one if the process has just started.
STOPPED_STATUSES = (0, -signal.SIGTERM)
# Delay before the processes start again after all of them were killed.
RESTART_DELAY_S = 0.1
# Time for which a server drains before its entry is removed, and time until the entry
# is written again.
DRAINING_S = 2.0
REMOVED_S = 3.0
# Time for which a failure domain is out of service: longer than checks.OUT_APPLY_S,
# after which its servers may get no requests.
OUT_OF_SERVICE_S = 7.0
# Remaining cold start in the entry of a server that has just started.
COLD_MS = 2500
# Server.speed of a slow server: factor on its work time, so a greater one is slower.
SLOW_SPEED = 4.0


class FaultInjector:
    """Injects the faults of one run and records them.

    Parameters
    ----------
    cell : SoakCell
        The cell into which faults are injected.
    journal : Journal
        Record of unplanned faults and planned work.
    now_s : callable
        Returns the time on the clock of the run.
    """

    __slots__ = ("cell", "journal", "now_s", "_handlers")

    def __init__(self, cell, journal, now_s):
        self.cell = cell
        self.journal = journal
        self.now_s = now_s
        # "store-refuses-one" silences the connections of one VM to the store, and
        # "store-cut" those of every VM.
        self._handlers = {
            "kill": self._kill,
            "kill-many": self._kill_many,
            "pause": self._pause,
            "stop": self._stop,
            "reload": self._reload,
            "store-forgets": lambda fault: cell.store.compact_history(),
            "store-refuses-one": lambda fault: self._disturb_store_link(fault, SILENT),
            "store-delay": lambda fault: self._disturb_store_link(fault, DELAY),
            "store-one-way": lambda fault: self._disturb_store_link(fault, ONE_WAY),
            "store-cut": self._silence_store,
            "store-reset": self._reset_store,
            "server-slow": self._slow_server,
            "server-reset": self._reset_server,
            "server-delay": lambda fault: self._disturb_server_link(fault, DELAY),
            "server-silent": lambda fault: self._disturb_server_link(fault, SILENT),
            "server-one-way": lambda fault: self._disturb_server_link(fault, ONE_WAY),
            "server-again": self._restart_server,
            "server-cold": self._start_cold,
            "server-drains": self._drain_server,
            "domain-out": self._take_domain_out,
            "config": self._publish,
            "notice-leaving": self._make_notice(leave),
            "notice-pause": self._make_notice(pause),
            "notice-cold": self._make_notice(become_cold),
            "foreign-entry": lambda fault: write_foreign_entry(cell),
        }
        for mode in ("busy", "many", "silent", "lost"):
            self._handlers[f"store-{mode}"] = self._make_store_mode(mode)
        for name, mode in (
            ("sheds", "shed"),
            ("errors", "error"),
            ("cuts", "cut"),
            ("extra", "extra"),
            ("no-status", "no status"),
        ):
            self._handlers[f"server-{name}"] = self._make_server_mode(mode)

    def inject(self, fault):
        """Inject one fault and end it after its duration.

        Planned work is not recorded as an unplanned fault.
        """
        if fault.kind in PLANNED_KINDS:
            self._handlers[fault.kind](fault)
            return
        span = Span(fault.kind, self.now_s())
        self.journal.unplanned_faults.append(span)
        self._handlers[fault.kind](fault)
        span.end_s = self.now_s()

    def _vm(self, fault):
        return self.cell.vms[fault.index % len(self.cell.vms)]

    def _server(self, fault):
        return self.cell.servers[fault.index % len(self.cell.servers)]

    # Faults of VM processes.

    def _claim(self, vm):
        """Claim a VM's process; returns False if another fault has it.

        A process that has already ended by itself is a finding.
        """
        if vm.name in self.cell.claimed_vms:
            return False
        self.journal.findings += find_exit(vm)
        self.cell.claimed_vms.add(vm.name)
        self.journal.outages.append(Span(vm.name, self.now_s()))
        return True

    def _release(self, vm):
        """End a VM's claim; its process runs again."""
        self.cell.claimed_vms.discard(vm.name)
        for span in self.journal.outages:
            if span.subject == vm.name:
                span.end_s = min(span.end_s, self.now_s())

    def _restart(self, vm):
        self.cell.start_vm(vm)
        self._release(vm)

    def _kill(self, fault):
        vm = self._vm(fault)
        if not self._claim(vm):
            return
        self.cell.kill(vm)
        gevent.sleep(fault.duration_s)
        self._restart(vm)

    def _kill_many(self, fault):
        claimed = [vm for vm in self.cell.vms if self._claim(vm)]
        for vm in claimed:
            self.cell.kill(vm)
        gevent.sleep(RESTART_DELAY_S)
        for vm in claimed:
            self._restart(vm)

    def _pause(self, fault):
        vm = self._vm(fault)
        if not self._claim(vm):
            return
        self.cell.signal(vm, signal.SIGSTOP)
        gevent.sleep(fault.duration_s)
        self.cell.signal(vm, signal.SIGCONT)
        self._release(vm)

    def _stop(self, fault):
        vm = self._vm(fault)
        if not self._claim(vm):
            return
        has_ended = vm.process.poll() is not None
        self.cell.signal(vm, signal.SIGTERM)
        if not self.cell.wait_for_exit(vm, GRACE_MS / MS_PER_S + STOP_MARGIN_S):
            if not self._has_active_fault():
                self.journal.findings.append(
                    f"{vm.name} did not stop within its grace period of {GRACE_MS} ms"
                )
            self.cell.kill(vm)
        elif not has_ended and vm.process.returncode not in STOPPED_STATUSES:
            self.journal.findings += find_exit(vm)
        self._restart(vm)

    def _has_active_fault(self):
        return any(span.end_s == float("inf") for span in self.journal.unplanned_faults)

    def _reload(self, fault):
        vm = self._vm(fault)
        if vm.name not in self.cell.claimed_vms:
            self.cell.signal(vm, signal.SIGHUP)

    # Faults of the store.

    def _make_store_mode(self, mode):
        def inject(fault):
            self.cell.store.mode = mode
            gevent.sleep(fault.duration_s)
            self.cell.store.mode = "ok"

        return inject

    def _disturb_store_link(self, fault, mode):
        proxies = self.cell.store_proxies
        self._disturb_proxies([proxies[fault.index % len(proxies)]], fault, mode)

    def _silence_store(self, fault):
        self._disturb_proxies(self.cell.store_proxies, fault, SILENT)

    def _disturb_proxies(self, proxies, fault, mode):
        for proxy in proxies:
            proxy.mode = mode
        gevent.sleep(fault.duration_s)
        for proxy in proxies:
            proxy.mode = PASS

    def _reset_store(self, fault):
        for proxy in self.cell.store_proxies:
            proxy.reset_all()

    # Faults of servers.

    def _make_server_mode(self, mode):
        def inject(fault):
            server = self._server(fault)
            server.mode = mode
            gevent.sleep(fault.duration_s)
            server.mode = "ok"

        return inject

    def _slow_server(self, fault):
        server = self._server(fault)
        server.speed = SLOW_SPEED
        gevent.sleep(fault.duration_s)
        server.speed = 1.0

    def _disturb_server_link(self, fault, mode):
        proxy = self.cell.server_proxies[self._server(fault).server_id]
        self._disturb_proxies([proxy], fault, mode)

    def _reset_server(self, fault):
        self.cell.server_proxies[self._server(fault).server_id].reset_all()

    def _restart_server(self, fault):
        server = self._server(fault)
        if not self.cell.is_usable(server):
            return
        self.cell.server_proxies[server.server_id].reset_all()
        server.started_wall_ms += 1
        self._write_cold_entry(server)

    def _start_cold(self, fault):
        server = self._server(fault)
        if self.cell.is_usable(server):
            self._write_cold_entry(server)

    def _write_cold_entry(self, server):
        self.cell.write_entry(server, COLD_MS)
        now_s = self.now_s()
        span = Span(server.server_id, now_s, now_s + COLD_MS / MS_PER_S)
        self.journal.cold.append(span)

    def _make_notice(self, play):
        def inject(fault):
            server = self._server(fault)
            if not self.cell.is_usable(server):
                return
            self.cell.claimed_servers.add(server.server_id)
            play(self.cell, self.journal, server, fault.duration_s)
            self.cell.claimed_servers.discard(server.server_id)

        return inject

    # Planned work of servers and operators.

    def _drain_server(self, fault):
        server = self._server(fault)
        if not self.cell.is_usable(server):
            return
        server.state = "draining"
        self.cell.write_entry(server)
        span = Span(server.server_id, self.now_s())
        self.journal.drained.append(span)
        gevent.sleep(DRAINING_S)
        self.cell.store.delete(f"servers/{server.server_id}")
        gevent.sleep(REMOVED_S)
        span.end_s = self.now_s()
        server.state = "ready"
        server.started_wall_ms += 1
        self._write_cold_entry(server)

    def _take_domain_out(self, fault):
        domain = DOMAINS[fault.index % len(DOMAINS)]
        if any(span.end_s == float("inf") for span in self.journal.out_of_service):
            return
        self.cell.store.put(f"op/evacuate/{domain}", {})
        span = Span(domain, self.now_s())
        self.journal.out_of_service.append(span)
        gevent.sleep(OUT_OF_SERVICE_S)
        span.end_s = self.now_s()
        self.cell.store.delete(f"op/evacuate/{domain}")

    def _publish(self, fault):
        self.cell.publish()
        self.journal.published_s[self.cell.version] = self.now_s()
