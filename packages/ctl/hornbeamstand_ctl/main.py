"""The `hornbeamctl` command."""

from gevent import monkey

monkey.patch_all()

import time  # noqa: E402
from typing import Annotated  # noqa: E402

import typer  # noqa: E402
from hornbeamstand_core.config import Configuration  # noqa: E402
from hornbeamstand_wire.cli import make_app, make_version_option  # noqa: E402
from hornbeamstand_wire.folder import read_folder  # noqa: E402
from hornbeamstand_wire.platform import PlatformClient  # noqa: E402
from hornbeamstand_wire.reference import make_reference  # noqa: E402

from . import __version__  # noqa: E402
from .base import digests_of  # noqa: E402
from .explain import describe_timeline  # noqa: E402
from .explain import explain as explain_request  # noqa: E402
from .log_lines import read_logs  # noqa: E402
from .operations import check_folder, plan_folder, publish_folder  # noqa: E402
from .status import describe_status, fetch_status  # noqa: E402

# Exit status if a command fails. It is also that of ``status`` if a VM does not answer
# and of ``explain`` if the logs do not contain the request.
EXIT_FAILED = 1
# Exit status if the checked folder is invalid or a log file can't be read.
EXIT_BAD_INPUT = 2
PORT_MAX = 65_535
# Timeout for connecting to the platform, and for each read of its answer.
PLATFORM_TIMEOUT_MS = 2000
# Stands for the digests of a folder that was not handled yet, or must be again. The
# digests of a folder that can't be read are None.
UNHANDLED = object()
# Interval at which ``watch`` reads the folder.
WATCH_INTERVAL_S = 0.3

VERSION = make_version_option("hornbeamctl", __version__)

app = make_app("Check, compare and publish the operators' folder.")
Folder = Annotated[str, typer.Argument(help="the folder of JSON files")]
Platform = Annotated[
    str, typer.Option("--platform", help="IP address and port of the platform")
]


@app.callback()
def options(
    version: Annotated[bool, VERSION] = False,
):
    """Manage hornbeamstand through a folder of small files."""


def unwrap(result, exit_code=EXIT_FAILED):
    """Return the value of an Ok, or print the error and exit with ``exit_code``."""
    if result.is_err():
        typer.echo(f"error: {result.err_value}", err=True)
        raise typer.Exit(exit_code)
    return result.ok_value


@app.command()
def check(folder: Folder):
    """Check a folder without changing anything."""
    configuration = unwrap(check_folder(folder), EXIT_BAD_INPUT)
    n_targets = sum(len(s.targets) for s in configuration.services.values())
    typer.echo(f"ok: {len(configuration.services)} services, {n_targets} targets")


@app.command()
def diff(folder: Folder, platform: Platform):
    """Show what a publish would change."""
    plan = unwrap(plan_folder(folder, connect(platform)))
    show_plan(plan)


def connect(address):
    """Return a client of the platform; exits if the address is invalid."""
    check_address(address)
    return PlatformClient.from_config(address, PLATFORM_TIMEOUT_MS)


def check_address(address):
    """Exit with an error unless the text is a host and a port."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or int(port) > PORT_MAX:
        typer.echo(
            f"error: address {address!r}: expected a host and a port, such as"
            " 10.0.0.1:9464",
            err=True,
        )
        raise typer.Exit(EXIT_BAD_INPUT)


def show_plan(plan):
    """Print the files that a publish changes or removes, or updates in the folder."""
    for label, names in (
        ("changed", plan.changed),
        ("removed", plan.removed),
        ("taken over", plan.taken_over),
    ):
        for name in names:
            typer.echo(f"{label}: {name}")
    if not (plan.changed or plan.removed or plan.taken_over):
        typer.echo("no difference")


@app.command()
def publish(folder: Folder, platform: Platform):
    """Publish a folder as the next version."""
    plan, head = unwrap(publish_folder(folder, connect(platform)))
    show_plan(plan)
    typer.echo(f"published: version {head.version}")


@app.command()
def watch(folder: Folder, platform: Platform):
    """Publish the folder now and after each edit; report an edit that is rejected."""
    client = connect(platform)
    handled_digests = UNHANDLED
    while True:
        texts = read_folder(folder)
        digests = digests_of(texts.ok_value) if texts.is_ok() else None
        if digests != handled_digests:
            handled_digests = report_publish(folder, client, digests)
        time.sleep(WATCH_INTERVAL_S)


def report_publish(folder, client, digests):
    """Publish once; return the digests handled, or UNHANDLED to publish again."""
    published = publish_folder(folder, client)
    if published.is_ok():
        _, head = published.ok_value
        typer.echo(f"published: version {head.version}")
        return digests_of(read_folder(folder).ok_value)
    error = published.err_value
    typer.echo(f"error: {error}", err=True)
    # Try again if the platform is down, but wait for an edit if the folder is rejected.
    return UNHANDLED if error.step.startswith("platform") else digests


@app.command()
def status(
    vms: Annotated[list[str], typer.Argument(help="admin addresses of entry VMs")],
):
    """Show version, members, owners and limits on each VM."""
    n_unreachable = 0
    for address in vms:
        check_address(address)
    for address in vms:
        vm_status = fetch_status(address)
        n_unreachable += vm_status is None
        for line in describe_status(address, vm_status):
            typer.echo(line)
    if n_unreachable:
        raise typer.Exit(EXIT_FAILED)


@app.command()
def explain(
    request_id: Annotated[str, typer.Argument(help="the caller's id of the request")],
    logs: Annotated[list[str], typer.Argument(help="log files of entry VMs")],
):
    """Explain what happened to a request, from the logs of the VMs that handled it."""
    log_files = unwrap(read_logs(logs), EXIT_BAD_INPUT)
    timeline = explain_request(log_files.lines, request_id)
    if log_files.n_unreadable:
        typer.echo(
            f"note: skipped {log_files.n_unreadable} lines that are not log lines",
            err=True,
        )
    if timeline is None:
        typer.echo(
            f"error: request {request_id}: not found in"
            f" {len(log_files.lines)} log lines",
            err=True,
        )
        raise typer.Exit(EXIT_FAILED)
    for line in describe_timeline(timeline):
        typer.echo(line)


@app.command()
def reference():
    """Print the reference page of the folder's files."""
    typer.echo(make_reference(Configuration, "The folder's files"), nl=False)


def main():
    """Run the command line."""
    app()
