"""Asks each VM which configuration is in force on it, as the platform does."""

import gevent
from hornbeamstand_core.records import Record

from .checks import STATUS_NO_KEY, STATUS_NO_ROUTE
from .records import now_s
from .site import CHANGING_ORGANISATION, CONFIG_APPLY_S, changing_key
from .touch import is_in_touch

PROBE_INTERVAL_S = 1.0
# Interval between, and maximum time of, probes of a VM that lacks a configuration.
RETRY_S = 0.2
LATE_MAX_S = 20.0
# Time from the change of a configuration to its effect that is no regress.
ANSWER_MARGIN_S = 0.25
# Statuses that tell nothing of the routes: none came, or the VM refused.
UNKNOWN_STATUSES = frozenset([0, 408, 421, 429, 502, 503, 504])


class LateConfig(Record):
    """A configuration that came late to a VM, by a time after its acknowledgement."""

    __slots__ = ("version", "vm", "late_s")

    def __init__(self, version, vm, late_s):
        self.version = version
        self.vm = vm
        self.late_s = late_s


class Prober:
    """Probes the routes of each version, which all later versions have too.

    The only route of a version that the next one drops must be gone in time, and so
    must the key that the next one takes away.
    ``late`` has a LateConfig for each VM that lacked a version when its time had
    passed, and was not in touch.
    """

    __slots__ = ("cell", "journal", "late", "_seen")

    def __init__(self, cell, journal):
        self.cell = cell
        self.journal = journal
        self.late = []
        self._seen = {}

    def watch_regress(self):
        """Probe each VM at intervals for the latest version that it has served."""
        while True:
            gevent.sleep(PROBE_INTERVAL_S)
            for vm in list(self.cell.vms):
                gevent.spawn(self._check_regress, vm)

    def _check_regress(self, vm):
        process = vm.process
        seen = self._seen.get(process, 0)
        if not seen or process.poll() is not None:
            return
        status = self.cell.probe(vm, f"/sonda{seen}/p")
        if status == STATUS_NO_ROUTE:
            self.journal.findings.append(
                f"{now_s():.2f} {vm.name} went back behind version {seen}"
            )

    def check_applied(self, version):
        """Check each VM once the time of a version that was acknowledged has passed."""
        gevent.sleep(CONFIG_APPLY_S + ANSWER_MARGIN_S)
        for vm in list(self.cell.vms):
            gevent.spawn(self._check_vm, version, vm, vm.process)

    def _check_vm(self, version, vm, process):
        end_s = now_s() + LATE_MAX_S
        is_late = False
        while vm.process is process and process.poll() is None and now_s() < end_s:
            asked_s = now_s()
            if self._has(version, vm, process):
                break
            due_s = self.journal.config_acked_s[version] + CONFIG_APPLY_S
            if asked_s > due_s + ANSWER_MARGIN_S:
                is_late = True
                if is_in_touch(self.journal, vm.name, asked_s):
                    self._add_finding(version, vm)
                    return
            gevent.sleep(RETRY_S)
        if is_late:
            late_s = now_s() - self.journal.config_acked_s[version]
            self.late.append(LateConfig(version, vm.name, late_s))

    def _has(self, version, vm, process):
        """Return whether a VM has a version in force, or doesn't tell."""
        path = f"/sonda{version}/p"
        status = self.cell.probe(vm, path)
        if status in UNKNOWN_STATUSES:
            return True
        if status == STATUS_NO_ROUTE:
            return False
        self._seen[process] = max(version, self._seen.get(process, 0))
        dropped = self.cell.probe(vm, f"/sola{version - 1}/p")
        old_key = changing_key(version - 1)
        revoked = self.cell.probe(vm, path, CHANGING_ORGANISATION, old_key)
        is_dropped = dropped in UNKNOWN_STATUSES or dropped == STATUS_NO_ROUTE
        is_revoked = revoked in UNKNOWN_STATUSES or revoked == STATUS_NO_KEY
        return is_dropped and is_revoked

    def _add_finding(self, version, vm):
        age_s = now_s() - self.journal.config_acked_s[version]
        self.journal.findings.append(
            f"{now_s():.2f} {vm.name} lacks version {version} {age_s:.2f} s after"
            " its acknowledgement"
        )
