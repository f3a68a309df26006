#!/usr/bin/env bash
# TROUBLE=0 leaves out the disruption. Exit status: 0 held, 1 broken, 2 could not run.
exec timeout 120 python3 "$(dirname "$0")/case.py"
