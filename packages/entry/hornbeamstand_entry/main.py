"""What the `hornbeamstand` command runs.

Its script, ``bin/hornbeamstand``, notes signals before it imports this module. Most of
the start is the import of the libraries.
"""

import sys

from .life.early_signals import HANDLED_SIGNALS, note_signals


def main(early_signals=None):
    """Run a VM, or another command of the command line.

    ``early_signals`` is the list to which each of HANDLED_SIGNALS is appended until the
    process handles them. Without it, they are noted from now on.
    """
    if early_signals is None:
        early_signals = note_signals()
    from .life.inherited import correct_inherited_state

    # The event loop, which the libraries build, opens descriptors.
    corrections = correct_inherited_state(HANDLED_SIGNALS)
    from .life.late_modules import import_libraries, patch_modules

    patch_modules()
    import_libraries()
    from .launch import Launch, find_settings_file, run_vm

    launch = Launch(early_signals, corrections)
    settings_file = find_settings_file(sys.argv[1:])
    if settings_file is not None:
        run_vm(settings_file, launch)
        return
    from .cli import run_command

    run_command(launch)
