"""The `hornbeamstand` command."""

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402
import sys  # noqa: E402
from typing import Annotated  # noqa: E402

import typer  # noqa: E402
from hornbeamstand_wire.cli import make_app, make_version_option  # noqa: E402
from hornbeamstand_wire.reference import make_reference  # noqa: E402

from . import __version__  # noqa: E402
from .life.output import OutputStream  # noqa: E402
from .settings import Settings, load_settings  # noqa: E402
from .stop_signals import handle_stop_signals  # noqa: E402

# Exit status if the settings can't be loaded.
EXIT_BAD_INPUT = 2
# Silence grpcio, which would mix lines of another format into the log.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")

VERSION = make_version_option("hornbeamstand", __version__)

app = make_app("The entry VM process of hornbeamstand.")
SettingsOption = Annotated[
    str, typer.Option("--settings", help="JSON settings file of this VM")
]


@app.callback()
def options(
    version: Annotated[bool, VERSION] = False,
):
    """Run or check one entry VM."""


def read_settings(file):
    """Return the settings, or print the error and exit with status 2."""
    loaded = load_settings(file)
    if loaded.is_err():
        typer.echo(f"error: {loaded.err_value}", err=True)
        raise typer.Exit(EXIT_BAD_INPUT)
    return loaded.ok_value


@app.command()
def run(settings: SettingsOption):
    """Run the entry VM; SIGTERM starts a planned stop."""
    stop_signals, corrections = handle_stop_signals()
    checked = read_settings(settings)
    # The event loop writes the log and tracebacks, so it must not wait for a reader.
    sys.stdout, sys.stderr = OutputStream(1), OutputStream(2)
    from .process import run_process

    status = run_process(checked, stop_signals, corrections)
    # A regular exit would wait for grpcio's threads, which may never end.
    os._exit(status)


@app.command("check-settings")
def check_settings(settings: SettingsOption):
    """Check a settings file and exit."""
    checked = read_settings(settings)
    typer.echo(f"ok: settings of VM {checked.vm_id}")


@app.command()
def reference():
    """Print the reference page of the settings file."""
    typer.echo(make_reference(Settings, "Settings of an entry VM"), nl=False)


def main():
    """Run the command line."""
    app()
