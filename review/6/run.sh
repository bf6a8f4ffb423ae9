#!/bin/sh
# Exits with 1 if a request that ran was answered with 503, 0 if none was, 2 if it couldn't run.
exec python3 "$(dirname "$0")/play.py"
