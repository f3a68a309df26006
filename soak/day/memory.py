"""Checks the memory of the VMs of a day."""

from standins.process_limits import peak_memory_mb

from .records import now_s


def check_memory(cell, when):
    """Return a finding for each VM that has used more memory than its settings say."""
    findings = []
    for vm in cell.vms:
        if vm.process.poll() is not None:
            continue
        peak_mb = peak_memory_mb(vm.process.pid)
        if peak_mb > cell.memory_mb:
            findings.append(
                f"{now_s():.2f} {vm.name} used {peak_mb:.0f} MB of"
                f" {cell.memory_mb} MB by the end of {when}"
            )
    return findings
