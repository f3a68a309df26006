"""The environment of the processes of a trial."""

import os

# Variable that keeps the interpreter from writing bytecode. A build of the program has
# its bytecode; without it a start compiles every module.
NO_BYTECODE = "PYTHONDONTWRITEBYTECODE"


def make_environment(**values):
    """Return this process's environment with other values and with bytecode."""
    environment = {**os.environ, **values}
    environment.pop(NO_BYTECODE, None)
    return environment
