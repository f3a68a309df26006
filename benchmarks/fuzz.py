"""Runs the property tests with new cases until a time is over or a case fails.

Usage: ``python -m benchmarks.fuzz --minutes 20``. Each round has its own seed. A round
that fails prints the failing case; add it to the tests as a case of its own.
"""

import time
from random import SystemRandom

import pytest
import typer

# Exclusive maximum of the seeds.
SEED_MAX = 1 << 32
S_PER_MINUTE = 60.0


def run_round(seed):
    """Run every property test once; return pytest's exit status."""
    return pytest.main(
        ["-m", "fuzz", "--hypothesis-profile=fuzz", f"--hypothesis-seed={seed}"]
    )


def main(minutes: float = 20.0, seed: int | None = None):
    """Fuzz for a number of minutes; with a seed, run the one round of that seed."""
    began_s = time.monotonic()
    n_rounds = 0
    while True:
        round_seed = SystemRandom().randrange(SEED_MAX) if seed is None else seed
        status = run_round(round_seed)
        n_rounds += 1
        elapsed_s = time.monotonic() - began_s
        print(
            f"round {n_rounds}: seed {round_seed}, status {status}, {elapsed_s:.0f} s"
        )
        if status:
            raise typer.Exit(1)
        if seed is not None or elapsed_s >= minutes * S_PER_MINUTE:
            return


if __name__ == "__main__":
    typer.run(main)
