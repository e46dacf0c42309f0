#!/bin/sh
# Compiles the stand-ins that the scripts of the second review start: those in
# review/lib2 and the project's own ones that they use.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:src:. python3 -m compileall -q review/lib2 standins soak
