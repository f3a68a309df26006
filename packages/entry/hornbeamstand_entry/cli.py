"""The commands of `hornbeamstand`."""

import os
from typing import Annotated

import typer
from hornbeamstand_core.records import Record
from hornbeamstand_wire.cli import make_app, make_version_option
from hornbeamstand_wire.reference import make_reference

from . import __version__
from .life.early_signals import release_signals
from .settings import Settings, load_settings

# Exit status if the settings can't be loaded.
EXIT_BAD_INPUT = 2
# Silence grpcio, which would mix lines of another format into the log.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")

VERSION = make_version_option("hornbeamstand", __version__)

app = make_app("The entry VM process of hornbeamstand.")
SettingsOption = Annotated[
    str, typer.Option("--settings", help="JSON settings file of this VM")
]


class Launch(Record):
    """What the entry point noted before the command line was read.

    ``early_signals`` is the list of the signals that came, to which more are added, and
    ``corrections`` are those of the inherited state.
    """

    __slots__ = ("early_signals", "corrections")

    def __init__(self, early_signals, corrections):
        self.early_signals = early_signals
        self.corrections = corrections


@app.callback()
def options(
    context: typer.Context,
    version: Annotated[bool, VERSION] = False,
):
    """Run or check one entry VM."""
    if context.invoked_subcommand != "run":
        release_signals(context.obj.early_signals)


@app.command()
def run(context: typer.Context, settings: SettingsOption):
    """Run the entry VM.

    SIGTERM starts a planned stop, SIGHUP reads the settings again.
    """
    from .life.running import run_program
    from .program import make_program

    program = make_program(lambda: load_settings(settings))
    run_program(program, context.obj.early_signals, context.obj.corrections)


@app.command("check-settings")
def check_settings(settings: SettingsOption):
    """Check a settings file and exit."""
    loaded = load_settings(settings)
    if loaded.is_err():
        typer.echo(f"error: {loaded.err_value}", err=True)
        raise typer.Exit(EXIT_BAD_INPUT)
    typer.echo(f"ok: settings of VM {loaded.ok_value.vm_id}")


@app.command()
def reference():
    """Print the reference page of the settings file."""
    typer.echo(make_reference(Settings, "Settings of an entry VM"), nl=False)


def run_command(early_signals, corrections):
    """Run the command line; see ``Launch``."""
    app(obj=Launch(early_signals, corrections))
