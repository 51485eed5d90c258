#!/bin/sh
# Builds what the scripts of review/4 and on start. They are Python with the standard
# library only, so this compiles them; the gateways come from the build of the deploy file.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q common2 4 5 6 7 8
