#!/bin/sh
# Runs case 8; see claim.txt.
cd "$(dirname "$0")" || exit 2
exec python3 play.py
