"""Limits of the operating system that a stand-in sets on a process it starts."""

import os
import resource
from pathlib import Path

BYTES_PER_MB = 1 << 20
KB_PER_MB = 1024
# Memory and descriptors of a VM in the platform's settings.
MEMORY_MB = 300
N_DESCRIPTORS_MAX = 4100


class ProcessLimits:
    """Limits of one process; None leaves a limit as it is.

    Parameters
    ----------
    address_space_mb : int, optional
        Maximum size of the address space.
    data_mb : int, optional
        Maximum size of the heap and of private mappings.
    n_descriptors : int, optional
        Maximum number of open descriptors.
    n_threads : int, optional
        Maximum number of threads of the process's user, over all of its processes. With
        1, the process can't start a thread. The system does not enforce it for root.
    cores : set of int, optional
        Numbers of the cores on which the process runs.
    """

    __slots__ = ("address_space_mb", "data_mb", "n_descriptors", "n_threads", "cores")

    def __init__(
        self,
        address_space_mb=None,
        data_mb=None,
        n_descriptors=None,
        n_threads=None,
        cores=None,
    ):
        self.address_space_mb = address_space_mb
        self.data_mb = data_mb
        self.n_descriptors = n_descriptors
        self.n_threads = n_threads
        self.cores = cores

    @classmethod
    def from_settings(cls):
        """Return the limits of memory and descriptors that the settings state."""
        return cls(MEMORY_MB, MEMORY_MB, N_DESCRIPTORS_MAX)

    def apply(self):
        """Set the limits on the calling process."""
        for kind, value in self._values().items():
            if value is not None:
                resource.setrlimit(kind, (value, value))
        if self.cores:
            os.sched_setaffinity(0, self.cores)

    def _values(self):
        return {
            resource.RLIMIT_AS: to_bytes(self.address_space_mb),
            resource.RLIMIT_DATA: to_bytes(self.data_mb),
            resource.RLIMIT_NOFILE: self.n_descriptors,
            resource.RLIMIT_NPROC: self.n_threads,
        }


def to_bytes(size_mb):
    """Return a size in bytes; None stays None."""
    return None if size_mb is None else size_mb * BYTES_PER_MB


class ProcessUsage:
    """What a running process uses: address space, threads and descriptors."""

    __slots__ = ("address_space_mb", "n_threads", "n_descriptors")

    def __init__(self, address_space_mb, n_threads, n_descriptors):
        self.address_space_mb = address_space_mb
        self.n_threads = n_threads
        self.n_descriptors = n_descriptors

    @classmethod
    def from_process(cls, process_id):
        """Read the usage of a process."""
        folder = Path(f"/proc/{process_id}")
        n_pages = int((folder / "statm").read_text().split()[0])
        return cls(
            n_pages * resource.getpagesize() / BYTES_PER_MB,
            len(os.listdir(folder / "task")),
            len(os.listdir(folder / "fd")),
        )


def peak_memory_mb(process_id):
    """Return the highest resident size of a process so far; 0 if it has ended."""
    text = Path(f"/proc/{process_id}/status").read_text()
    peak_kb = text.partition("VmHWM:")[2].split()[:1] or [0]
    return int(peak_kb[0]) / KB_PER_MB
