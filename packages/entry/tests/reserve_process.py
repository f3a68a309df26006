"""A process for tests: prints by how much a memory reserve makes it grow, in bytes."""

import resource

from hornbeamstand_entry.tasks.memory_errors import MemoryReserve


def resident_bytes():
    """Return the resident size of this process."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


def main():
    """Print the growth."""
    n_before_bytes = resident_bytes()
    reserve = MemoryReserve()
    n_bytes = resident_bytes() - n_before_bytes
    print(n_bytes if reserve.is_held else -1)


if __name__ == "__main__":
    main()
