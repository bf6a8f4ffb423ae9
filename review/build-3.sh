#!/bin/sh
# Builds what the scripts of this review start: the nodes. The stand-ins are plain Python files.
cd "$(dirname "$0")/.." || exit 1
deploy/build
