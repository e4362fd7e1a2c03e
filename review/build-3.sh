#!/bin/sh
# Builds what the scripts of the cases 11 and later start besides the instances.
# Their stand-ins are Python of the standard library: there is nothing to fetch,
# and a file that does not compile is an error here rather than in a case.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/fleet3.py review/1[1-5]
