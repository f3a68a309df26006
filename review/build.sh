#!/usr/bin/env bash
# The stand-ins need only Python 3.11 and its standard library: this compiles them. The
# edge processes are those that the build of deploy/system.toml puts into target/deps.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q cell.py [1-5]/*.py
