#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 need only Python 3.11 and its standard library: this
# compiles them. The entry VMs run what the build of deploy/system.toml made.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile stand_ins_2.py servers_2.py
for file in 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    [ ! -e "$file" ] || python3 -m py_compile "$file"
done
