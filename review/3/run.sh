#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# What was sent, answered and run is written to record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1 exec python3 review/3/case.py
