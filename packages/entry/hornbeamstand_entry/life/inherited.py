"""What the process inherits from the program that starts it, and has to correct.

A signal mask survives the start of a program: a process whose launcher has blocked
SIGTERM would never hear it. So do closed descriptors: the next socket that is opened
would get the number of standard output, and the log lines.
"""

import os
import sys
from _signal import SIG_UNBLOCK, SIGHUP, SIGINT, SIGTERM, pthread_sigmask
from contextlib import suppress

# Variables that replace the event loop or the way it waits. One that is not built, or
# not known, would end the start.
IGNORED_VARIABLES = ("GEVENT_LOOP", "GEVENT_BACKEND", "LIBEV_FLAGS")
# Numbers of standard input, output and error.
STANDARD_DESCRIPTORS = (0, 1, 2)
# Names in the log of the signals that a process may handle.
SIGNAL_NAMES = {SIGHUP: "SIGHUP", SIGINT: "SIGINT", SIGTERM: "SIGTERM"}


class Corrections:
    """What was corrected at the start of the process.

    ``unblocked_signals`` are the names of the signals that the launcher had blocked,
    ``opened_descriptors`` the standard descriptors that it had closed, and
    ``ignored_variables`` the names of variables that were removed.
    """

    __slots__ = ("unblocked_signals", "opened_descriptors", "ignored_variables")

    def __init__(
        self, unblocked_signals=(), opened_descriptors=(), ignored_variables=()
    ):
        self.unblocked_signals = list(unblocked_signals)
        self.opened_descriptors = list(opened_descriptors)
        self.ignored_variables = list(ignored_variables)

    def describe(self):
        """Return the corrections by name, for the log; empty without any."""
        values = {name: getattr(self, name) for name in self.__slots__}
        return {name: value for name, value in values.items() if value}


def correct_inherited_state(handled_signals):
    """Correct what the launcher has left to this process; return the Corrections.

    ``handled_signals`` are the numbers of the signals whose handlers are set.
    """
    return Corrections(
        unblock_signals(handled_signals),
        open_standard_descriptors(),
        remove_variables(),
    )


def unblock_signals(handled_signals):
    """Unblock signals by their numbers; return the names of those that were blocked.

    Their handlers have to be set by then: pending ones come at once. A signal without
    a handler would end the process.
    """
    blocked = pthread_sigmask(SIG_UNBLOCK, handled_signals)
    return [SIGNAL_NAMES[number] for number in handled_signals if number in blocked]


def open_standard_descriptors():
    """Open the null device for each standard descriptor that is closed; return those.

    Without that device, the descriptors stay closed.
    """
    closed = [number for number in STANDARD_DESCRIPTORS if not is_open(number)]
    with suppress(OSError):
        for _ in closed:
            # The system gives the lowest number that is free.
            os.open(os.devnull, os.O_RDWR)
        # Python has left out the streams of closed descriptors.
        sys.stdout = sys.stdout or open(1, "w", closefd=False)
        sys.stderr = sys.stderr or open(2, "w", closefd=False)
    return closed


def is_open(descriptor):
    """Return whether a descriptor is open."""
    try:
        os.fstat(descriptor)
    except OSError:
        return False
    return True


def remove_variables():
    """Remove the variables that are ignored; return the names of those that were set.

    That has to come before the event loop is built.
    """
    return [
        name for name in IGNORED_VARIABLES if os.environ.pop(name, None) is not None
    ]
