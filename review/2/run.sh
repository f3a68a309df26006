#!/usr/bin/env bash
# TROUBLE=0 leaves out the disruption. KEEPALIVE=1 ends a silent connection when the
# process's own TCP options would. Exit status: 0 held, 1 broken, 2 could not run.
exec timeout 120 python3 "$(dirname "$0")/case.py"
