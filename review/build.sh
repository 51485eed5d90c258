#!/bin/sh
# Builds what the scripts start: stand-ins on the standard library, which need no build.
# Their bytecode goes into a folder that the project ignores.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review
PYTHONPYCACHEPREFIX=target/review exec python3 -m compileall -q review
