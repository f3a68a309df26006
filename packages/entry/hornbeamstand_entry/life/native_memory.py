"""Limits the memory that the C library reserves or keeps for the process.

By default each thread reserves several megabytes for its stack, and each of the first
threads an arena of 64 MB for its allocations. Under a limit of the address space the
next thread can't be started then.

By default too, the library takes ever larger blocks from its heap once one of that size
was freed, and a heap from which bodies come and go keeps more than is in use.
"""

import ctypes
from contextlib import suppress

# Size of the stack of a native thread that doesn't state one.
THREAD_STACK_BYTES = 1 << 20
# Number of arenas that all threads share. Most of them only run one at a time.
N_ARENAS = 1
# The parameter of mallopt for the maximum number of arenas (malloc.h).
M_ARENA_MAX = -8
# The parameter of mallopt for the size from which a block is returned to the system as
# soon as it is freed, and that size.
M_MMAP_THRESHOLD = -3
RETURNED_BLOCK_BYTES = 128 << 10
# At least the size of a pthread_attr_t on the supported platforms.
THREAD_ATTRIBUTES_BYTES = 256


def limit_native_memory():
    """Limit what is reserved or kept from now on.

    A C library without these functions keeps its defaults.
    """
    library = ctypes.CDLL(None)
    with suppress(AttributeError):
        library.mallopt(M_ARENA_MAX, N_ARENAS)
        library.mallopt(M_MMAP_THRESHOLD, RETURNED_BLOCK_BYTES)
    with suppress(AttributeError):
        set_thread_stack_size(library)


def return_free_memory():
    """Return the free memory of the heap to the system."""
    with suppress(AttributeError):
        ctypes.CDLL(None).malloc_trim(0)


def set_thread_stack_size(library):
    """Set the default size of the stacks of threads."""
    attributes = ctypes.create_string_buffer(THREAD_ATTRIBUTES_BYTES)
    library.pthread_attr_init(attributes)
    library.pthread_attr_setstacksize(attributes, ctypes.c_size_t(THREAD_STACK_BYTES))
    library.pthread_setattr_default_np(attributes)
    library.pthread_attr_destroy(attributes)
