"""Runs an entry VM of the product's own mode, without the library of the command line.

Each VM that starts takes processor time from those that serve on its host, and the
import of that library takes a good part of the start.
"""

import os

from hornbeamstand_core.records import Record

RUN_COMMAND = "run"
SETTINGS_OPTION = "--settings"


class Launch(Record):
    """What the entry point noted before it imported the libraries.

    ``early_signals`` is the list of the signals that came, to which more are added, and
    ``corrections`` are those of the inherited state.
    """

    __slots__ = ("early_signals", "corrections")

    def __init__(self, early_signals, corrections):
        self.early_signals = early_signals
        self.corrections = corrections


def find_settings_file(arguments):
    """Return the file of ``run --settings FILE``, or None for any other arguments.

    The command line reads all others, such as other forms of the same command.
    """
    if len(arguments) != 3 or arguments[:2] != [RUN_COMMAND, SETTINGS_OPTION]:
        return None
    file = arguments[2]
    return None if file.startswith("-") else file


def run_vm(settings_file, launch):
    """Run the VM until its planned stop is complete."""
    # Silence grpcio, which would mix lines of another format into the log.
    os.environ.setdefault("GRPC_VERBOSITY", "NONE")
    from .life.running import run_program
    from .program import make_program
    from .settings import load_settings

    program = make_program(lambda: load_settings(settings_file))
    run_program(program, launch.early_signals, launch.corrections)
