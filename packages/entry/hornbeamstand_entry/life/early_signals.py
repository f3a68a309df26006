"""Notes the signals that come before the process handles them.

Entry points that are run as scripts have lines of their own for this: they import no
module before.
"""

import os

# This module is part of the interpreter; ``signal`` would import others first.
from _signal import SIG_DFL, SIGHUP, SIGINT, SIGTERM, default_int_handler, signal

HANDLED_SIGNALS = (SIGHUP, SIGINT, SIGTERM)


def note_signals():
    """Note HANDLED_SIGNALS from now on; return the list that they are appended to."""
    early_signals = []

    def note_signal(number, frame):
        early_signals.append(number)

    for handled in HANDLED_SIGNALS:
        signal(handled, note_signal)
    return early_signals


def release_signals(early_signals):
    """Give HANDLED_SIGNALS their usual actions again, also those that were noted."""
    for handled in HANDLED_SIGNALS:
        signal(handled, default_int_handler if handled == SIGINT else SIG_DFL)
    for number in early_signals:
        os.kill(os.getpid(), number)
