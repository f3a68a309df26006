"""What the two command lines share."""

import typer


def make_version_option(name, version):
    """Return the option that prints a binary's version and ends it."""

    def show(is_asked: bool):
        if is_asked:
            typer.echo(f"{name} {version}")
            raise typer.Exit

    return typer.Option(
        "--version", callback=show, is_eager=True, help="Print the version."
    )


def make_app(summary):
    """Return a typer application of the project's kind."""
    return typer.Typer(
        help=summary,
        no_args_is_help=True,
        add_completion=False,
        pretty_exceptions_enable=False,
    )
