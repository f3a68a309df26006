"""Checks in the VMs' logs that each version came into force once, in rising order."""

import re

STARTED = '"event":"process: started"'
IN_FORCE = re.compile(r'"subject":"r(\d+)",.*"event":"config: in force"')


def check_config_logs(folder):
    """Return findings for versions that a process applied twice or went back to."""
    findings = []
    for path in sorted(folder.glob("edge-*.log")):
        with open(path, errors="replace") as lines:
            findings += [f"{path.stem} {text}" for text in find_repeats(lines)]
    return findings


def find_repeats(lines):
    """Yield a text for each version of a log that is not later than the one before.

    A start begins anew.
    """
    version = 0
    for line in lines:
        if STARTED in line:
            version = 0
            continue
        found = IN_FORCE.search(line)
        if found is None:
            continue
        if int(found[1]) <= version:
            yield f"had version {found[1]} in force after {version}"
        version = int(found[1])
