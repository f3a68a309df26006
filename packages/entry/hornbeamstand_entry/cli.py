"""The commands of `hornbeamstand`."""

from typing import Annotated

import typer
from hornbeamstand_wire.cli import make_app, make_version_option
from hornbeamstand_wire.reference import make_reference

from . import __version__
from .launch import RUN_COMMAND, SETTINGS_OPTION, run_vm
from .life.early_signals import release_signals
from .settings import Settings, load_settings

# Exit status if the settings can't be loaded.
EXIT_BAD_INPUT = 2

VERSION = make_version_option("hornbeamstand", __version__)

app = make_app("The entry VM process of hornbeamstand.")
SettingsOption = Annotated[
    str, typer.Option(SETTINGS_OPTION, help="JSON settings file of this VM")
]


@app.callback()
def options(
    context: typer.Context,
    version: Annotated[bool, VERSION] = False,
):
    """Run or check one entry VM."""
    if context.invoked_subcommand != RUN_COMMAND:
        release_signals(context.obj.early_signals)


@app.command(RUN_COMMAND)
def run(context: typer.Context, settings: SettingsOption):
    """Run the entry VM.

    SIGTERM starts a planned stop, SIGHUP reads the settings again.
    """
    run_vm(settings, context.obj)


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


def run_command(launch):
    """Run the command line, which is handed what the entry point noted."""
    app(obj=launch)
