"""`python -m soak`: runs seeds and exits with status 1 if one has a finding.

`python -m soak day` runs whole days of a site instead, and `python -m soak additions`
adds VMs of the product's own program at once.
"""

import shutil
import sys
from typing import Annotated

import typer

from .day.callers import N_KEEPING
from .day.plan import DayPlan
from .day.run import run_day
from .day.site import N_VMS
from .own_additions import OwnAdditionsPlan, run_own_additions
from .run import fresh_seed, run_seed

# Maximum number of VMs of a run. Some runs need many more processes than the usual
# dozen.
N_VMS_MAX = 200
# Minimum length of a day: it has a calm start and ends with a restart of all VMs.
DAY_MIN_S = 12.0

SeedOption = Annotated[
    int, typer.Option(help="first seed; 0 takes new seeds from the clock")
]
CountOption = Annotated[
    int, typer.Option("--n", min=1, help="number of consecutive seeds")
]
app = typer.Typer(invoke_without_command=True, add_completion=False)


@app.callback()
def main(
    context: typer.Context,
    seed: SeedOption = 0,
    n_seeds: CountOption = 1,
    n_vms: Annotated[int, typer.Option("--vms", min=1, max=N_VMS_MAX)] = 6,
    length_s: Annotated[float, typer.Option("--seconds", min=10.0)] = 20.0,
):
    """Run seeds; keep the logs of a seed with findings and print their folder."""
    if context.invoked_subcommand is not None:
        return
    n_failed = 0
    for i in range(n_seeds):
        report = run_seed(seed + i if seed else fresh_seed(), length_s, n_vms)
        statuses = dict(sorted(report.statuses.items()))
        print(f"seed {report.seed}: {report.n_faults} faults, answers {statuses}")
        for finding in report.findings[:20]:
            print(f"  FINDING {finding}")
        if report.findings:
            n_failed += 1
            print(f"  logs in {report.folder}")
        else:
            shutil.rmtree(report.folder)
        sys.stdout.flush()
    print(f"{n_seeds - n_failed} passed, {n_failed} failed")
    raise typer.Exit(1 if n_failed else 0)


@app.command()
def day(
    seed: SeedOption = 0,
    n_seeds: CountOption = 1,
    n_vms: Annotated[int, typer.Option("--vms", min=2, max=N_VMS_MAX)] = N_VMS,
    length_s: Annotated[float, typer.Option("--seconds", min=DAY_MIN_S)] = 60.0,
    n_cores: Annotated[
        int, typer.Option("--cores", min=0, help="cores of all VMs; 0 for any")
    ] = 0,
    only: Annotated[str, typer.Option(help="kind of the only event")] = "",
    n_keeping: Annotated[
        int, typer.Option("--kept", min=1, help="callers that keep connections")
    ] = N_KEEPING,
    has_cuts: Annotated[
        bool, typer.Option("--cuts", help="cut paths between VMs too")
    ] = False,
    has_drills: Annotated[
        bool, typer.Option("--drills", help="let the store come back from copies too")
    ] = False,
):
    """Run days; print what was lost by each clause, and what the rules excuse."""
    n_failed = 0
    for i in range(n_seeds):
        day_seed = seed + i if seed else fresh_seed()
        plan = DayPlan(
            day_seed,
            length_s,
            n_vms,
            n_cores,
            only,
            n_keeping,
            has_cuts,
            has_drills,
        )
        report = run_day(plan)
        for line in report.lines():
            print(line, flush=True)
        n_failed += bool(report.findings or report.counted())
    print(f"{n_seeds - n_failed} passed, {n_failed} failed")
    raise typer.Exit(1 if n_failed else 0)


@app.command()
def additions(
    seed: SeedOption = 0,
    n_seeds: CountOption = 1,
    n_vms: Annotated[int, typer.Option("--vms", min=1, max=N_VMS_MAX)] = 6,
    n_added: Annotated[int, typer.Option("--added", min=1, max=N_VMS_MAX)] = 5,
    n_cores: Annotated[
        int, typer.Option("--cores", min=0, help="cores of all VMs; 0 for any")
    ] = 1,
    rate_per_s: Annotated[float, typer.Option("--rate", min=1.0)] = 60.0,
):
    """Add VMs of the own program at once; print how callers' requests ended."""
    n_failed = 0
    for i in range(n_seeds):
        plan_seed = seed + i if seed else fresh_seed()
        plan = OwnAdditionsPlan(plan_seed, n_vms, n_added, n_cores, rate_per_s)
        report = run_own_additions(plan)
        print(report.line(), flush=True)
        n_failed += bool(report.n_unanswered or report.statuses)
    print(f"{n_seeds - n_failed} passed, {n_failed} failed")
    raise typer.Exit(1 if n_failed else 0)


if __name__ == "__main__":
    app()
