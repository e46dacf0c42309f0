#!/bin/sh
# Builds the stand-ins of all cases. They are plain Python, of the standard
# library alone: compiling them shows that they can be started.
cd "$(dirname "$0")/.." && exec python3 -m compileall -q -f review
