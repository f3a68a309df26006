"""A process for tests: starts greenlets while it can't allocate any pages."""

import mmap
import resource
import sys
from contextlib import ExitStack

import gevent
from hornbeamstand_entry.tasks.failures import handle_loop_failures, spawn_supervised
from hornbeamstand_entry.tasks.greenlets import spawn

N_GREENLETS = 20
# Address space beyond what is in use, which is filled.
SPARE_BYTES = 1 << 20
PAGE_BYTES = 4096
UNLIMITED = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)


def address_space_bytes():
    """Return the size of this process's address space."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[0]) * PAGE_BYTES


def fill_address_space():
    """Limit the address space and fill it; return the blocks that do."""
    n_max_bytes = address_space_bytes() + SPARE_BYTES
    resource.setrlimit(resource.RLIMIT_AS, (n_max_bytes, resource.RLIM_INFINITY))
    blocks = []
    n_bytes = SPARE_BYTES
    while n_bytes >= PAGE_BYTES:
        try:
            blocks.append(mmap.mmap(-1, n_bytes))
        except OSError:
            n_bytes //= 2
    return blocks


def make_greenlet(start, ran):
    """Return a greenlet that notes in a list that it ran."""
    if start == "spawn_supervised":
        return spawn_supervised("test", ran.append, 1)
    return spawn(ran.append, 1)


def main(start):
    """Print how many greenlets have ended, and how many of them ran."""
    ended, ran = [], []
    with ExitStack() as stack:
        handle_loop_failures(stack)
        gevent.sleep(0.001)
        greenlets = [make_greenlet(start, ran) for _ in range(N_GREENLETS)]
        for greenlet in greenlets:
            greenlet.rawlink(ended.append)
        blocks = fill_address_space()
        gevent.sleep(0.05)
        resource.setrlimit(resource.RLIMIT_AS, UNLIMITED)
        del blocks
        print(len(ended), len(ran))


if __name__ == "__main__":
    main(sys.argv[1])
