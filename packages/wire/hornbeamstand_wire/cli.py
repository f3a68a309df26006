"""Helpers for the command lines of both binaries."""

import typer


def make_version_option(name, version):
    """Return the option that prints the version of a binary and exits."""

    def show_version(is_requested: bool):
        if is_requested:
            typer.echo(f"{name} {version}")
            raise typer.Exit

    return typer.Option(
        "--version", callback=show_version, is_eager=True, help="Print the version."
    )


def make_app(summary):
    """Return a typer application with the settings that both binaries use."""
    return typer.Typer(
        help=summary,
        no_args_is_help=True,
        add_completion=False,
        pretty_exceptions_enable=False,
    )
